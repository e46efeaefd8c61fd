//! How surely the configuration in hand is the newest one.
//!
//! A store that answers an exact read proves that every change acknowledged
//! before the read was *sent* is in the answer. The proof ages from that moment
//! on, by a clock that also runs while the host is suspended.

use crate::Timestamp;
use std::time::Duration;

/// Ages up to which a proof supports a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimits {
    /// A key that was withdrawn must be refused after this time.
    pub revocation: Duration,
    /// A change must be in force after this time.
    pub change: Duration,
}

/// Part of the revocation bound kept back for the host's clock and scheduling.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Part of the revocation bound after which a host stops taking new callers.
const READY_SHARE: f64 = 0.6;

/// When the configuration was last proved to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    limits: StalenessLimits,
    proven_at: Option<Timestamp>,
}

impl ConfigConfirmation {
    /// Creates a proof of nothing.
    pub fn new(limits: StalenessLimits) -> Self {
        Self {
            limits,
            proven_at: None,
        }
    }

    /// Takes in changed limits.
    pub fn set_limits(&mut self, limits: StalenessLimits) {
        self.limits = limits;
    }

    /// Notes that an exact read sent at `sent_at` was answered.
    pub fn renew(&mut self, sent_at: Timestamp) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Notes that a host which was asked at `asked_at` has the same configuration
    /// and a proof of this age. Its answer was made after the question was sent,
    /// so no clocks are compared.
    pub fn renew_from_peer(&mut self, asked_at: Timestamp, age: Duration) {
        self.renew(asked_at - age);
    }

    /// Returns the age of the proof.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proven_at.map(|proven_at| now.since(proven_at))
    }

    /// Returns whether a request with a key may be admitted.
    pub fn can_admit_keyed_requests(&self, now: Timestamp) -> bool {
        let bound = self.limits.revocation.saturating_sub(REVOCATION_MARGIN);
        self.is_younger(now, bound)
    }

    /// Returns whether the absence of a route or key is certain enough to say.
    pub fn can_report_absence(&self, now: Timestamp) -> bool {
        self.is_younger(now, self.limits.change)
    }

    /// Returns whether new callers should be sent here.
    pub fn can_report_ready(&self, now: Timestamp) -> bool {
        self.is_younger(now, self.limits.revocation.mul_f64(READY_SHARE))
    }

    fn is_younger(&self, now: Timestamp, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
