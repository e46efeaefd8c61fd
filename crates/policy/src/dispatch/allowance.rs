//! Limits repeats over all hosts, without a call between them.
//!
//! All hosts together may send a share of the requests once more, and a fixed
//! number beside it in each window. Each host earns its share with its own
//! requests and holds at most its part of the fixed number, so the sum stays
//! within the bound whatever each host does. A host that has just started
//! begins with a fraction of its part: if it was killed, its predecessor may
//! have spent the rest within the same window.

/// What all hosts together may send once more in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside them in each window.
    pub slack: f64,
}

/// Part of the ratio that is spent; the rest covers requests whose repeat falls
/// into a later window than they do.
const SPENT_RATIO: f64 = 0.75;

/// Hosts that may exist for each one that is known: added ones and those whose
/// predecessors have just been replaced.
const HOSTS_FOR_EACH_KNOWN: f64 = 1.5;

/// Part of the full allowance that a new process starts with.
const START_SHARE: f64 = 0.34;

/// Repeats that this host may send.
#[derive(Clone, Copy, Debug)]
pub struct RepeatAllowance {
    limits: AllowanceLimits,
    hosts: f64,
    saved: f64,
}

impl RepeatAllowance {
    /// Creates the allowance of a process that has just started, one of `hosts`.
    pub fn new(limits: AllowanceLimits, hosts: usize) -> Self {
        let mut allowance = Self {
            limits,
            hosts: 1.0,
            saved: 0.0,
        };
        allowance.set_hosts(hosts);
        allowance.saved = allowance.capacity() * START_SHARE;
        allowance
    }

    /// Takes in how many hosts are known; the number never falls, since a host
    /// that is gone may have sent repeats in the window.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = self.hosts.max(hosts as f64);
        self.saved = self.saved.min(self.capacity());
    }

    /// Counts a request that was sent for the first time.
    pub fn earn(&mut self) {
        let earned = self.saved + self.limits.ratio * SPENT_RATIO;
        self.saved = earned.min(self.capacity());
    }

    /// Takes one repeat; `false` when none is left.
    pub fn take(&mut self) -> bool {
        let is_left = self.saved >= 1.0;
        if is_left {
            self.saved -= 1.0;
        }
        is_left
    }

    /// Gives back a repeat that reached no upstream.
    pub fn put_back(&mut self) {
        self.saved = (self.saved + 1.0).min(self.capacity());
    }

    /// Returns the repeats left.
    pub fn left(&self) -> f64 {
        self.saved
    }

    /// Returns the most repeats that can be saved up.
    pub fn capacity(&self) -> f64 {
        (self.limits.slack / (self.hosts * HOSTS_FOR_EACH_KNOWN)).max(1.0)
    }
}
