//! Which sum of a usage window may be reported, also after a restore of the store.
//!
//! The platform must not get two reports of one window with different figures. The sum
//! of a window is therefore stored, with a write that succeeds only once, before it is
//! reported. A restore of the store from a copy may lose that sum, and adding the counts
//! up again may result in other figures. After a restore, a process that knows the sum
//! stores it again. A window whose sum may have been reported, and that no process
//! knows, is not reported: a missing report is preferred to a second one.

use super::{UsageWindow, WindowCounts};
use std::collections::BTreeMap;

/// Number of the latest sums that a process keeps.
const KEPT_SUMS: usize = 16;

/// How the sum of a window that isn't stored is determined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SumSource {
    /// This process stored or read the sum earlier; it must be stored again as it was.
    Known(WindowCounts),
    /// No process has stored a sum; the hosts' counts are added up.
    HostCounts,
    /// A sum may have been reported before the store was restored. Nothing is reported.
    Lost,
}

/// The sums that this process stored or read, and the time of the latest restore.
#[derive(Clone, Debug, Default)]
pub struct SealedSums {
    sums: BTreeMap<UsageWindow, WindowCounts>,
    restored_us: Option<i64>,
}

impl SealedSums {
    /// Creates an instance that knows no sums.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sum that is in the store. The first one recorded for a window stays.
    pub fn record(&mut self, window: UsageWindow, counts: &WindowCounts) {
        self.sums.entry(window).or_insert_with(|| counts.clone());
        while self.sums.len() > KEPT_SUMS {
            self.sums.pop_first();
        }
    }

    /// Records the Unix time in microseconds from which on no sum was lost: when the latest
    /// restore was learnt of, or when the first lease holder of the era started. `None` if
    /// the store states no eras.
    pub fn set_restore_time(&mut self, restored_us: Option<i64>) {
        self.restored_us = restored_us;
    }

    /// Returns the known sums of windows from `oldest` on, which have to be stored again
    /// after a restore.
    pub fn since(&self, oldest: UsageWindow) -> Vec<(UsageWindow, WindowCounts)> {
        let sums = self.sums.range(oldest..);
        sums.map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// Returns how the sum of `window`, which ended at the Unix time `end_us` in
    /// microseconds and isn't in the store, is determined.
    ///
    /// A window is summed only after a delay from its end. A sum that was stored before
    /// the restore therefore belongs to a window that ended before the restore, also if
    /// the hosts' clocks differ by less than that delay.
    pub fn source_of(&self, window: UsageWindow, end_us: i64) -> SumSource {
        match (self.sums.get(&window), self.restored_us) {
            (Some(counts), _) => SumSource::Known(counts.clone()),
            (None, Some(restored_us)) if end_us < restored_us => SumSource::Lost,
            (None, _) => SumSource::HostCounts,
        }
    }
}
