//! Counters of usage records, copies and closed windows.

use opentelemetry::metrics::Meter;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter of usage events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UsageCounter {
    /// Usage records created.
    Records,
    /// Records for which no second copy was confirmed in time.
    RecordsUncopied,
    /// Closed windows of this process.
    WindowsClosed,
    /// Windows of this process that a peer closed.
    WindowsClosedByOthers,
    /// Windows of this process closed more than one window length after their end.
    WindowsLate,
    /// Windows of peers that this process closed.
    PeerWindowsClosed,
    /// Failed attempts to close a window, which are retried.
    AttemptsFailed,
    /// Closed windows that didn't fit their chain.
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

    /// Returns the counter's name in metrics, without the prefix `lagoonlift_`.
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

/// The counters of one process.
#[derive(Debug, Default)]
pub struct UsageCounters {
    values: [AtomicU64; UsageCounter::ALL.len()],
}

impl UsageCounters {
    /// Returns the counter's value since the start of the process.
    pub fn get(&self, counter: UsageCounter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Registers all counters with `meter`, under their names with the prefix
    /// `lagoonlift_`.
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
