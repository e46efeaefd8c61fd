//! How recently the configuration was confirmed to be the latest one.
//!
//! The response to a linearizable read contains every change that the store
//! acknowledged before the read was *sent*. The confirmation's age is therefore
//! counted from the time of sending, by a clock that also runs while the host is
//! suspended.

use crate::Timestamp;
use std::time::Duration;

/// Staleness bounds: the ages up to which a confirmation supports a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimits {
    /// Time after which a revoked key must be refused.
    pub revocation: Duration,
    /// Time after which a configuration change must be in force.
    pub change: Duration,
}

/// Part of the revocation bound that is reserved for the error of the host's
/// clock and for scheduling delays.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Fraction of the revocation bound after which a host no longer reports that it
/// is ready for new callers.
const READINESS_SHARE: f64 = 0.6;

/// The time at which the configuration was last confirmed to be the latest.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    limits: StalenessLimits,
    confirmed_at: Option<Timestamp>,
}

impl ConfigConfirmation {
    /// Creates the state of a host that has no confirmation yet.
    pub fn new(limits: StalenessLimits) -> Self {
        Self {
            limits,
            confirmed_at: None,
        }
    }

    /// Replaces the staleness bounds.
    pub fn set_limits(&mut self, limits: StalenessLimits) {
        self.limits = limits;
    }

    /// Records the response to a linearizable read that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Records that a peer, which was queried at `queried_at`, has the same
    /// configuration and a confirmation of the given age. The peer measured the
    /// age after the query was sent, so no clocks are compared.
    pub fn renew_from_peer(&mut self, queried_at: Timestamp, age: Duration) {
        self.renew(queried_at - age);
    }

    /// Returns the age of the confirmation, if there is one.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns whether the configuration is current enough to admit a request by
    /// its key.
    pub fn can_admit_keyed_requests(&self, now: Timestamp) -> bool {
        let bound = self.limits.revocation.saturating_sub(REVOCATION_MARGIN);
        self.is_younger(now, bound)
    }

    /// Returns whether the configuration is current enough to report that a route
    /// or key does not exist.
    pub fn can_report_absence(&self, now: Timestamp) -> bool {
        self.is_younger(now, self.limits.change)
    }

    /// Returns whether the configuration is current enough to report this host as
    /// ready for new callers.
    pub fn can_report_ready(&self, now: Timestamp) -> bool {
        self.is_younger(now, self.limits.revocation.mul_f64(READINESS_SHARE))
    }

    fn is_younger(&self, now: Timestamp, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
