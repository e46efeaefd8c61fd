//! The chain of the usage windows of one incarnation.
//!
//! Each closed window starts at the record where the previous one ended. Its
//! content is that of the first object created for it, either by the process
//! itself or by a peer that holds copies of its records. Both attempt to create
//! the next window's object and then apply the window that the platform holds,
//! whether or not it is their own attempt. A process that was paused while a
//! peer closed its window therefore bills no record twice: it drops the records
//! that the window covers, and the others go into a later window.
//!
//! A window may be skipped only while there are no uncovered records. Otherwise
//! a peer that holds records could close the skipped window.

use crate::window::{UsageWindow, lines_of};
use lagoonlift_hosts::{UsagePosition, UsageRange};
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord, WindowId};
use thiserror::Error;

/// A closed window that doesn't fit the chain: it isn't the next window, starts
/// at another record, or its sums exceed those of the records that it covers.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("window {window} starts at record {found}; the chain continues at record {expected}")]
pub struct BrokenChain {
    /// The window.
    pub window: WindowId,
    /// The record at which it starts.
    pub found: Sequence,
    /// The record at which it should start.
    pub expected: Sequence,
}

/// The usage of one incarnation that no closed window covers, and the position at
/// which its chain continues.
#[derive(Debug)]
pub struct WindowChain {
    process: ProcessId,
    incarnation: Incarnation,
    next_window: WindowId,
    uncovered: UsageRange,
}

impl WindowChain {
    /// Creates a chain that continues at `position`.
    pub fn new(process: ProcessId, incarnation: Incarnation, position: UsagePosition) -> Self {
        Self {
            process,
            incarnation,
            next_window: position.next_window,
            uncovered: UsageRange::new(position.covered_to),
        }
    }

    /// Sets the uncovered records, which start at the position's `covered_to`.
    #[must_use]
    pub fn with_range(mut self, range: UsageRange) -> Self {
        self.uncovered = range;
        self
    }

    /// Returns the position at which the chain continues.
    pub fn position(&self) -> UsagePosition {
        UsagePosition {
            next_window: self.next_window,
            covered_to: self.uncovered.from,
        }
    }

    /// Returns the sequence number of the next record.
    pub fn next_sequence(&self) -> Sequence {
        self.uncovered.to
    }

    /// Adds the next record, which belongs to `window`.
    pub fn add(&mut self, record: &UsageRecord, window: WindowId) {
        if self.uncovered.is_empty() {
            self.next_window = self.next_window.max(window);
        }
        self.uncovered.add(record);
    }

    /// Returns the next window to close if there are uncovered records and the
    /// window ended before `current`.
    pub fn next_attempt(&self, current: WindowId, closed_by: &ProcessId) -> Option<UsageWindow> {
        let is_due = self.next_window < current && !self.uncovered.is_empty();
        is_due.then(|| UsageWindow {
            window: self.next_window,
            process: self.process.clone(),
            incarnation: self.incarnation,
            from: self.uncovered.from,
            to: self.uncovered.to,
            lines: lines_of(&self.uncovered.sums),
            closed_by: closed_by.clone(),
        })
    }

    /// Applies a window that the platform holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the window isn't the next one of this chain. The chain
    /// is unchanged then.
    pub fn apply(&mut self, window: &UsageWindow) -> Result<(), BrokenChain> {
        if window.window < self.next_window {
            // This window was applied before; the response is a duplicate.
            return Ok(());
        }
        let closed = window.to_closed_window();
        match self.uncovered.without_start(&closed.range) {
            Some(rest) if window.window == self.next_window => {
                self.uncovered = rest;
                self.next_window = closed.next_position().next_window;
                Ok(())
            }
            _ => Err(BrokenChain {
                window: window.window,
                found: window.from,
                expected: self.uncovered.from,
            }),
        }
    }
}
