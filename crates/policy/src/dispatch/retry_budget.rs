//! Limits repeats over all hosts, without a call between them.
//!
//! All hosts together may send a share of the requests once more, and a fixed
//! number beside it in each sliding window. Each host spends at most that share
//! of its own requests of the latest window and its part of the fixed number, so
//! the sum stays within the bound whatever each host does. A host that has just
//! started begins with a fraction of its part: if it was killed, its predecessor
//! may have spent the rest within the same window.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// What all hosts together may send once more in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside them in each window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Part of the ratio that is spent; the rest covers requests whose repeat falls
/// into a later window than they do.
const SPENT_RATIO: f64 = 0.75;

/// Hosts that may exist for each one that is known: added ones and those whose
/// predecessors have just been replaced.
const HOSTS_FOR_EACH_KNOWN: f64 = 1.5;

/// Part of its share of the fixed number that a process may spend within its
/// first window.
const START_SHARE: f64 = 0.34;

/// Slices that a window is counted in.
const SLICES: u32 = 10;

/// Repeats that this host may send.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    hosts: f64,
    started_at: Timestamp,
    /// Counts of the latest window, oldest first.
    slices: VecDeque<Slice>,
}

/// What was sent in a part of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    begins_at: Timestamp,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// Creates the allowance of a process that starts `now`, one of `hosts`.
    pub fn new(limits: RetryBudgetLimits, hosts: usize, now: Timestamp) -> Self {
        Self {
            limits,
            hosts: hosts.max(1) as f64,
            started_at: now,
            slices: VecDeque::new(),
        }
    }

    /// Takes in how many hosts are known; the number never falls, since a host
    /// that is gone may have sent repeats in the window.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = self.hosts.max(hosts as f64);
    }

    /// Counts a request that was sent for the first time.
    pub fn record_request(&mut self, now: Timestamp) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat; `false` when none is left.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        let is_left = self.available(now) >= 1.0;
        if is_left {
            self.slice(now).repeats += 1;
        }
        is_left
    }

    /// Gives back a repeat that reached no upstream.
    pub fn refund(&mut self) {
        let spent = self.slices.iter_mut().rev().find(|one| one.repeats > 0);
        if let Some(slice) = spent {
            slice.repeats -= 1;
        }
    }

    /// Returns the repeats left.
    pub fn available(&self, now: Timestamp) -> f64 {
        let window = self.limits.window;
        // A slice counts with its requests while all of it is in the window, and
        // with its repeats while any of it is.
        let is_whole = |slice: &&Slice| now.since(slice.begins_at) < window;
        let is_partial = |slice: &&Slice| now.since(slice.begins_at) < window + window / SLICES;
        let requests: u32 = self
            .slices
            .iter()
            .filter(is_whole)
            .map(|one| one.requests)
            .sum();
        let repeats: u32 = self
            .slices
            .iter()
            .filter(is_partial)
            .map(|one| one.repeats)
            .sum();
        let earned = f64::from(requests) * self.limits.ratio * SPENT_RATIO;
        earned + self.fixed_part(now) - f64::from(repeats)
    }

    /// Returns this host's part of the fixed number.
    fn fixed_part(&self, now: Timestamp) -> f64 {
        let part = self.limits.slack / (self.hosts * HOSTS_FOR_EACH_KNOWN);
        match now.since(self.started_at) < self.limits.window {
            true => part * START_SHARE,
            false => part,
        }
    }

    /// Returns the slice that counts what happens now.
    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let length = self.limits.window / SLICES;
        let kept = self.limits.window + length;
        self.slices
            .retain(|slice| now.since(slice.begins_at) < kept);
        let is_current = |slice: &Slice| now.since(slice.begins_at) < length;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                begins_at: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
