//! The token bucket of a workspace, at its owner.

use super::limits::{QuotaLimits, WorkspaceQuota};
use crate::Timestamp;
use std::time::Duration;

/// Why a bucket grants nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketDenial {
    /// Time until the charge fits if nothing else is granted; `None` if it never does.
    pub fits_after: Option<Duration>,
    /// What is in the bucket; negative for a debt.
    pub left: f64,
}

/// The token bucket of a workspace.
///
/// A returned charge has to leave the bucket as if it had never been granted; otherwise, a
/// window could contain up to twice the burst. The bucket is full since some time with and
/// without the charge if it has been full after the grant, so such a charge isn't added.
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    quota: WorkspaceQuota,
    limits: QuotaLimits,
    level: f64,
    updated_at: Timestamp,
    created_at: Timestamp,
    last_full_at: Option<Timestamp>,
}

impl QuotaBucket {
    /// Creates an empty bucket.
    pub fn new(quota: WorkspaceQuota, limits: QuotaLimits, now: Timestamp) -> Self {
        Self {
            quota,
            limits,
            level: 0.0,
            updated_at: now,
            created_at: now,
            last_full_at: None,
        }
    }

    /// Applies a changed quota from `now` on.
    pub fn set_quota(&mut self, now: Timestamp, quota: WorkspaceQuota, limits: QuotaLimits) {
        self.refill(now);
        (self.quota, self.limits) = (quota, limits);
        self.refill(now);
    }

    /// Returns what is in the bucket; negative for a debt.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes the charge of a request out of the bucket.
    ///
    /// # Errors
    ///
    /// Returns when it will fit.
    pub fn take(&mut self, now: Timestamp, charge: u64) -> Result<(), BucketDenial> {
        self.refill(now);
        let charge = charge as f64;
        let least = (charge - self.debt_allowed(now)).max(f64::MIN_POSITIVE);
        if self.level >= least {
            self.level -= charge;
            return Ok(());
        }
        Err(BucketDenial {
            fits_after: self.time_until(now, charge, least),
            left: self.level,
        })
    }

    /// Takes up to `wanted` tokens out of the bucket, without debt and leaving half of it,
    /// so that what some hosts hold in advance isn't missing at others.
    pub fn take_in_advance(&mut self, now: Timestamp, wanted: u64) -> u64 {
        self.refill(now);
        let available = self.level - self.limits.depth(&self.quota) / 2.0;
        let taken = (available.max(0.0) as u64).min(wanted);
        self.level -= taken as f64;
        taken
    }

    /// Returns a charge that was taken at `granted_at` and hasn't been spent.
    pub fn give_back(&mut self, now: Timestamp, granted_at: Timestamp, charge: u64) {
        self.refill(now);
        let was_full = self.last_full_at.is_some_and(|at| at >= granted_at);
        if was_full {
            return;
        }
        self.level += charge as f64;
        self.limit_level(now);
    }

    /// Returns the rate at which the bucket fills.
    pub(super) fn rate_per_s(&self) -> f64 {
        self.quota.rate_per_s
    }

    /// Returns the debt that is allowed now. A new owner allows none in its first window,
    /// which may contain a debt of the owner before it.
    fn debt_allowed(&self, now: Timestamp) -> f64 {
        match now.since(self.created_at) < self.limits.window {
            true => 0.0,
            false => self.limits.max_debt(&self.quota),
        }
    }

    fn time_until(&self, now: Timestamp, charge: f64, least: f64) -> Option<Duration> {
        let depth = self.limits.depth(&self.quota);
        let filled = self.time_to_level(least);
        if least <= depth {
            return Some(filled);
        }
        // The charge fits only with a debt, which is allowed after the first window.
        let least = charge - self.limits.max_debt(&self.quota);
        let until_debt = self
            .limits
            .window
            .saturating_sub(now.since(self.created_at));
        (least <= depth).then(|| self.time_to_level(least).max(until_debt))
    }

    fn time_to_level(&self, level: f64) -> Duration {
        let seconds = (level - self.level).max(0.0) / self.quota.rate_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at);
        self.level += elapsed.as_secs_f64() * self.quota.rate_per_s;
        self.updated_at = self.updated_at.max(now);
        self.limit_level(now);
    }

    fn limit_level(&mut self, now: Timestamp) {
        let depth = self.limits.depth(&self.quota);
        if self.level >= depth {
            self.level = depth;
            self.last_full_at = Some(now);
        }
    }
}
