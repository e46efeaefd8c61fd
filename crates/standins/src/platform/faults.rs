//! Faults that a test can inject into the platform.

use super::Shared;
use std::sync::Arc;
use std::time::Duration;

/// The effect of a fault on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultEffect {
    /// The call is executed after this delay, even if its caller has disconnected.
    Delay(Duration),
    /// The call is executed but its response is lost.
    LoseAnswer,
    /// The call isn't executed and gets no response.
    LoseRequest,
}

/// A rule that injects a fault into matching calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// Prefix of the paths that the rule matches, such as `/objects/leases/`.
    pub path_prefix: String,
    /// Whether the rule matches only writes (all methods except GET).
    pub writes_only: bool,
    /// Number of further calls that the rule matches. With `None`, it matches all
    /// calls until the rules are cleared.
    pub remaining: Option<u32>,
    /// The effect on matching calls.
    pub effect: FaultEffect,
}

impl FaultRule {
    /// Creates a rule for all writes to paths that start with `path_prefix`.
    pub fn new(path_prefix: &str, effect: FaultEffect) -> Self {
        Self {
            path_prefix: path_prefix.to_owned(),
            writes_only: true,
            remaining: None,
            effect,
        }
    }

    /// Limits the rule to the next `count` matching calls.
    #[must_use]
    pub fn with_remaining(mut self, count: u32) -> Self {
        self.remaining = Some(count);
        self
    }

    /// Extends the rule to reads.
    #[must_use]
    pub fn with_reads(mut self) -> Self {
        self.writes_only = false;
        self
    }

    fn matches(&self, path: &str, is_write: bool) -> bool {
        let has_remaining = self.remaining != Some(0);
        has_remaining && (is_write || !self.writes_only) && path.starts_with(&self.path_prefix)
    }
}

/// The active rules.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    rules: Vec<FaultRule>,
}

impl FaultState {
    /// Returns the effects of all rules that match a call, and counts the call
    /// against their remaining numbers.
    pub(crate) fn effects(&mut self, path: &str, is_write: bool) -> Vec<FaultEffect> {
        let mut effects = Vec::new();
        for rule in &mut self.rules {
            if !rule.matches(path, is_write) {
                continue;
            }
            effects.push(rule.effect);
            if let Some(remaining) = &mut rule.remaining {
                *remaining -= 1;
            }
        }
        effects
    }
}

/// Controls the faults of a [`PlatformStandin`](super::PlatformStandin).
#[derive(Clone, Debug)]
pub struct PlatformFaults {
    shared: Arc<Shared>,
}

impl PlatformFaults {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Takes the platform down or brings it up again. While it is down, new
    /// connections are refused, and calls on open connections fail without effect.
    pub fn set_down(&self, is_down: bool) {
        self.shared.up.send_replace(!is_down);
    }

    /// Adds a rule. A call is affected by every rule that matches it.
    pub fn add(&self, rule: FaultRule) {
        self.shared.state().faults.rules.push(rule);
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.shared.state().faults.rules.clear();
    }

    /// Replaces all rules with one that delays every call by `delay`, or with none if
    /// `delay` is zero.
    pub fn set_delay(&self, delay: Duration) {
        self.clear();
        if !delay.is_zero() {
            self.add(FaultRule::new("/", FaultEffect::Delay(delay)).with_reads());
        }
    }

    /// Freezes the fleet list that callers read at its current state, or unfreezes
    /// it.
    pub fn set_fleet_frozen(&self, is_frozen: bool) {
        self.shared.state().fleet.set_frozen(is_frozen);
    }
}
