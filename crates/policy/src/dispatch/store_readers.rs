//! Selects the hosts that make linearizable reads of the store for all hosts.
//!
//! Linearizable reads and watches are expensive if many hosts make the same ones.
//! In a large deployment a few hosts, the store readers, therefore make them and
//! send what they learn to the others. The other hosts make stale reads and stale
//! watches, which may be seconds behind, and make a linearizable read only if a
//! store reader knows of a newer state. A host that receives no message from a
//! store reader with a working store connection reads the store itself, so a
//! partition costs additional calls, but does not increase staleness.
//!
//! There is no consensus on the selection: each host ranks itself among the hosts
//! from which it receives messages. Two hosts that receive messages from different
//! hosts may both become store readers, which is harmless.

use super::{ProbeRole, StoreEra};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of hosts from which on a few store readers read for all hosts.
pub const MIN_HOSTS_FOR_SHARED_READS: usize = 20;

/// Number of store readers in a large deployment.
const STORE_READERS: usize = 4;

/// Number of store readers to which a host sends its usage counts.
const READERS_PER_HOST: usize = 2;

/// Number of hosts in a large deployment that are candidates for the lease of the
/// duties that one host at a time performs, such as reporting usage and sending orders.
const LEASE_CANDIDATES: usize = 8;

/// Time after which the store status of a silent host expires.
const STORE_STATUS_TTL: Duration = Duration::from_millis(1_000);

/// Time that a stale watch has to deliver a change that a store reader knows of.
const STALE_WATCH_GRACE: Duration = Duration::from_millis(400);

/// The status of a host's reads of the store, which it sends to the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Whether the host makes linearizable reads and the store responded to the
    /// latest call.
    pub is_reading_store: bool,
    /// Latest era of the store that the host knows.
    pub era: Option<StoreEra>,
    /// Store revision of the latest change of the upstreams that the host knows, in
    /// that era.
    pub upstream_revision: u64,
}

/// When the store last showed a host the whole list of upstreams, or all changes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShownList {
    /// Era of the store.
    pub era: Option<StoreEra>,
    /// Store revision of the latest change that the host knew by then.
    pub upstream_revision: u64,
    /// Time since then in microseconds.
    pub age_us: u64,
}

impl ShownList {
    /// Returns whether a host of this status knows all changes that the list had.
    pub fn is_known_to(self, status: StoreStatus) -> bool {
        status.era == self.era && status.upstream_revision >= self.upstream_revision
    }
}

/// The latest store status received from a host.
#[derive(Clone, Copy, Debug)]
struct ReceivedStatus {
    address: SocketAddr,
    received_at: Timestamp,
    is_reading: bool,
}

/// Decides whether this host is a store reader or a lease candidate, by its rank
/// among the hosts that send it their store status.
#[derive(Clone, Debug)]
pub struct StoreReaderSelection {
    /// Incarnation of this host.
    own_incarnation: u64,
    /// Store statuses by the incarnation of the host that sent them. A restarted host
    /// has two entries until the one of its previous incarnation expires.
    statuses: HashMap<u64, ReceivedStatus>,
    /// Latest era, and highest revision in it, of a change of the upstreams in any
    /// received status, and when it was first received.
    latest_revision: (Option<StoreEra>, u64),
    latest_received_at: Timestamp,
    /// Time since which some host has reported without interruption that it reads the
    /// store; `None` while none does.
    reader_since: Option<Timestamp>,
}

impl StoreReaderSelection {
    /// Creates the selection of a host that has received no store status;
    /// `own_incarnation` is the incarnation of the host.
    pub fn new(own_incarnation: u64) -> Self {
        Self {
            own_incarnation,
            statuses: HashMap::new(),
            latest_revision: (None, 0),
            latest_received_at: Timestamp::default(),
            reader_since: None,
        }
    }

    /// Records a store status that came from `address`; `incarnation` is that of the
    /// host that sent it.
    pub fn record(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        address: SocketAddr,
        status: StoreStatus,
    ) {
        let received = ReceivedStatus {
            address,
            received_at: now,
            is_reading: status.is_reading_store,
        };
        self.statuses.insert(incarnation, received);
        self.update_reader_since(now);
        let revision = (status.era, status.upstream_revision);
        if revision > self.latest_revision {
            self.latest_revision = revision;
            self.latest_received_at = now;
        }
    }

    /// Removes hosts that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.statuses
            .retain(|_, status| now.since(status.received_at) < STORE_STATUS_TTL);
        self.update_reader_since(now);
    }

    fn update_reader_since(&mut self, now: Timestamp) {
        self.reader_since = match self.has_reader() {
            true => self.reader_since.or(Some(now)),
            false => None,
        };
    }

    /// Returns since when some peer has reported without interruption that it reads the
    /// store and gets responses; `None` while none does.
    pub fn reader_since(&self) -> Option<Timestamp> {
        self.reader_since
    }

    /// Returns whether this host has to be a store reader in a deployment of `hosts`
    /// hosts.
    pub fn is_reader(&self, hosts: usize) -> bool {
        self.probe_role(hosts) == ProbeRole::Reader || !self.has_reader()
    }

    /// Returns how often this host probes a store that doesn't respond, in a deployment
    /// of `hosts` hosts.
    pub fn probe_role(&self, hosts: usize) -> ProbeRole {
        match hosts < MIN_HOSTS_FOR_SHARED_READS || self.rank() < STORE_READERS {
            true => ProbeRole::Reader,
            false => ProbeRole::Follower,
        }
    }

    /// Returns whether a peer reports that it reads the store and gets responses.
    pub fn has_reader(&self) -> bool {
        self.reader_addresses().next().is_some()
    }

    /// Returns two of the other store readers whose latest call succeeded, or fewer if
    /// there aren't as many. Hosts with different `seed`s get different ones.
    pub fn readers_for(&self, seed: u64) -> Vec<SocketAddr> {
        let mut readers: Vec<SocketAddr> = self.reader_addresses().collect();
        readers.sort_unstable();
        if !readers.is_empty() {
            let start = (seed % readers.len() as u64) as usize;
            readers.rotate_left(start);
        }
        readers.truncate(READERS_PER_HOST);
        readers
    }

    /// Returns whether this host is a lease candidate in a deployment of `hosts`
    /// hosts.
    pub fn is_lease_candidate(&self, hosts: usize) -> bool {
        hosts < MIN_HOSTS_FOR_SHARED_READS || self.rank() < LEASE_CANDIDATES
    }

    /// Returns the addresses of the other store readers whose latest call to the store
    /// succeeded.
    pub fn reader_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let readers = self.statuses.values().filter(|status| status.is_reading);
        readers.map(|status| status.address)
    }

    /// Returns whether a host knows of a change of the upstreams after `revision` of
    /// `era` that a stale watch of this host should have delivered by `now`.
    pub fn is_watch_behind(&self, now: Timestamp, era: Option<StoreEra>, revision: u64) -> bool {
        self.latest_revision > (era, revision)
            && now.since(self.latest_received_at) >= STALE_WATCH_GRACE
    }

    /// Returns the position of this host among the hosts from which it receives
    /// messages; the lowest incarnation has position 0.
    fn rank(&self) -> usize {
        self.statuses
            .keys()
            .filter(|incarnation| **incarnation < self.own_incarnation)
            .count()
    }
}
