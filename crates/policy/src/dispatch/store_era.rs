//! The era of the store, which tells states of the store apart that follow a restore.
//!
//! The store may come back from a copy that is some seconds old. What was written since
//! the copy is gone, and revisions are assigned a second time to other contents. Each
//! restore increments the era, so only the pair of era and revision identifies a state.

use serde::{Deserialize, Serialize};

/// Fencing tokens that fit into one era.
const TOKENS_PER_ERA: u64 = 1 << 24;

/// Number of restores of the store, as the store counts them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Returns the number that every fencing token of this era exceeds.
    ///
    /// The tokens of an era exceed all tokens of earlier eras, also those whose record
    /// was lost with the restore. They stay below 2^53, which every JSON reader
    /// represents exactly, for the first 2^29 eras.
    pub fn fencing_floor(self) -> u64 {
        self.0.saturating_mul(TOKENS_PER_ERA)
    }
}

/// What the era of a response, or of a peer, means for this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// It is the era that this host knows.
    Unchanged,
    /// It is the first era that this host learns.
    First,
    /// The store was restored since the era that this host knew, which is given.
    Restored(StoreEra),
    /// It is older than the era that this host knows; its contents are outdated.
    Outdated,
}

/// The latest era that this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    latest: Option<StoreEra>,
}

impl EraTracker {
    /// Returns the latest known era; `None` before the first one, and with a store that
    /// states none.
    pub fn latest(&self) -> Option<StoreEra> {
        self.latest
    }

    /// Records an era and returns what it means.
    pub fn record(&mut self, era: StoreEra) -> EraChange {
        let change = match self.latest {
            None => EraChange::First,
            Some(latest) if era == latest => EraChange::Unchanged,
            Some(latest) if era < latest => return EraChange::Outdated,
            Some(latest) => EraChange::Restored(latest),
        };
        self.latest = Some(era);
        change
    }
}
