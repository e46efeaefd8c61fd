//! Sums of consecutive usage records.
//!
//! No process keeps individual records, because memory use would grow with each
//! request during an outage of the platform. A closed window carries the sums
//! of the records that it covers, so the remainder of a range is computed by
//! subtraction.

use crate::copies::UsagePosition;
use lagoonlift_types::{Sequence, UsageRecord, UsageSums, WindowId};
use serde::{Deserialize, Serialize};

/// The sums of the records `[from, to)` of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRange {
    /// The first record.
    pub from: Sequence,
    /// The first record after the range.
    pub to: Sequence,
    /// The sums of the records.
    pub sums: UsageSums,
}

/// A closed window with the records that it covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedWindow {
    /// The window.
    pub window: WindowId,
    /// The records that the window covers.
    pub range: UsageRange,
}

impl ClosedWindow {
    /// Returns the position after this window: the number of the following window
    /// and the first record after this window, at which the following one starts.
    pub fn next_position(&self) -> UsagePosition {
        UsagePosition {
            next_window: WindowId(self.window.0.saturating_add(1)),
            covered_to: self.range.to,
        }
    }
}

impl UsageRange {
    /// Creates an empty range that starts at `from`.
    pub fn new(from: Sequence) -> Self {
        Self {
            from,
            to: from,
            sums: UsageSums::new(),
        }
    }

    /// Returns whether the range contains no records.
    pub fn is_empty(&self) -> bool {
        self.from >= self.to
    }

    /// Returns the number of records.
    pub fn len(&self) -> u64 {
        self.to.0.saturating_sub(self.from.0)
    }

    /// Adds the record that follows the range.
    pub fn add(&mut self, record: &UsageRecord) {
        self.to = self.to.next();
        self.sums
            .add(&record.workspace, &record.class, record.figures);
    }

    /// Appends the range that follows this one.
    pub fn append(&mut self, next: &Self) {
        self.to = next.to;
        self.sums.merge(&next.sums);
    }

    /// Returns the remainder of this range after `start`, a range that begins
    /// where this one does. Returns `None` if `start` can't be a part of this
    /// range.
    ///
    /// `start` may extend past the end of this range, because the holder of
    /// this range may lack the latest records. The remainder is then empty.
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
