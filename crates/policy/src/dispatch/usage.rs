//! Counts the requests that began to run, by workspace and usage window.
//!
//! Each host publishes its counts, and the counts of all hosts are summed for the
//! usage report of a window.

use super::UsageCopy;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of a usage window, counted from the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UsageWindow(pub u64);

/// Number of requests in one window, by workspace.
pub type WindowCounts = BTreeMap<String, u64>;

/// Number of past windows that a host publishes. The usage report of a window is due
/// within as many windows after its end.
const PUBLISHED_WINDOWS: u64 = 5;

/// The requests that this process has counted.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    window_us: i64,
    counts: BTreeMap<UsageWindow, WindowCounts>,
}

impl UsageCounts {
    /// Creates empty counts with windows of `window_us` microseconds.
    pub fn new(window_us: i64) -> Self {
        Self {
            window_us: window_us.max(1),
            counts: BTreeMap::new(),
        }
    }

    /// Returns the window that contains the Unix time `unix_us` in microseconds.
    pub fn window_at(&self, unix_us: i64) -> UsageWindow {
        UsageWindow(u64::try_from(unix_us / self.window_us).unwrap_or(0))
    }

    /// Returns the end of a window as a Unix time in microseconds.
    pub fn end_of(&self, window: UsageWindow) -> i64 {
        (window.0 as i64 + 1) * self.window_us
    }

    /// Counts a request that began to run at the Unix time `started_us` in microseconds.
    pub fn count(&mut self, started_us: i64, workspace: &str) {
        let window = self.window_at(started_us);
        let counts = self.counts.entry(window).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.to_owned(), 1);
            }
        }
    }

    /// Returns the counts of a window.
    pub fn counts_of(&self, window: UsageWindow) -> WindowCounts {
        self.counts.get(&window).cloned().unwrap_or_default()
    }

    /// Returns the oldest window that may still be reported at the Unix time
    /// `now_us` in microseconds.
    pub fn oldest_retained(&self, now_us: i64) -> UsageWindow {
        UsageWindow(self.window_at(now_us).0.saturating_sub(PUBLISHED_WINDOWS))
    }

    /// Removes windows that are too old to be reported at the Unix time `now_us` in
    /// microseconds, and returns the others.
    pub fn recent(&mut self, now_us: i64) -> &BTreeMap<UsageWindow, WindowCounts> {
        let oldest = self.oldest_retained(now_us);
        self.counts.retain(|window, _| *window >= oldest);
        &self.counts
    }
}

/// Counts by window number.
pub type CountsByWindow = BTreeMap<u64, WindowCounts>;

/// The published counts of one host.
///
/// Each host has one such object. A new incarnation of the host carries over the
/// counts that the previous incarnations had published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// Identifies the incarnation of the host; later ones have higher numbers.
    pub start_id: i64,
    /// Unix time of publishing by the host's clock, in microseconds.
    pub unix_us: i64,
    /// Address at which the host receives messages from its peers.
    pub peer_address: Option<SocketAddr>,
    /// Counts of this incarnation.
    pub windows: CountsByWindow,
    /// Counts of the previous incarnations, by `start_id`.
    #[serde(default)]
    pub incarnations: BTreeMap<i64, CountsByWindow>,
    /// Counts of other hosts that did not publish them.
    #[serde(default)]
    pub copies: Vec<UsageCopy>,
}

impl HostCounts {
    /// Returns the counts of all incarnations up to this one, for the next
    /// incarnation to carry over. Windows before `oldest` are omitted.
    pub fn carry_over(&self, oldest: UsageWindow) -> BTreeMap<i64, CountsByWindow> {
        let mut carried = self.incarnations.clone();
        carried.insert(self.start_id, self.windows.clone());
        for windows in carried.values_mut() {
            windows.retain(|window, _| *window >= oldest.0);
        }
        carried.retain(|_, windows| !windows.is_empty());
        carried
    }
}

/// The published counts of a host, with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedCounts {
    /// Name of the host.
    pub host: String,
    /// Its counts.
    pub counts: HostCounts,
}

/// Time limits on waiting for hosts before a window is summed, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SumTimeouts {
    /// Maximum wait after the end of the window.
    pub max_wait_us: i64,
    /// A host that has not published for this long is not waited for.
    pub silent_host_us: i64,
}

/// Returns the sum of all hosts' counts for a window that ended at the Unix time
/// `end_us`; `now_us` is the current Unix time, both in microseconds.
///
/// Returns `None` while a host that may be alive has not published since the end of the
/// window, but only until [`SumTimeouts::max_wait_us`] after the end. From then on the
/// sum contains what has been published. What a peer published for a host counts as
/// published by the host.
pub fn sum_window(
    hosts: &[PublishedCounts],
    window: UsageWindow,
    end_us: i64,
    now_us: i64,
    timeouts: SumTimeouts,
) -> Option<WindowCounts> {
    let mut known = KnownCounts::default();
    for host in hosts {
        known.add_host(host, window);
    }
    let is_pending =
        |unix_us: &i64| *unix_us < end_us && now_us < unix_us + timeouts.silent_host_us;
    let can_wait = now_us < end_us + timeouts.max_wait_us;
    if can_wait && known.published_us.values().any(is_pending) {
        return None;
    }
    let mut sum = WindowCounts::new();
    for counts in known.latest.values() {
        for (workspace, count) in *counts {
            *sum.entry(workspace.clone()).or_default() += count;
        }
    }
    Some(sum)
}

/// The latest counts of a window by host and incarnation, and when each host published
/// last.
#[derive(Debug, Default)]
struct KnownCounts<'a> {
    latest: BTreeMap<(&'a str, i64), &'a WindowCounts>,
    published_us: BTreeMap<&'a str, i64>,
}

impl<'a> KnownCounts<'a> {
    fn add_host(&mut self, published: &'a PublishedCounts, window: UsageWindow) {
        let (host, counts) = (published.host.as_str(), &published.counts);
        self.add_time(host, counts.unix_us);
        let own = [(&counts.start_id, &counts.windows)];
        for (start_id, windows) in own.into_iter().chain(&counts.incarnations) {
            if let Some(counts) = windows.get(&window.0) {
                self.add(host, *start_id, counts);
            }
        }
        for copy in &counts.copies {
            self.add_time(&copy.host, copy.unix_us);
            if copy.window == window.0 {
                self.add(&copy.host, copy.start_id, &copy.counts);
            }
        }
    }

    fn add_time(&mut self, host: &'a str, unix_us: i64) {
        let latest = self.published_us.entry(host).or_insert(unix_us);
        *latest = unix_us.max(*latest);
    }

    /// Adds the counts of one incarnation. They only increase, so the larger ones are the
    /// later ones.
    fn add(&mut self, host: &'a str, start_id: i64, counts: &'a WindowCounts) {
        let total = |counts: &WindowCounts| counts.values().sum::<u64>();
        let latest = self.latest.entry((host, start_id)).or_insert(counts);
        if total(counts) > total(latest) {
            *latest = counts;
        }
    }
}
