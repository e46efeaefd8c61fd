//! The in-flight load of other hosts on the upstreams, and the engines whose role
//! they are changing.
//!
//! Upstreams report their load with a delay of some hundred milliseconds, which is
//! longer than most requests take. The hosts therefore send each other their
//! in-flight load, and each host adds the load of its peers to its own. Reports
//! that are not renewed expire.

use super::shared_hash::shared_hash;
use super::{DecodeWork, ServiceDigest, UpstreamId, WorkSample};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time after which the report of a silent host expires.
const HOST_REPORT_TTL: Duration = Duration::from_millis(350);

/// Time after which an announced number of decode engines is outdated. It covers a change
/// of the lease holder.
const DECODE_WORK_TTL: Duration = Duration::from_secs(10);

/// 32-bit hash of an upstream's identifier, the same on all hosts.
///
/// It keeps datagrams small; a collision within one fleet is unlikely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamDigest(u32);

impl UpstreamDigest {
    /// Returns the hash of `id`.
    pub fn new(id: &UpstreamId) -> Self {
        Self(shared_hash(id) as u32)
    }

    /// Returns the hash as a number.
    pub(super) fn as_u64(self) -> u64 {
        u64::from(self.0)
    }
}

/// The in-flight load of one or more hosts on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens that wait for prefill or are in prefill.
    pub prefill_tokens: u64,
}

/// One host's report on its use of the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// In-flight load by upstream.
    pub loads: Vec<(UpstreamDigest, InFlightLoad)>,
    /// Engines that were ordered to change their role and have not done so yet.
    pub changing_role: Vec<UpstreamDigest>,
    /// Numbers of decode engines that the work calls for, from the lease holder. Zero means
    /// no more than the minimum.
    pub decode_work: Vec<(ServiceDigest, u32)>,
    /// Upstreams that leave requests of the host unanswered for longer than they should.
    pub silent: Vec<UpstreamDigest>,
    /// The host's latest sample of an upstream's speed.
    pub sample: Option<WorkSample>,
}

/// The latest reports of the other hosts, and the sum of their loads.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Reports by the host's incarnation. A restarted host has two entries until the
    /// one of its previous incarnation expires.
    hosts: HashMap<u64, ReceivedReport>,
    totals: HashMap<UpstreamDigest, InFlightLoad>,
    /// The latest announced numbers of decode engines.
    decode_work: HashMap<ServiceDigest, (Timestamp, u32)>,
    /// Number of hosts that report an upstream as silent.
    silent: HashMap<UpstreamDigest, u32>,
    /// Time of the latest report, also an expired one.
    latest_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    sequence: u64,
    received_at: Timestamp,
    report: HostReport,
}

impl PeerLoads {
    /// Creates an instance without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the report of the host with the given incarnation. A report is ignored
    /// unless its sequence number is higher than that of the incarnation's latest one.
    /// Returns the report's sample if it is new.
    pub fn record(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        sequence: u64,
        report: HostReport,
    ) -> Option<WorkSample> {
        let latest = self.hosts.get(&incarnation).map(|known| known.sequence);
        if latest.is_some_and(|latest| latest >= sequence) {
            return None;
        }
        self.latest_at = Some(now);
        self.record_decode_work(now, &report.decode_work);
        let sample = report.sample;
        let received = ReceivedReport {
            sequence,
            received_at: now,
            report,
        };
        self.add(&received.report);
        let previous = self.hosts.insert(incarnation, received);
        if let Some(previous) = &previous {
            self.subtract(&previous.report);
        }
        let known = previous.and_then(|previous| previous.report.sample);
        sample.filter(|sample| known != Some(*sample))
    }

    /// Removes the reports of hosts that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        let is_silent = |host: &ReceivedReport| now.since(host.received_at) >= HOST_REPORT_TTL;
        let expired: Vec<ReceivedReport> = self
            .hosts
            .extract_if(|_, host| is_silent(host))
            .map(|(_, host)| host)
            .collect();
        for host in expired {
            self.subtract(&host.report);
        }
    }

    /// Returns the number of hosts with a recent report.
    pub fn report_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the age of the latest report; `None` if there has never been one.
    pub fn news_age(&self, now: Timestamp) -> Option<Duration> {
        self.latest_at.map(|at| now.since(at))
    }

    /// Returns the total in-flight load of the other hosts on one upstream.
    pub fn in_flight_on(&self, upstream: UpstreamDigest) -> InFlightLoad {
        self.totals.get(&upstream).copied().unwrap_or_default()
    }

    /// Records the numbers of decode engines that a lease holder announced.
    pub fn record_decode_work(&mut self, now: Timestamp, work: &[(ServiceDigest, u32)]) {
        for (service, engines) in work {
            match engines {
                0 => self.decode_work.remove(service),
                _ => self.decode_work.insert(*service, (now, *engines)),
            };
        }
    }

    /// Returns what is known of the decode engines that the work of `service` calls for.
    pub fn decode_work(&self, now: Timestamp, service: &str) -> DecodeWork {
        match self.decode_work.get(&ServiceDigest::new(service)) {
            None => DecodeWork::Unknown,
            Some((at, engines)) if now.since(*at) < DECODE_WORK_TTL => {
                DecodeWork::Announced(*engines)
            }
            Some(_) => DecodeWork::Outdated,
        }
    }

    /// Returns whether another host is changing an engine's role.
    pub fn is_changing(&self, upstream: UpstreamDigest) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.report.changing_role.contains(&upstream))
    }

    /// Returns the number of other hosts whose requests an upstream leaves unanswered.
    pub fn hosts_in_silence(&self, upstream: UpstreamDigest) -> u32 {
        self.silent.get(&upstream).copied().unwrap_or_default()
    }

    fn add(&mut self, report: &HostReport) {
        for upstream in &report.silent {
            *self.silent.entry(*upstream).or_default() += 1;
        }
        for (upstream, load) in &report.loads {
            let total = self.totals.entry(*upstream).or_default();
            total.requests += load.requests;
            total.prefill_tokens += load.prefill_tokens;
        }
    }

    fn subtract(&mut self, report: &HostReport) {
        for upstream in &report.silent {
            if let Some(hosts) = self.silent.get_mut(upstream) {
                *hosts -= 1;
            }
        }
        self.silent.retain(|_, hosts| *hosts > 0);
        for (upstream, load) in &report.loads {
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
