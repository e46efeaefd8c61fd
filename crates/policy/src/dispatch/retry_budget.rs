//! Limits the retries of all hosts together, without communication between them.
//!
//! In each sliding window, all hosts together may send a number of retries: a ratio
//! of the requests plus a fixed number, the slack. Each host spends at most that
//! ratio of its own requests in the latest window plus its part of the slack, so the
//! sum stays within the limit whatever the other hosts do. Both are reduced: only a
//! fraction of the ratio is spent, and the slack is divided among more hosts than are
//! known. A process that has just started gets only a fraction of its
//! part of the slack: if the host was killed, the previous process may have spent the
//! rest within the same window.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits on the retries that all hosts together send in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to those that `ratio` allows.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the ratio that is spent. The rest covers requests whose retry
/// falls into a later window than the request itself.
const SPENDABLE_RATIO: f64 = 0.75;

/// Hosts that may exist per known host, among which the slack is divided: hosts may
/// have been added, and replaced hosts may have spent retries in the same window.
const POSSIBLE_HOSTS_PER_KNOWN_HOST: f64 = 1.5;

/// Fraction of its part of the slack that a process may spend within its first window.
const FIRST_WINDOW_SHARE: f64 = 0.34;

/// Number of slices into which a window is divided for counting.
const SLICES_PER_WINDOW: u32 = 10;

/// The retries that this host may send.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    hosts: f64,
    started_at: Timestamp,
    /// Counts of the latest window, oldest slice first.
    slices: VecDeque<Slice>,
}

/// Requests and retries sent in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    starts_at: Timestamp,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates the budget of a process that starts at `now` on one of `hosts`
    /// hosts.
    pub fn new(limits: RetryBudgetLimits, hosts: usize, now: Timestamp) -> Self {
        Self {
            limits,
            hosts: hosts.max(1) as f64,
            started_at: now,
            slices: VecDeque::new(),
        }
    }

    /// Updates the number of known hosts. The number never decreases, since a
    /// removed host may have sent retries in the current window.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = self.hosts.max(hosts as f64);
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.slice(now).requests += 1;
    }

    /// Spends one retry; returns `false` if none is available.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        let is_available = self.available(now) >= 1.0;
        if is_available {
            self.slice(now).retries += 1;
        }
        is_available
    }

    /// Returns a retry that reached no upstream to the budget.
    pub fn refund(&mut self) {
        let spent = self.slices.iter_mut().rev().find(|one| one.retries > 0);
        if let Some(slice) = spent {
            slice.retries -= 1;
        }
    }

    /// Returns the number of retries available.
    pub fn available(&self, now: Timestamp) -> f64 {
        let window = self.limits.window;
        // The requests of a slice count while the whole slice is in the window,
        // its retries while any part of it is.
        let is_fully_in_window = |slice: &&Slice| now.since(slice.starts_at) < window;
        let is_partly_in_window =
            |slice: &&Slice| now.since(slice.starts_at) < window + window / SLICES_PER_WINDOW;
        let requests: u32 = self
            .slices
            .iter()
            .filter(is_fully_in_window)
            .map(|one| one.requests)
            .sum();
        let retries: u32 = self
            .slices
            .iter()
            .filter(is_partly_in_window)
            .map(|one| one.retries)
            .sum();
        let from_ratio = f64::from(requests) * self.limits.ratio * SPENDABLE_RATIO;
        from_ratio + self.own_slack(now) - f64::from(retries)
    }

    /// Returns this host's part of the slack.
    fn own_slack(&self, now: Timestamp) -> f64 {
        let part = self.limits.slack / (self.hosts * POSSIBLE_HOSTS_PER_KNOWN_HOST);
        match now.since(self.started_at) < self.limits.window {
            true => part * FIRST_WINDOW_SHARE,
            false => part,
        }
    }

    /// Returns the slice that covers `now`, creating it if needed.
    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let length = self.limits.window / SLICES_PER_WINDOW;
        let retention = self.limits.window + length;
        self.slices
            .retain(|slice| now.since(slice.starts_at) < retention);
        let is_current = |slice: &Slice| now.since(slice.starts_at) < length;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                starts_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
