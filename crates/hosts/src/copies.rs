//! Usage that this process keeps for its neighbours.
//!
//! A neighbour that dies leaves its unbilled usage here. It is kept until closed
//! windows cover it, whoever closed them.

use crate::usage_range::{ClosedWindow, UsageRange};
use crate::wire::CopyBatch;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, WindowId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Up to where the windows of one incarnation are closed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UsagePosition {
    /// The first window that isn't known to be closed.
    pub next_window: WindowId,
    /// The first record that no closed window is known to cover.
    pub covered_to: Sequence,
}

/// What is kept for one incarnation of a neighbour.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldCopies {
    /// The neighbour.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Up to where its windows are closed.
    pub position: UsagePosition,
    /// The records that no closed window is known to cover.
    pub range: UsageRange,
}

/// Keeps usage of neighbours.
#[derive(Debug, Default)]
pub struct CopyStore {
    held: BTreeMap<(ProcessId, Incarnation), Held>,
}

/// Invariant: the range starts at the position's `covered_to`.
#[derive(Debug)]
struct Held {
    position: UsagePosition,
    range: UsageRange,
}

impl CopyStore {
    /// Creates a ledger without usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a batch; returns whether everything before its end is kept or
    /// covered now. A batch that doesn't fit what is kept changes nothing; its
    /// sender then sends everything.
    pub fn add_batch(&mut self, batch: CopyBatch) -> bool {
        if batch.range.to < batch.range.from {
            return false;
        }
        let key = (batch.process.clone(), batch.incarnation);
        match self.held.get_mut(&key) {
            Some(held) => held.add_batch(batch),
            None => match Held::with_first(batch) {
                Some(held) => {
                    self.held.insert(key, held);
                    true
                }
                None => false,
            },
        }
    }

    /// Notes that a window was closed, and drops what it covers.
    ///
    /// What is kept may go back to before an earlier window meanwhile; then
    /// this changes nothing, and the next attempts find both windows again.
    pub fn close_window(
        &mut self,
        process: &ProcessId,
        incarnation: Incarnation,
        closed: &ClosedWindow,
    ) {
        if let Some(held) = self.held.get_mut(&(process.clone(), incarnation)) {
            held.close_window(closed);
        }
    }

    /// Returns what is kept, for each incarnation of each neighbour.
    pub fn held(&self) -> Vec<HeldCopies> {
        let copies =
            |((process, incarnation), held): (&(ProcessId, Incarnation), &Held)| HeldCopies {
                process: process.clone(),
                incarnation: *incarnation,
                position: held.position,
                range: held.range.clone(),
            };
        self.held.iter().map(copies).collect()
    }

    /// Forgets an incarnation all of whose records are covered.
    pub fn remove(&mut self, process: &ProcessId, incarnation: Incarnation) {
        let key = (process.clone(), incarnation);
        let held = self.held.get(&key);
        if held.is_some_and(|held| held.range.is_empty()) {
            self.held.remove(&key);
        }
    }
}

impl Held {
    fn with_first(batch: CopyBatch) -> Option<Self> {
        let fits = batch.is_full && batch.range.from == batch.position.covered_to;
        fits.then_some(Self {
            position: batch.position,
            range: batch.range,
        })
    }

    fn add_batch(&mut self, batch: CopyBatch) -> bool {
        match batch.is_full {
            // A late one: all of it is kept or covered.
            _ if batch.range.to <= self.range.to => true,
            true => self.replace(batch),
            false if batch.range.from == self.range.to => {
                self.range.append(&batch.range);
                true
            }
            false => false,
        }
    }

    /// Takes everything that the neighbour holds uncovered. It may not know yet
    /// of a window that was closed here; then the range starts earlier again,
    /// and the next attempt finds that window's object.
    fn replace(&mut self, batch: CopyBatch) -> bool {
        match Self::with_first(batch) {
            Some(next) => {
                *self = next;
                true
            }
            None => false,
        }
    }

    fn close_window(&mut self, closed: &ClosedWindow) {
        if closed.window != self.position.next_window {
            return;
        }
        if let Some(rest) = self.range.without_start(&closed.range) {
            self.range = rest;
            self.position = closed.next_position();
        }
    }
}
