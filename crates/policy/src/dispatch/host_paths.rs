//! Decides whether this host is cut off from the upstreams of a service that other hosts
//! reach, and by way of which host its requests can go.
//!
//! A host can't tell from its own failures whether it is cut off or the upstreams are down.
//! What other hosts reach at the same time tells it: each host says of which services it has
//! reached an upstream, and how long ago. A host is cut off from a service if connections to
//! several of its upstreams, at least half, failed, and another host has reached one since the
//! first failure. If all hosts are cut off, or all upstreams are down, no host says
//! that it reaches them, and none sends to another.
//!
//! Silence alone isn't a failure: a sound upstream may be silent for a second.

use super::decode_work::ServiceDigest;
use super::shared_hash::shared_hash;
use crate::{Timestamp, UpstreamKey};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of upstreams that can't be reached before a service counts as cut off, unless it has
/// fewer.
const MIN_FAILED_UPSTREAMS: usize = 3;

/// Upstreams beside the failed ones to which connections are opened at a time: least number while
/// nothing is reached, largest number, and number while others are reached.
const MIN_TRIALS: usize = 4;
const MAX_TRIALS: usize = 32;
const TRIALS_IF_REACHED: usize = 2;

/// Time for which a host that reached a service before says so.
const REACHED_TIME: Duration = Duration::from_secs(10);

/// Time after which the notice of a silent host expires.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Requests in flight from which on a host is busy, and hosts in other data centres are used
/// beside it: two or three times what one holds on an ordinary day.
const BUSY_REQUESTS: u32 = 120;

/// Largest number of services in a notice.
const MAX_SERVICES: usize = 8;

/// What a host says of its paths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathNotice {
    /// Hash of the host's data centre.
    data_centre: u64,
    /// Requests of callers and of other hosts in flight.
    in_flight: u32,
    /// Services of which it has reached an upstream lately and doesn't fail to now, each with
    /// the time since then in milliseconds.
    reached: Vec<(ServiceDigest, u32)>,
}

impl PathNotice {
    /// Returns whether the host reaches any service.
    pub fn has_reached(&self) -> bool {
        !self.reached.is_empty()
    }
}

/// What a connection attempt or a request showed about the path to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathSign {
    /// A new connection to it opened.
    Opened,
    /// It answered on a connection that may have been open before.
    Reached,
    /// A connection to it didn't open in time, or was refused.
    Failed,
}

/// A notice with the time at which it was received, by the address of its host.
#[derive(Clone, Debug)]
struct ReceivedNotice {
    received_at: Timestamp,
    notice: PathNotice,
}

/// What this host knows of its own path to one service.
#[derive(Clone, Debug, Default)]
struct ServicePath {
    reached_at: Option<Timestamp>,
    /// The upstreams that serve, by the list.
    serving: Vec<UpstreamKey>,
    /// Those that can't be reached, with the time of the first failure.
    failed: HashMap<UpstreamKey, Timestamp>,
    /// Latest time at which a new connection to each opened, and at which one failed.
    opened_at: HashMap<UpstreamKey, Timestamp>,
    refused_at: HashMap<UpstreamKey, Timestamp>,
}

impl ServicePath {
    /// Returns whether so many upstreams can't be reached that the host may be cut off, or
    /// they are down.
    fn is_out_of_reach(&self) -> bool {
        let least = MIN_FAILED_UPSTREAMS.min(self.serving.len()).max(1);
        self.failed.len() >= least && self.failed.len() * 2 >= self.serving.len()
    }

    fn failing_since(&self) -> Option<Timestamp> {
        self.failed.values().min().copied()
    }

    /// Returns whether connections fail, none has opened since the first failure, and too few have
    /// been tried to know whether the host may be cut off.
    fn is_undecided(&self) -> bool {
        let failing_since = self.failing_since();
        let is_dark =
            failing_since.is_some_and(|since| self.reached_at.is_none_or(|at| at < since));
        is_dark && !self.is_out_of_reach()
    }
}

/// The paths of this host and of others to the services.
#[derive(Clone, Debug, Default)]
pub struct HostPaths {
    data_centre: u64,
    services: HashMap<String, ServicePath>,
    peers: HashMap<SocketAddr, ReceivedNotice>,
}

