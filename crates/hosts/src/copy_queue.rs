//! Usage of this process that waits for a copy or for its window.

use crate::copies::UsagePosition;
use crate::usage_range::{ClosedWindow, UsageRange};
use crate::wire::CopyBatch;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord, WindowId};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time after which a caller is told that its record has no copy yet.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a record has no second copy. It is kept and copied later if possible.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CopyError {
    /// No other host of the data centre takes copies.
    #[error("no other host of the data centre takes copies")]
    NoPeer,
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
            Ok(Err(_)) => Err(CopyError::NoPeer),
            Err(_) => Err(CopyError::Timeout),
        }
    }
}

/// What no closed window is known to cover, and who waits for a copy of it.
#[derive(Debug, Default)]
pub struct CopyQueue {
    position: UsagePosition,
    uncovered: UsageRange,
    /// The records that the present neighbour wasn't sent.
    unsent: UsageRange,
    /// What the present neighbour must be sent next.
    next: NextBatch,
    waiting: BTreeMap<Sequence, oneshot::Sender<Result<(), CopyError>>>,
}

/// What a neighbour must be sent next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum NextBatch {
    /// Everything, at once: it may hold nothing.
    #[default]
    Everything,
    /// Everything, once there is something new: what it holds goes back to
    /// before the last closed window.
    EverythingWithNews,
    /// What is new.
    News,
}

impl CopyQueue {
    /// Creates a queue without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether every record is covered.
    pub fn is_empty(&self) -> bool {
        self.uncovered.is_empty()
    }

    /// Adds the record that follows the last one.
    pub fn add(&mut self, record: &UsageRecord) -> PendingCopy {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(self.uncovered.to, sender);
        self.uncovered.add(record);
        self.unsent.add(record);
        PendingCopy(receiver)
    }

    /// Notes that windows are left out, while no record is uncovered.
    pub fn skip_to(&mut self, window: WindowId) {
        if self.uncovered.is_empty() && window > self.position.next_window {
            self.position.next_window = window;
            self.note_position();
        }
    }

    /// Notes that a window was closed, and drops what it covers; returns
    /// whether it fits what is kept.
    pub fn close_window(&mut self, closed: &ClosedWindow) -> bool {
        let Some(rest) = self.uncovered.without_start(&closed.range) else {
            return false;
        };
        self.uncovered = rest;
        self.position = closed.next_position();
        if self.unsent.from < self.uncovered.from {
            self.unsent = self.uncovered.clone();
        }
        self.note_position();
        // What a closed window covers needs no copy any more.
        self.confirm(closed.range.to);
        true
    }

    fn note_position(&mut self) {
        if self.next == NextBatch::News {
            self.next = NextBatch::EverythingWithNews;
        }
    }

    /// Has everything sent again, to another neighbour.
    pub fn resend_all(&mut self) {
        self.next = NextBatch::Everything;
    }

    /// Returns what the neighbour must be sent now.
    pub fn take_batch(
        &mut self,
        process: &ProcessId,
        incarnation: Incarnation,
    ) -> Option<CopyBatch> {
        let is_full = match self.next {
            NextBatch::Everything if self.uncovered.is_empty() => return None,
            NextBatch::EverythingWithNews | NextBatch::News if self.unsent.is_empty() => {
                return None;
            }
            NextBatch::Everything | NextBatch::EverythingWithNews => true,
            NextBatch::News => false,
        };
        self.next = NextBatch::News;
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
