//! Usage records that this process keeps for its neighbours.
//!
//! A neighbour that dies leaves its unbilled records here. They are kept until
//! a closed window covers them, whoever closed it.

use crate::wire::CopyBatch;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord, WindowId};
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
    /// How many records are kept.
    pub records: usize,
}

/// Keeps usage records of neighbours.
#[derive(Debug, Default)]
pub struct CopyLedger {
    held: BTreeMap<(ProcessId, Incarnation), Held>,
}

#[derive(Debug, Default)]
struct Held {
    position: UsagePosition,
    records: BTreeMap<Sequence, UsageRecord>,
}

impl CopyLedger {
    /// Creates a ledger without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a batch; returns whether the batch was well formed and is kept.
    pub fn hold(&mut self, batch: CopyBatch) -> bool {
        let well_formed = (0..).zip(&batch.records).all(|(index, record)| {
            record.sequence.0.checked_sub(batch.first.0) == Some(index)
                && record.process == batch.process
                && record.incarnation == batch.incarnation
        });
        if !well_formed {
            return false;
        }
        let held = self
            .held
            .entry((batch.process, batch.incarnation))
            .or_default();
        held.advance(batch.position);
        let covered_to = held.position.covered_to;
        let uncovered = batch
            .records
            .into_iter()
            .filter(|record| record.sequence >= covered_to)
            .map(|record| (record.sequence, record));
        held.records.extend(uncovered);
        true
    }

    /// Notes that windows were closed, and drops the records they cover.
    pub fn advance(
        &mut self,
        process: &ProcessId,
        incarnation: Incarnation,
        position: UsagePosition,
    ) {
        if let Some(held) = self.held.get_mut(&(process.clone(), incarnation)) {
            held.advance(position);
        }
    }

    /// Returns what is kept, for each incarnation of each neighbour.
    pub fn held(&self) -> Vec<HeldCopies> {
        let summary =
            |((process, incarnation), held): (&(ProcessId, Incarnation), &Held)| HeldCopies {
                process: process.clone(),
                incarnation: *incarnation,
                position: held.position,
                records: held.records.len(),
            };
        self.held.iter().map(summary).collect()
    }

    /// Returns the kept records that no closed window covers, in order, up to
    /// the first gap.
    pub fn records(&self, process: &ProcessId, incarnation: Incarnation) -> Vec<UsageRecord> {
        let held = self.held.get(&(process.clone(), incarnation));
        held.map(Held::contiguous).unwrap_or_default()
    }

    /// Forgets an incarnation all of whose records are covered.
    pub fn forget(&mut self, process: &ProcessId, incarnation: Incarnation) {
        let key = (process.clone(), incarnation);
        if self
            .held
            .get(&key)
            .is_some_and(|held| held.records.is_empty())
        {
            self.held.remove(&key);
        }
    }
}

impl Held {
    fn advance(&mut self, position: UsagePosition) {
        self.position = self.position.max(position);
        self.records = self.records.split_off(&self.position.covered_to);
    }

    fn contiguous(&self) -> Vec<UsageRecord> {
        let start = self.position.covered_to.0;
        (0..)
            .zip(self.records.values())
            .take_while(|(index, record)| record.sequence.0.checked_sub(start) == Some(*index))
            .map(|(_, record)| record.clone())
            .collect()
    }
}
