//! Counts of what was recorded, copied and closed.

use opentelemetry::metrics::Meter;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UsageCounter {
    /// Records made.
    Records,
    /// Records whose caller was told that there is no second copy yet.
    RecordsUncopied,
    /// Windows of this process that were closed, by whomever.
    WindowsClosed,
    /// Of those, windows that a neighbour closed.
    WindowsClosedByOthers,
    /// Of those, windows closed later than one window after their end.
    WindowsLate,
    /// Windows that this process closed for neighbours.
    PeerWindowsClosed,
    /// Attempts to close a window that failed and are repeated.
    AttemptsFailed,
    /// Windows that didn't fit their chain.
    ChainsBroken,
}

impl UsageCounter {
    /// All counters.
    pub const ALL: &[Self] = &[
        Self::Records,
        Self::RecordsUncopied,
        Self::WindowsClosed,
        Self::WindowsClosedByOthers,
        Self::WindowsLate,
        Self::PeerWindowsClosed,
        Self::AttemptsFailed,
        Self::ChainsBroken,
    ];

    /// Returns the counter's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Records => "usage_records",
            Self::RecordsUncopied => "usage_records_uncopied",
            Self::WindowsClosed => "usage_windows_closed",
            Self::WindowsClosedByOthers => "usage_windows_closed_by_others",
            Self::WindowsLate => "usage_windows_late",
            Self::PeerWindowsClosed => "usage_neighbour_windows_closed",
            Self::AttemptsFailed => "usage_attempts_failed",
            Self::ChainsBroken => "usage_chains_broken",
        }
    }
}

/// The counts of one process.
#[derive(Debug, Default)]
pub struct UsageCounters {
    values: [AtomicU64; UsageCounter::ALL.len()],
}

impl UsageCounters {
    /// Returns a count since the process's start.
    pub fn get(&self, counter: UsageCounter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Shows all counts in the metrics of the process, under their names with
    /// `lagoonlift_` in front.
    pub fn observe(self: &Arc<Self>, meter: &Meter) {
        for counter in UsageCounter::ALL {
            let counters = Arc::clone(self);
            let name = format!("lagoonlift_{}", counter.name());
            let builder = meter.u64_observable_counter(name);
            builder
                .with_callback(move |observer| observer.observe(counters.get(*counter), &[]))
                .build();
        }
    }

    pub(crate) fn increment(&self, counter: UsageCounter) {
        self.values[counter as usize].fetch_add(1, Ordering::Relaxed);
    }
}
