//! The budget that limits role changes.
//!
//! If the mix of prefill and decode work oscillates faster than a role change
//! pays off, following it would cost a change in each direction for as long as
//! the oscillation lasts. Role changes are therefore limited by a token bucket
//! that refills slowly. A single lasting shift finds the bucket full. An
//! oscillation soon empties it, and then roles change only at the refill rate.
//! Prompts that the prefill engines have no capacity for are then prefilled by
//! decode engines, instead of causing more role changes. The fewer changes are
//! left in the bucket, the more a change has to save, so that changes with small
//! savings don't use up those that the next large shift needs.

use crate::{FleetLimits, Timestamp};

/// Token bucket of role changes of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChangeBudget {
    /// Number of changes taken from the bucket and not refilled yet.
    spent: f64,
    updated_at: Timestamp,
}

impl ChangeBudget {
    /// Refills the budget for the time up to `now` and deducts `changes`, the
    /// role changes observed since the last update.
    pub(crate) fn update(&mut self, now: Timestamp, changes: u32, limits: &FleetLimits) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let refilled = elapsed / limits.change_refill_interval.as_secs_f64();
        self.spent = (self.spent - refilled).max(0.0) + f64::from(changes);
        self.updated_at = now;
    }

    /// Returns whether one more change is permitted in addition to `pending`
    /// changes in progress.
    ///
    /// `relative_saving` is the expected saving of the change as a multiple of the
    /// minimum saving that any change must have.
    pub(crate) fn permits(
        &self,
        pending: usize,
        relative_saving: f64,
        limits: &FleetLimits,
    ) -> bool {
        let spent = self.spent + pending as f64;
        let min_relative_saving = 1.0 + limits.spent_change_surcharge * spent;
        spent + 1.0 <= f64::from(limits.change_burst) && relative_saving >= min_relative_saving
    }
}
