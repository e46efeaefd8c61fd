//! A budget of role changes.
//!
//! A mix that swings back before a change has paid would cost a change each
//! way, for ever. Changes are therefore spent from a budget that refills
//! slowly: one shift finds it full, an oscillation soon runs on what refills,
//! and prompts that overflow to generating engines do the rest. The less is
//! left, the more a change has to save: small gains don't use up what the next
//! shift needs.

use crate::{FleetLimits, Timestamp};

/// Changes that may still be made now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChangeBudget {
    spent: f64,
    updated_at: Timestamp,
}

impl ChangeBudget {
    /// Refills up to `now` and takes out `changes` that were seen.
    pub(crate) fn update(&mut self, now: Timestamp, changes: u32, limits: &FleetLimits) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let refilled = elapsed / limits.change_refill_interval.as_secs_f64();
        self.spent = (self.spent - refilled).max(0.0) + f64::from(changes);
        self.updated_at = now;
    }

    /// Returns whether one more change may be made beside `pending` ones. It
    /// saves `return_ratio` times the least that a change must save.
    pub(crate) fn permits(&self, pending: usize, return_ratio: f64, limits: &FleetLimits) -> bool {
        let spent = self.spent + pending as f64;
        let least_return = 1.0 + limits.spent_change_surcharge * spent;
        spent + 1.0 <= f64::from(limits.change_burst) && return_ratio >= least_return
    }
}
