//! Usage records that this process holds for its peers.
//!
//! If a peer crashes, its unbilled usage is held here. It is kept until closed
//! windows cover it, whichever process closed them.

use crate::usage_range::{ClosedWindow, UsageRange};
use crate::wire::CopyBatch;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, WindowId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The position up to which the usage windows of one incarnation are closed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UsagePosition {
    /// The first window that isn't known to be closed.
    pub next_window: WindowId,
    /// The first record that no window known to be closed covers.
    pub covered_to: Sequence,
}

/// The usage that is held for one incarnation of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldCopies {
    /// The peer.
    pub process: ProcessId,
    /// The incarnation of the peer.
    pub incarnation: Incarnation,
    /// The position up to which its windows are closed.
    pub position: UsagePosition,
    /// The records that no window known to be closed covers.
    pub range: UsageRange,
}

/// Holds copies of the usage records of peers.
#[derive(Debug, Default)]
pub struct CopyStore {
    held: BTreeMap<(ProcessId, Incarnation), HeldUsage>,
}

/// Invariant: the range starts at the position's `covered_to`.
#[derive(Debug)]
struct HeldUsage {
    position: UsagePosition,
    range: UsageRange,
}

impl CopyStore {
    /// Creates a store without usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a batch. Returns whether all records before the end of the batch
    /// are now held or covered by closed windows.
    ///
    /// A batch that doesn't continue the held records changes nothing; its
    /// sender then sends all uncovered records.
    pub fn add_batch(&mut self, batch: CopyBatch) -> bool {
        if batch.range.to < batch.range.from {
            return false;
        }
        let key = (batch.process.clone(), batch.incarnation);
        match self.held.get_mut(&key) {
            Some(held) => held.add_batch(batch),
            None => match HeldUsage::from_full_batch(batch) {
                Some(held) => {
                    self.held.insert(key, held);
                    true
                }
                None => false,
            },
        }
    }

    /// Records that a window was closed, and drops the records that it covers.
    ///
    /// Changes nothing unless the window is the next one to close here. This is so
    /// after a full batch from a peer that didn't know of an earlier closed window
    /// yet, because the batch reopens that window here. Later attempts to close
    /// the two windows find the objects of both already in the platform's store.
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

    /// Returns the usage that is held for each incarnation of each peer.
    pub fn held(&self) -> Vec<HeldCopies> {
        let copies =
            |((process, incarnation), held): (&(ProcessId, Incarnation), &HeldUsage)| HeldCopies {
                process: process.clone(),
                incarnation: *incarnation,
                position: held.position,
                range: held.range.clone(),
            };
        self.held.iter().map(copies).collect()
    }

    /// Removes an incarnation if closed windows cover all its records.
    pub fn remove(&mut self, process: &ProcessId, incarnation: Incarnation) {
        let key = (process.clone(), incarnation);
        let held = self.held.get(&key);
        if held.is_some_and(|held| held.range.is_empty()) {
            self.held.remove(&key);
        }
    }
}

impl HeldUsage {
    fn from_full_batch(batch: CopyBatch) -> Option<Self> {
        let is_valid = batch.is_full && batch.range.from == batch.position.covered_to;
        is_valid.then_some(Self {
            position: batch.position,
            range: batch.range,
        })
    }

    fn add_batch(&mut self, batch: CopyBatch) -> bool {
        match batch.is_full {
            // A late batch: all its records are already held or covered.
            _ if batch.range.to <= self.range.to => true,
            true => self.replace(batch),
            false if batch.range.from == self.range.to => {
                self.range.append(&batch.range);
                true
            }
            false => false,
        }
    }

    /// Replaces the held records by a full batch. If the peer doesn't know yet of
    /// a window that was closed here, the batch contains the records of that
    /// window and thereby reopens the window here. The next attempt to close it
    /// finds the window's object already in the platform's store.
    fn replace(&mut self, batch: CopyBatch) -> bool {
        match Self::from_full_batch(batch) {
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
