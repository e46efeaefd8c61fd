//! What other hosts have in flight on the upstreams, and which of them they have
//! ordered to change.
//!
//! Upstreams report their load some hundred milliseconds late, which is longer
//! than most requests take. The hosts therefore tell each other what they have
//! in flight, and a host adds that to its own. What it doesn't hear for a while
//! it takes as gone.

use super::UpstreamId;
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time after which what a host said is forgotten.
const FORGET_AFTER: Duration = Duration::from_millis(350);

/// Short form of an upstream's identifier, the same on all hosts. It is short so
/// that datagrams are, and two upstreams of one fleet hardly share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamDigest(u32);

impl UpstreamDigest {
    /// Returns the short form of `id`.
    pub fn new(id: &UpstreamId) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

/// What one host has in flight on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightLoad {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that wait or are being read.
    pub prefill_tokens: u64,
}

/// What one host says of the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// What it has in flight.
    pub loads: Vec<(UpstreamDigest, InFlightLoad)>,
    /// Engines that it has ordered to change their role and that haven't yet.
    pub changing_role: Vec<UpstreamDigest>,
}

/// What the other hosts say of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// By host; a host is known by a number of its start.
    hosts: HashMap<u64, HeardReport>,
    totals: HashMap<UpstreamDigest, InFlightLoad>,
}

#[derive(Clone, Debug)]
struct HeardReport {
    sequence: u64,
    seen_at: Timestamp,
    report: HostReport,
}

impl PeerLoads {
    /// Creates loads of no host.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what a host says; older messages than the newest are ignored.
    pub fn record(&mut self, now: Timestamp, host: u64, sequence: u64, report: HostReport) {
        let newest = self.hosts.get(&host).map(|known| known.sequence);
        if newest.is_some_and(|newest| newest >= sequence) {
            return;
        }
        let heard = HeardReport {
            sequence,
            seen_at: now,
            report,
        };
        self.add(&heard.report.loads);
        if let Some(before) = self.hosts.insert(host, heard) {
            self.subtract(&before.report.loads);
        }
    }

    /// Forgets hosts that have been silent.
    pub fn expire(&mut self, now: Timestamp) {
        let is_silent = |host: &HeardReport| now.since(host.seen_at) >= FORGET_AFTER;
        let silent: Vec<HeardReport> = self
            .hosts
            .extract_if(|_, host| is_silent(host))
            .map(|(_, host)| host)
            .collect();
        for host in silent {
            self.subtract(&host.report.loads);
        }
    }

    /// Returns what the other hosts have in flight on one upstream.
    pub fn in_flight_on(&self, upstream: UpstreamDigest) -> InFlightLoad {
        self.totals.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns whether another host has ordered an engine to change its role.
    pub fn is_changing(&self, upstream: UpstreamDigest) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.report.changing_role.contains(&upstream))
    }

    fn add(&mut self, loads: &[(UpstreamDigest, InFlightLoad)]) {
        for (upstream, load) in loads {
            let total = self.totals.entry(*upstream).or_default();
            total.requests += load.requests;
            total.prefill_tokens += load.prefill_tokens;
        }
    }

    fn subtract(&mut self, loads: &[(UpstreamDigest, InFlightLoad)]) {
        for (upstream, load) in loads {
            let Some(total) = self.totals.get_mut(upstream) else {
                continue;
            };
            total.requests -= load.requests;
            total.prefill_tokens -= load.prefill_tokens;
            if *total == InFlightLoad::default() {
                self.totals.remove(upstream);
            }
        }
    }
}
