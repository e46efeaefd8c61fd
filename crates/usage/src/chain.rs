//! The chain of windows of one incarnation.
//!
//! Every window that is closed starts where the one before it ended, and its
//! content is whatever object was created first. Whoever walks the chain, the
//! process itself or a neighbour with its copies, attempts the next window and
//! then takes what the platform holds for the truth, its own attempt or not. A
//! process that was paused while a neighbour closed its window therefore bills
//! nothing again: what that window covers is dropped, the rest goes into a
//! later one.
//!
//! A window may be left out only while no record is uncovered: a neighbour that
//! holds records could otherwise close the window that was left out.

use crate::window::{UsageWindow, lines_of};
use lagoonlift_hosts::{UsagePosition, UsageRange};
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord, WindowId};
use thiserror::Error;

/// A closed window that doesn't fit the chain: it isn't the next one, starts
/// elsewhere, or sums up to more than its records do.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("window {window} starts at record {found}; the chain goes on at record {expected}")]
pub struct BrokenChain {
    /// The window.
    pub window: WindowId,
    /// Where it starts.
    pub found: Sequence,
    /// Where the chain goes on.
    pub expected: Sequence,
}

/// The usage of one incarnation that no closed window covers, and the place
/// where its chain goes on.
#[derive(Debug)]
pub struct WindowChain {
    process: ProcessId,
    incarnation: Incarnation,
    next_window: WindowId,
    uncovered: UsageRange,
}

impl WindowChain {
    /// Creates a chain that goes on at `position`.
    pub fn new(process: ProcessId, incarnation: Incarnation, position: UsagePosition) -> Self {
        Self {
            process,
            incarnation,
            next_window: position.next_window,
            uncovered: UsageRange::new(position.covered_to),
        }
    }

    /// Creates a chain of records that follow each other from
    /// `position.covered_to` on.
    #[must_use]
    pub fn with_range(mut self, range: UsageRange) -> Self {
        self.uncovered = range;
        self
    }

    /// Returns where the chain goes on.
    pub fn position(&self) -> UsagePosition {
        UsagePosition {
            next_window: self.next_window,
            covered_to: self.uncovered.from,
        }
    }

    /// Returns the sequence of the next record.
    pub fn next_sequence(&self) -> Sequence {
        self.uncovered.to
    }

    /// Adds the next record, which falls into `window`.
    pub fn add(&mut self, record: &UsageRecord, window: WindowId) {
        if self.uncovered.is_empty() {
            self.next_window = self.next_window.max(window);
        }
        self.uncovered.add(record);
    }

    /// Returns the window to create next, if there are records for it and it
    /// ended before `current`.
    pub fn next_attempt(&self, current: WindowId, closed_by: &ProcessId) -> Option<UsageWindow> {
        let due = self.next_window < current && !self.uncovered.is_empty();
        due.then(|| UsageWindow {
            window: self.next_window,
            process: self.process.clone(),
            incarnation: self.incarnation,
            from: self.uncovered.from,
            to: self.uncovered.to,
            lines: lines_of(&self.uncovered.sums),
            closed_by: closed_by.clone(),
        })
    }

    /// Takes in the window that the platform holds.
    ///
    /// # Errors
    ///
    /// Fails when the window isn't the next one of this chain; then nothing
    /// changes.
    pub fn apply(&mut self, window: &UsageWindow) -> Result<(), BrokenChain> {
        if window.window < self.next_window {
            // Settled before: an answer that came twice.
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
