//! Records that follow each other, summed up.
//!
//! No process keeps single records: memory would grow with each request for as
//! long as the platform is down. Whoever closed a part of a range said what that
//! part sums up to, so the rest is a subtraction.

use crate::copies::UsagePosition;
use lagoonlift_types::{Sequence, UsageRecord, UsageSums, WindowId};
use serde::{Deserialize, Serialize};

/// The records `[from, to)` of one incarnation, summed up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRange {
    /// The first record.
    pub from: Sequence,
    /// The first record after the last.
    pub to: Sequence,
    /// What they sum up to.
    pub sums: UsageSums,
}

/// What a closed window covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedWindow {
    /// The window.
    pub window: WindowId,
    /// The records that it covers.
    pub range: UsageRange,
}

impl ClosedWindow {
    /// Returns where the chain of windows goes on after this one.
    pub fn next_position(&self) -> UsagePosition {
        UsagePosition {
            next_window: WindowId(self.window.0.saturating_add(1)),
            covered_to: self.range.to,
        }
    }
}

impl UsageRange {
    /// Creates the range without records that starts at `from`.
    pub fn new(from: Sequence) -> Self {
        Self {
            from,
            to: from,
            sums: UsageSums::new(),
        }
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.from >= self.to
    }

    /// Returns the number of records.
    pub fn len(&self) -> u64 {
        self.to.0.saturating_sub(self.from.0)
    }

    /// Adds the record that follows the last one.
    pub fn add(&mut self, record: &UsageRecord) {
        self.to = self.to.next();
        self.sums
            .add(&record.workspace, &record.class, record.figures);
    }

    /// Adds the range that follows this one.
    pub fn append(&mut self, next: &Self) {
        self.to = next.to;
        self.sums.merge(&next.sums);
    }

    /// Returns what is left after a range that starts where this one does is
    /// taken away; `None` if that range can't be a part of this one. It may
    /// reach further: whoever holds the range may lack the last records.
    pub fn without_start(&self, start: &Self) -> Option<Self> {
        if start.from != self.from || start.to < start.from {
            return None;
        }
        if start.to >= self.to {
            return Some(Self::new(start.to));
        }
        Some(Self {
            from: start.to,
            to: self.to,
            sums: self.sums.checked_sub(&start.sums)?,
        })
    }
}
