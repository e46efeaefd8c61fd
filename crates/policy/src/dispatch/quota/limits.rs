//! The quota of a workspace, and how its tolerances are divided among the hosts.

use crate::dispatch::shared_hash::shared_hash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest time for which tokens that a host got in advance may be spent.
const MAX_GRANT_TTL: Duration = Duration::from_millis(200);

/// Parts into which the surplus of a window is divided: the debt of the owner's bucket, the
/// tokens that hosts hold, the shares of hosts that reach no owner, and a least depth of the
/// bucket.
const SURPLUS_PARTS: f64 = 4.0;

/// Identifies a workspace in messages between hosts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct QuotaKey(pub u64);

impl QuotaKey {
    /// Returns the key of the workspace with this name.
    pub fn new(workspace: &str) -> Self {
        Self(shared_hash(&workspace))
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Tokens of the prompt and of the largest output.
    Tokens,
    /// Requests.
    Requests,
}

/// The quota of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceQuota {
    /// Units that the workspace may use a second; greater than 0.
    pub rate_per_s: f64,
    /// Units that it may use at once in addition.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
    /// Charge of a request that doesn't state its tokens.
    pub default_tokens: u64,
}

impl WorkspaceQuota {
    /// Returns the charge of a request that states these tokens.
    pub fn charge(&self, stated_tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Tokens => stated_tokens.unwrap_or(self.default_tokens),
            QuotaUnit::Requests => 1,
        }
    }
}

/// By how much a workspace may exceed its quota in a sliding window, over all hosts. A
/// window may contain `(rate x window + burst) x (1 + overrun) + slack`. What exceeds
/// `rate x window + burst` is the surplus.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimits {
    /// Length of the window.
    pub window: Duration,
    /// Share of the quota by which it may be exceeded.
    pub overrun: f64,
    /// Tokens by which it may be exceeded in addition; none if requests are counted.
    pub slack: f64,
}

impl Default for QuotaLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overrun: 0.1,
            slack: 120_000.0,
        }
    }
}

impl QuotaLimits {
    /// Returns what the hosts together may admit in any window.
    pub fn most_in_window(&self, quota: &WorkspaceQuota) -> f64 {
        quota.rate_per_s * self.window.as_secs_f64() + quota.burst + self.surplus(quota)
    }

    fn surplus(&self, quota: &WorkspaceQuota) -> f64 {
        let in_window = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        let slack = match quota.unit {
            QuotaUnit::Tokens => self.slack,
            QuotaUnit::Requests => 0.0,
        };
        in_window * self.overrun + slack
    }

    /// Returns the size of the owner's bucket. A quota without a burst needs one, too: the
    /// requests of a workspace don't come at equal intervals.
    pub(super) fn depth(&self, quota: &WorkspaceQuota) -> f64 {
        let least = match quota.unit {
            QuotaUnit::Tokens => 0.0,
            QuotaUnit::Requests => 1.0,
        };
        let part = self.surplus(quota) / SURPLUS_PARTS;
        quota.burst.max(part).max(least)
    }

    /// Returns the debt up to which the owner's bucket grants, so that a large request needs
    /// no full bucket and isn't starved by small ones.
    pub(super) fn max_debt(&self, quota: &WorkspaceQuota) -> f64 {
        self.surplus(quota) / SURPLUS_PARTS
    }

    /// Returns what one of `hosts` hosts may admit in a window without an owner.
    pub(super) fn ownerless_share(&self, quota: &WorkspaceQuota, hosts: usize) -> f64 {
        self.surplus(quota) / SURPLUS_PARTS / hosts.max(1) as f64
    }

    /// Returns the time from the question to the owner for which the tokens of its answer
    /// may be spent. A window may contain what was granted within that time before it.
    pub(super) fn grant_ttl(&self) -> Duration {
        let part = self.window.mul_f64(self.overrun / SURPLUS_PARTS);
        part.min(MAX_GRANT_TTL)
    }
}
