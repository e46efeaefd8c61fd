//! Usage records of this process that wait for a copy or for their window.

use crate::copies::UsagePosition;
use crate::wire::CopyBatch;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Most records in one batch.
const MAX_BATCH: usize = 512;
/// Time after which a caller is told that its record has no copy yet.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a record has no second copy. It is kept and copied later if possible.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CopyError {
    /// No other host of the data centre takes copies.
    #[error("no other host of the data centre takes copies")]
    NoNeighbour,
    /// No neighbour confirmed a copy in time.
    #[error("no neighbour confirmed a copy in time")]
    Timeout,
}

/// A copy that was asked for.
#[derive(Debug)]
pub struct PendingCopy(oneshot::Receiver<Result<(), CopyError>>);

impl PendingCopy {
    /// Waits for the copy.
    ///
    /// # Errors
    ///
    /// Fails when no neighbour confirmed a copy in time.
    pub async fn wait(self) -> Result<(), CopyError> {
        match timeout(COPY_TIMEOUT, self.0).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CopyError::NoNeighbour),
            Err(_) => Err(CopyError::Timeout),
        }
    }
}

/// Records that no closed window is known to cover, and who waits for a copy.
#[derive(Debug, Default)]
pub struct CopyQueue {
    position: UsagePosition,
    records: BTreeMap<Sequence, UsageRecord>,
    /// The first record that the present neighbour wasn't sent.
    unsent: Sequence,
    waiting: BTreeMap<Sequence, oneshot::Sender<Result<(), CopyError>>>,
}

impl CopyQueue {
    /// Creates a queue without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether every record is covered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds the record that follows the last one.
    pub fn add(&mut self, record: UsageRecord) -> PendingCopy {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(record.sequence, sender);
        self.records.insert(record.sequence, record);
        PendingCopy(receiver)
    }

    /// Notes up to where windows are closed, and drops what they cover.
    pub fn advance(&mut self, position: UsagePosition) {
        self.position = self.position.max(position);
        self.records = self.records.split_off(&self.position.covered_to);
        // What a closed window covers needs no copy any more.
        self.confirm(self.position.covered_to);
    }

    /// Has everything sent again, to another neighbour.
    pub fn restart(&mut self) {
        self.unsent = self.position.covered_to;
    }

    /// Returns the next records that the neighbour wasn't sent.
    pub fn take_batch(
        &mut self,
        process: &ProcessId,
        incarnation: Incarnation,
    ) -> Option<CopyBatch> {
        let first = self.unsent.max(self.position.covered_to);
        let numbers = (first.0..).map(Sequence);
        let records: Vec<UsageRecord> = self
            .records
            .range(first..)
            .zip(numbers)
            .take_while(|((sequence, _), number)| *sequence == number)
            .take(MAX_BATCH)
            .map(|((_, record), _)| record.clone())
            .collect();
        if records.is_empty() {
            return None;
        }
        self.unsent = Sequence(first.0 + records.len() as u64);
        Some(CopyBatch {
            process: process.clone(),
            incarnation,
            position: self.position,
            first,
            records,
        })
    }

    /// Notes that the neighbour holds every record before `end`.
    pub fn confirm(&mut self, end: Sequence) {
        let unconfirmed = self.waiting.split_off(&end);
        for (_, waiter) in std::mem::replace(&mut self.waiting, unconfirmed) {
            // A caller that no longer waits needs no answer.
            let _ = waiter.send(Ok(()));
        }
    }

    /// Tells all who wait that there is no copy yet.
    pub fn fail(&mut self, error: CopyError) {
        for (_, waiter) in std::mem::take(&mut self.waiting) {
            // A caller that no longer waits needs no answer.
            let _ = waiter.send(Err(error));
        }
    }
}
