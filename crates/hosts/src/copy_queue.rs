//! Usage records of this process that wait for a copy or for a closed window.

use crate::copies::UsagePosition;
use crate::usage_range::{ClosedWindow, UsageRange};
use crate::wire::CopyBatch;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord, WindowId};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout after which a record is reported as having no copy yet.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why no peer is known to hold a copy of a record. The record is kept and copied
/// later if possible.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CopyError {
    /// No other host of the data centre accepts copies.
    #[error("no other host of the data centre accepts copies")]
    NoPeer,
    /// No peer confirmed a copy in time.
    #[error("no peer confirmed a copy in time")]
    Timeout,
}

/// A requested copy that may not be confirmed yet.
#[derive(Debug)]
pub struct PendingCopy(oneshot::Receiver<Result<(), CopyError>>);

impl PendingCopy {
    /// Waits for the confirmation of the copy.
    ///
    /// # Errors
    ///
    /// Returns an error if no peer confirmed a copy in time.
    pub async fn wait(self) -> Result<(), CopyError> {
        match timeout(COPY_TIMEOUT, self.0).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CopyError::NoPeer),
            Err(_) => Err(CopyError::Timeout),
        }
    }
}

/// The records that no window known to be closed covers, and the waiters for
/// their copies.
#[derive(Debug, Default)]
pub struct CopyQueue {
    position: UsagePosition,
    uncovered: UsageRange,
    /// The uncovered records that weren't put into any batch yet, whichever peer
    /// the batch was for. A change of the peer doesn't reset it, because the first
    /// batch to a new peer contains all uncovered records.
    unsent: UsageRange,
    /// The kind of batch that the current peer must receive next.
    next: NextBatch,
    waiters: BTreeMap<Sequence, oneshot::Sender<Result<(), CopyError>>>,
}

/// The kind of batch that a peer must receive next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum NextBatch {
    /// All uncovered records, immediately, because the peer may hold none.
    #[default]
    Full,
    /// All uncovered records, once there is a new record, because a window was
    /// closed or skipped since the last batch and the peer must learn the new
    /// position.
    FullOnNewRecord,
    /// Only the records that weren't put into any batch yet.
    Incremental,
}

impl CopyQueue {
    /// Creates a queue without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether closed windows cover every record.
    pub fn is_empty(&self) -> bool {
        self.uncovered.is_empty()
    }

    /// Adds the record that follows the last one.
    pub fn add(&mut self, record: &UsageRecord) -> PendingCopy {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(self.uncovered.to, sender);
        self.uncovered.add(record);
        self.unsent.add(record);
        PendingCopy(receiver)
    }

    /// Skips the windows before `window`, if closed windows cover every record.
    pub fn skip_to(&mut self, window: WindowId) {
        if self.uncovered.is_empty() && window > self.position.next_window {
            self.position.next_window = window;
            self.require_full_batch();
        }
    }

    /// Records that a window was closed, and drops the records that it covers.
    /// Returns whether the window matches the queued records.
    pub fn close_window(&mut self, closed: &ClosedWindow) -> bool {
        let Some(rest) = self.uncovered.without_start(&closed.range) else {
            return false;
        };
        self.uncovered = rest;
        self.position = closed.next_position();
        if self.unsent.from < self.uncovered.from {
            self.unsent = self.uncovered.clone();
        }
        self.require_full_batch();
        // Records that a closed window covers no longer need a copy.
        self.confirm(closed.range.to);
        true
    }

    fn require_full_batch(&mut self) {
        if self.next == NextBatch::Incremental {
            self.next = NextBatch::FullOnNewRecord;
        }
    }

    /// Schedules all uncovered records to be sent again, to another peer.
    pub fn resend_all(&mut self) {
        self.next = NextBatch::Full;
    }

    /// Returns the batch that the peer must receive now, if any.
    pub fn take_batch(
        &mut self,
        process: &ProcessId,
        incarnation: Incarnation,
    ) -> Option<CopyBatch> {
        let is_full = match self.next {
            NextBatch::Full if self.uncovered.is_empty() => return None,
            NextBatch::FullOnNewRecord | NextBatch::Incremental if self.unsent.is_empty() => {
                return None;
            }
            NextBatch::Full | NextBatch::FullOnNewRecord => true,
            NextBatch::Incremental => false,
        };
        self.next = NextBatch::Incremental;
        let unsent = std::mem::replace(&mut self.unsent, UsageRange::new(self.uncovered.to));
        let range = match is_full {
            true => self.uncovered.clone(),
            false => unsent,
        };
        Some(CopyBatch {
            process: process.clone(),
            incarnation,
            position: self.position,
            is_full,
            range,
        })
    }

    /// Records that the peer holds every record before `end`.
    pub fn confirm(&mut self, end: Sequence) {
        let unconfirmed = self.waiters.split_off(&end);
        for (_, waiter) in std::mem::replace(&mut self.waiters, unconfirmed) {
            // Sending fails only when the waiter was dropped.
            let _ = waiter.send(Ok(()));
        }
    }

    /// Tells all waiters that there is no copy yet.
    pub fn fail(&mut self, error: CopyError) {
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            // Sending fails only when the waiter was dropped.
            let _ = waiter.send(Err(error));
        }
    }
}
