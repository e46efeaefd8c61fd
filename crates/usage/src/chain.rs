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

use crate::window::{UsageWindow, sum};
use lagoonlift_hosts::UsagePosition;
use lagoonlift_types::{Incarnation, ProcessId, Sequence, UsageRecord, WindowId};
use std::collections::VecDeque;
use thiserror::Error;

/// A closed window that doesn't fit the chain.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("window {window} starts at record {found}, not at {expected}")]
pub struct BrokenChain {
    /// The window.
    pub window: WindowId,
    /// Where it starts.
    pub found: Sequence,
    /// Where it should start.
    pub expected: Sequence,
}

/// The records of one incarnation that no closed window covers, and the place
/// where its chain goes on.
#[derive(Debug)]
pub struct WindowChain {
    process: ProcessId,
    incarnation: Incarnation,
    position: UsagePosition,
    /// The records from `position.covered_to` on, without gaps.
    records: VecDeque<UsageRecord>,
}

impl WindowChain {
    /// Creates a chain that goes on at `position`.
    pub fn new(process: ProcessId, incarnation: Incarnation, position: UsagePosition) -> Self {
        Self {
            process,
            incarnation,
            position,
            records: VecDeque::new(),
        }
    }

    /// Creates a chain of records that follow each other from
    /// `position.covered_to` on.
    #[must_use]
    pub fn with_records(mut self, records: Vec<UsageRecord>) -> Self {
        self.records = records.into();
        self
    }

    /// Returns where the chain goes on.
    pub fn position(&self) -> UsagePosition {
        self.position
    }

    /// Returns the sequence of the next record.
    pub fn next_sequence(&self) -> Sequence {
        Sequence(self.position.covered_to.0 + self.records.len() as u64)
    }

    /// Returns how many records no closed window covers.
    pub fn uncovered(&self) -> usize {
        self.records.len()
    }

    /// Adds the next record, which falls into `window`.
    pub fn add(&mut self, record: UsageRecord, window: WindowId) {
        if self.records.is_empty() {
            self.position.next_window = self.position.next_window.max(window);
        }
        self.records.push_back(record);
    }

    /// Returns the window to create next, if there are records for it and it
    /// ended before `current`.
    pub fn attempt(&self, current: WindowId, closed_by: &ProcessId) -> Option<UsageWindow> {
        let due = self.position.next_window < current && !self.records.is_empty();
        due.then(|| UsageWindow {
            window: self.position.next_window,
            process: self.process.clone(),
            incarnation: self.incarnation,
            from: self.position.covered_to,
            to: self.next_sequence(),
            lines: sum(self.records.iter()),
            closed_by: closed_by.clone(),
        })
    }

    /// Takes in the window that the platform holds.
    ///
    /// # Errors
    ///
    /// Fails when the window isn't the next one of this chain; then nothing
    /// changes.
    pub fn settle(&mut self, window: &UsageWindow) -> Result<(), BrokenChain> {
        let expected = self.position.covered_to;
        if window.window < self.position.next_window {
            // Settled before: an answer that came twice.
            return Ok(());
        }
        let fits = window.window == self.position.next_window
            && window.from == expected
            && window.to >= expected;
        if !fits {
            return Err(BrokenChain {
                window: window.window,
                found: window.from,
                expected,
            });
        }
        // A neighbour may hold fewer records than the process itself covered.
        let covered = (window.to.0 - expected.0) as usize;
        self.records.drain(..covered.min(self.records.len()));
        self.position = window.next_position();
        Ok(())
    }
}
