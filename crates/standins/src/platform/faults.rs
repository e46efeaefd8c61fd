//! The platform's faults and the switches for them.

use super::Shared;
use std::sync::Arc;
use std::time::Duration;

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultEffect {
    /// The call takes effect this much later, even if its caller has gone.
    Delay(Duration),
    /// The call takes effect and its answer is lost.
    LoseAnswer,
    /// The call has no effect and its answer is lost.
    LoseRequest,
}

/// Which calls go wrong, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// Paths that are concerned, such as `/objects/leases/`.
    pub path_prefix: String,
    /// Whether only calls that change something are concerned.
    pub writes_only: bool,
    /// How many calls are concerned; `None`: all until the rules are cleared.
    pub remaining: Option<u32>,
    /// What goes wrong.
    pub effect: FaultEffect,
}

impl FaultRule {
    /// Creates a rule for all writes under a path.
    pub fn new(path_prefix: &str, effect: FaultEffect) -> Self {
        Self {
            path_prefix: path_prefix.to_owned(),
            writes_only: true,
            remaining: None,
            effect,
        }
    }

    /// Limits the rule to the next `count` calls.
    #[must_use]
    pub fn with_remaining(mut self, count: u32) -> Self {
        self.remaining = Some(count);
        self
    }

    /// Extends the rule to calls that only read.
    #[must_use]
    pub fn with_reads(mut self) -> Self {
        self.writes_only = false;
        self
    }

    fn concerns(&self, path: &str, is_write: bool) -> bool {
        let is_left = self.remaining != Some(0);
        is_left && (is_write || !self.writes_only) && path.starts_with(&self.path_prefix)
    }
}

/// Rules in force.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    rules: Vec<FaultRule>,
}

impl FaultState {
    /// Returns what goes wrong with a call, and uses the rules up.
    pub(crate) fn effects(&mut self, path: &str, is_write: bool) -> Vec<FaultEffect> {
        let mut effects = Vec::new();
        for rule in &mut self.rules {
            if !rule.concerns(path, is_write) {
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

/// Switches the faults of a [`PlatformStandin`](super::PlatformStandin).
#[derive(Clone, Debug)]
pub struct PlatformFaults {
    shared: Arc<Shared>,
}

impl PlatformFaults {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Takes the platform down or brings it back. While it is down, new
    /// connections are refused, and calls on open ones break off without effect.
    pub fn set_down(&self, down: bool) {
        self.shared.up.send_replace(!down);
    }

    /// Adds a rule; rules are independent of each other.
    pub fn add(&self, rule: FaultRule) {
        self.shared.state().faults.rules.push(rule);
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.shared.state().faults.rules.clear();
    }

    /// Makes every call take `delay` longer; zero ends it together with all
    /// other rules.
    pub fn set_delay(&self, delay: Duration) {
        self.clear();
        if !delay.is_zero() {
            self.add(FaultRule::new("/", FaultEffect::Delay(delay)).with_reads());
        }
    }

    /// Freezes the fleet list that callers see at what it is now, or lets it
    /// follow again.
    pub fn set_fleet_frozen(&self, frozen: bool) {
        self.shared.state().fleet.set_frozen(frozen);
    }
}
