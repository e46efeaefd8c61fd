//! Requests that began to run, by window of the time of day and workspace.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of a window: the whole windows since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageWindow(pub u64);

/// Requests of one window by workspace.
pub type WindowCounts = BTreeMap<String, u64>;

/// Windows that a host keeps publishing; a report is due before they are over.
const KEPT_WINDOWS: u64 = 5;

/// What this process has counted.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    window_us: i64,
    counts: BTreeMap<UsageWindow, WindowCounts>,
}

impl UsageCounts {
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

    /// Returns the oldest window that may still be reported.
    pub fn oldest_retained(&self, unix_us: i64) -> UsageWindow {
        UsageWindow(self.window_at(unix_us).0.saturating_sub(KEPT_WINDOWS))
    }

    /// Drops windows that are too old to be reported and returns the rest.
    pub fn recent(&mut self, unix_us: i64) -> &BTreeMap<UsageWindow, WindowCounts> {
        let oldest = self.oldest_retained(unix_us);
        self.counts.retain(|window, _| *window >= oldest);
        &self.counts
    }
}

/// What one host has published of its counts. There is one for each host; a
/// start of the host takes over what the start before it had published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// Tells the starts of the host apart.
    pub start_id: i64,
    /// Unix time of the host when it published, in microseconds.
    pub unix_us: i64,
    /// Where the host hears from others.
    pub peer_address: Option<SocketAddr>,
    /// Counts of this start by window number.
    pub windows: BTreeMap<u64, WindowCounts>,
    /// Counts of the starts before it by window number.
    pub earlier: BTreeMap<u64, WindowCounts>,
}

impl HostCounts {
    /// Returns the counts of all starts up to this one, for the next start to
    /// carry on; windows before `oldest` are left out.
    pub fn carry_over(&self, oldest: UsageWindow) -> BTreeMap<u64, WindowCounts> {
        let mut carried = self.earlier.clone();
        for (window, counts) in &self.windows {
            add(carried.entry(*window).or_default(), counts);
        }
        carried.retain(|window, _| *window >= oldest.0);
        carried
    }
}

/// How long hosts are waited for before a window is summed up, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SumTimeouts {
    /// Waited at the longest after the end of the window.
    pub max_wait_us: i64,
    /// A host that hasn't published for this long is not waited for.
    pub silent_host_us: i64,
}

/// Adds up what all hosts counted in a window that ended at `end_us`; `None`
/// while a host that may be alive has yet to publish after the end.
pub fn sum_window(
    hosts: &[HostCounts],
    window: UsageWindow,
    end_us: i64,
    unix_us: i64,
    patience: SumTimeouts,
) -> Option<WindowCounts> {
    let is_behind = |host: &HostCounts| {
        host.unix_us < end_us && unix_us < host.unix_us + patience.silent_host_us
    };
    let may_wait = unix_us < end_us + patience.max_wait_us;
    if may_wait && hosts.iter().any(is_behind) {
        return None;
    }
    let mut sum = WindowCounts::new();
    for host in hosts {
        for counts in [&host.windows, &host.earlier] {
            if let Some(counts) = counts.get(&window.0) {
                add(&mut sum, counts);
            }
        }
    }
    Some(sum)
}

fn add(sum: &mut WindowCounts, counts: &WindowCounts) {
    for (workspace, count) in counts {
        *sum.entry(workspace.clone()).or_default() += count;
    }
}
