//! Requests that began to run, by window of the time of day and workspace.

use std::collections::BTreeMap;

/// Number of a window: the whole windows since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageWindow(pub u64);

/// Requests of one window by workspace.
pub type WindowCounts = BTreeMap<String, u64>;

/// Windows that a host keeps publishing; a report is due before they are over.
const KEPT_WINDOWS: u64 = 5;

/// What this process has counted.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    window_us: i64,
    counts: BTreeMap<UsageWindow, WindowCounts>,
}

impl UsageLedger {
    /// Creates a ledger whose windows last `window_us` microseconds.
    pub fn new(window_us: i64) -> Self {
        Self {
            window_us: window_us.max(1),
            counts: BTreeMap::new(),
        }
    }

    /// Returns the window that contains the Unix time `unix_us`.
    pub fn window_at(&self, unix_us: i64) -> UsageWindow {
        UsageWindow(u64::try_from(unix_us / self.window_us).unwrap_or(0))
    }

    /// Returns the Unix time in microseconds at which a window ends.
    pub fn end_of(&self, window: UsageWindow) -> i64 {
        (window.0 as i64 + 1) * self.window_us
    }

    /// Counts a request that began to run at `unix_us`.
    pub fn count(&mut self, unix_us: i64, workspace: &str) {
        let window = self.window_at(unix_us);
        let counts = self.counts.entry(window).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.to_owned(), 1);
            }
        }
    }

    /// Drops windows that are too old to be reported and returns the rest.
    pub fn recent(&mut self, unix_us: i64) -> &BTreeMap<UsageWindow, WindowCounts> {
        let oldest = self.window_at(unix_us).0.saturating_sub(KEPT_WINDOWS);
        self.counts.retain(|window, _| window.0 >= oldest);
        &self.counts
    }
}