impl HostPaths {
    /// Creates an instance for a host in `data_centre` that knows nothing.
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: shared_hash(data_centre),
            ..Self::default()
        }
    }

    /// Sets the upstreams of `service` that serve. What failed and isn't one of them is
    /// forgotten.
    pub fn set_serving(&mut self, service: &str, upstreams: Vec<UpstreamKey>) {
        let path = self.path_mut(service);
        path.failed.retain(|failed, _| upstreams.contains(failed));
        path.opened_at.retain(|one, _| upstreams.contains(one));
        path.refused_at.retain(|one, _| upstreams.contains(one));
        path.serving = upstreams;
    }

    /// Records what was observed of the path to an upstream of `service`. Returns whether the
    /// upstream is reached after a failure.
    pub fn record(
        &mut self,
        now: Timestamp,
        service: &str,
        upstream: UpstreamKey,
        sign: PathSign,
    ) -> bool {
        let path = self.path_mut(service);
        match sign {
            PathSign::Opened => path.opened_at.insert(upstream, now),
            PathSign::Failed => path.refused_at.insert(upstream, now),
            PathSign::Reached => None,
        };
        match sign {
            PathSign::Opened | PathSign::Reached => {
                path.reached_at = Some(now);
                path.failed.remove(&upstream).is_some()
            }
            PathSign::Failed => {
                path.failed.entry(upstream).or_insert(now);
                false
            }
        }
    }

    fn path_mut(&mut self, service: &str) -> &mut ServicePath {
        if !self.services.contains_key(service) {
            let path = ServicePath::default();
            self.services.insert(service.to_owned(), path);
        }
        self.services.entry(service.to_owned()).or_default()
    }

    /// Records the notice of the host at `address`.
    pub fn record_notice(&mut self, now: Timestamp, address: SocketAddr, notice: PathNotice) {
        let received = ReceivedNotice {
            received_at: now,
            notice,
        };
        self.peers.insert(address, received);
    }

    /// Removes the notices of silent hosts.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < NOTICE_TIME);
    }

    /// Returns what this host says of its paths. `in_flight` is the number of its requests in
    /// flight.
    pub fn notice(&self, now: Timestamp, in_flight: u32) -> PathNotice {
        let services = self.services.iter();
        let reached = services.filter_map(|(service, path)| {
            let at = path.reached_at.filter(|_| !path.is_out_of_reach())?;
            let age = now.since(at);
            let age_ms = age.as_millis() as u32;
            (age < REACHED_TIME).then(|| (ServiceDigest::new(service), age_ms))
        });
        PathNotice {
            data_centre: self.data_centre,
            in_flight,
            reached: reached.take(MAX_SERVICES).collect(),
        }
    }

    /// Returns whether so many upstreams of `service` can't be reached that the host may be
    /// cut off, or they are down.
    pub fn is_out_of_reach(&self, service: &str) -> bool {
        let path = self.services.get(service);
        path.is_some_and(ServicePath::is_out_of_reach)
    }

    /// Returns whether several upstreams of `service` failed within `time`.
    pub fn have_failed_together(&self, now: Timestamp, service: &str, time: Duration) -> bool {
        let path = self.services.get(service);
        let failed = path.into_iter().flat_map(|path| path.failed.values());
        let recent = failed.filter(|at| now.since(**at) < time);
        recent.count() >= MIN_FAILED_UPSTREAMS
    }

    /// Returns whether connections to upstreams of `service` fail, none has opened since the first
    /// failure, and too few have been tried to know whether this host may be cut off.
    pub fn is_undecided(&self, service: &str) -> bool {
        let path = self.services.get(service);
        path.is_some_and(ServicePath::is_undecided)
    }

    /// Returns to how many upstreams of `service` that haven't failed connections are to be opened,
    /// to find out whether this host is cut off. While none opens, the number doubles each time, so
    /// that the time to find out hardly grows with the upstreams.
    pub fn trials(&self, service: &str) -> usize {
        match self.services.get(service) {
            Some(path) if path.failed.is_empty() => 0,
            Some(path) if path.is_undecided() => path.failed.len().clamp(MIN_TRIALS, MAX_TRIALS),
            Some(_) => TRIALS_IF_REACHED,
            None => 0,
        }
    }

    /// Returns the upstreams of `service` that serve, those first that haven't failed.
    pub fn serving(&self, service: &str) -> Vec<UpstreamKey> {
        let path = self.services.get(service);
        let (failed, mut serving): (Vec<_>, Vec<_>) = path
            .into_iter()
            .flat_map(|path| path.serving.iter().map(move |key| (path, *key)))
            .partition(|(path, key)| path.failed.contains_key(key));
        serving.extend(failed);
        serving.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the number of upstreams of `service` that can't be reached.
    pub fn failed(&self, service: &str) -> usize {
        let path = self.services.get(service);
        path.map_or(0, |path| path.failed.len())
    }

    /// Returns when a new connection to another upstream of the service than `upstream` opened last,
    /// if one did after the time `since`.
    pub fn opened_beside(
        &self,
        service: &str,
        upstream: UpstreamKey,
        since: Timestamp,
    ) -> Option<Timestamp> {
        let path = self.services.get(service)?;
        let others = path.opened_at.iter().filter(|(one, _)| **one != upstream);
        let latest = others.map(|(_, opened_at)| *opened_at).max();
        latest.filter(|opened_at| *opened_at > since)
    }

    /// Returns when a connection to `upstream` failed last.
    pub fn refused_at(&self, service: &str, upstream: UpstreamKey) -> Option<Timestamp> {
        let path = self.services.get(service)?;
        path.refused_at.get(&upstream).copied()
    }

    /// Returns when a new connection to `upstream` opened after the time `since`, if none has
    /// failed later.
    pub fn accepted_since(
        &self,
        service: &str,
        upstream: UpstreamKey,
        since: Timestamp,
    ) -> Option<Timestamp> {
        let path = self.services.get(service)?;
        let opened_at = path.opened_at.get(&upstream).copied();
        let refused_at = self.refused_at(service, upstream);
        opened_at.filter(|at| *at > since && Some(*at) > refused_at)
    }

    /// Returns whether this host is cut off from the upstreams of `service`, while another
    /// host reaches them.
    pub fn is_cut_off(&self, now: Timestamp, service: &str) -> bool {
        let path = self.services.get(service);
        let Some(path) = path.filter(|path| path.is_out_of_reach()) else {
            return false;
        };
        let Some(failing_since) = path.failing_since() else {
            return false;
        };
        let digest = ServiceDigest::new(service);
        self.fresh_peers(now).any(|(_, peer)| {
            let reached_at = peer.reached_at(digest);
            reached_at.is_some_and(|at| at >= failing_since)
        })
    }

    /// Returns a host by way of which a request to `service` can go: one that reaches it, in
    /// this host's data centre unless all there are busy, and of two drawn at random the one
    /// with fewer requests. `draws` are two random numbers from 0 to 1; `tried` are left out.
    pub fn relay_target(
        &self,
        now: Timestamp,
        service: &str,
        tried: &[SocketAddr],
        draws: [f64; 2],
    ) -> Option<SocketAddr> {
        let digest = ServiceDigest::new(service);
        let mut hosts: Vec<(SocketAddr, &PathNotice)> = self
            .fresh_peers(now)
            .filter(|(address, peer)| !tried.contains(address) && peer.reached_at(digest).is_some())
            .map(|(address, peer)| (address, &peer.notice))
            .collect();
        hosts.sort_unstable_by_key(|(address, _)| *address);
        let is_near = |(_, notice): &(SocketAddr, &PathNotice)| {
            notice.data_centre == self.data_centre && notice.in_flight < BUSY_REQUESTS
        };
        let near: Vec<(SocketAddr, &PathNotice)> =
            hosts.iter().copied().filter(|host| is_near(host)).collect();
        let candidates = if near.is_empty() { hosts } else { near };
        let pick = |draw: f64| {
            let last = candidates.len().checked_sub(1)?;
            let position = (draw * candidates.len() as f64) as usize;
            candidates.get(position.min(last))
        };
        let (first, second) = (pick(draws[0])?, pick(draws[1])?);
        let chosen = match second.1.in_flight < first.1.in_flight {
            true => second,
            false => first,
        };
        Some(chosen.0)
    }

    fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, &ReceivedNotice)> {
        let peers = self.peers.iter();
        let fresh = peers.filter(move |(_, peer)| now.since(peer.received_at) < NOTICE_TIME);
        fresh.map(|(address, peer)| (*address, peer))
    }
}

impl ReceivedNotice {
    /// Returns when the host last reached a service, by the clock of this host.
    fn reached_at(&self, service: ServiceDigest) -> Option<Timestamp> {
        let mut reached = self.notice.reached.iter();
        let (_, age_ms) = reached.find(|(reached, _)| *reached == service)?;
        Some(self.received_at - Duration::from_millis(u64::from(*age_ms)))
    }
}
