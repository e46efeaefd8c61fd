//! Selects the hosts that make linearizable reads of the store for all hosts.
//!
//! Linearizable reads and watches are expensive if many hosts make the same ones.
//! In a large deployment a few hosts, the store readers, therefore make them and
//! send what they learn to the others. The other hosts make stale reads, which may
//! be seconds behind, and make a linearizable read only if a store reader knows of
//! a newer state. A host that receives no message from a store reader with a
//! working store connection reads the store itself, so a partition costs
//! additional calls, but does not increase staleness.
//!
//! There is no consensus on the selection: each host ranks itself among the hosts
//! from which it receives messages. Two hosts that receive messages from different
//! hosts may both become store readers, which is harmless.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of hosts from which on a few store readers read for all hosts.
pub const MIN_HOSTS_FOR_SHARED_READS: usize = 20;

/// Number of store readers in a large deployment.
const STORE_READERS: usize = 4;

/// Number of hosts in a large deployment that are candidates for a lease.
const LEASE_CANDIDATES: usize = 8;

/// Time after which the entry of a silent host expires.
const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Time that a stale watch has to deliver a change that a store reader knows of.
const STALE_WATCH_GRACE: Duration = Duration::from_millis(400);

/// A host's report on its reads of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Whether the host makes linearizable reads and the store responded to the
    /// latest call.
    pub is_reading_store: bool,
    /// Store revision of the latest change of the upstreams that the host knows.
    pub upstream_revision: u64,
}

/// The latest report of a host.
#[derive(Clone, Copy, Debug)]
struct ReportingHost {
    address: SocketAddr,
    reported_at: Timestamp,
    is_reading: bool,
}

/// Decides whether this host is a store reader or a lease candidate, by its rank
/// among the hosts that report to it.
#[derive(Clone, Debug)]
pub struct StoreReaderSelection {
    /// Incarnation of this host.
    own_incarnation: u64,
    reports: HashMap<u64, ReportingHost>,
    /// Highest store revision of a change of the upstreams that any host reported,
    /// and when it was first reported.
    latest_revision: u64,
    latest_reported_at: Timestamp,
}

impl StoreReaderSelection {
    /// Creates the selection of a host that has received no reports;
    /// `own_incarnation` is the incarnation of the host.
    pub fn new(own_incarnation: u64) -> Self {
        Self {
            own_incarnation,
            reports: HashMap::new(),
            latest_revision: 0,
            latest_reported_at: Timestamp::default(),
        }
    }

    /// Records a report that came from `address`; `host` is the incarnation of the
    /// reporting host.
    pub fn record(&mut self, now: Timestamp, host: u64, address: SocketAddr, status: StoreStatus) {
        let report = ReportingHost {
            address,
            reported_at: now,
            is_reading: status.is_reading_store,
        };
        self.reports.insert(host, report);
        if status.upstream_revision > self.latest_revision {
            self.latest_revision = status.upstream_revision;
            self.latest_reported_at = now;
        }
    }

    /// Removes hosts that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, host| now.since(host.reported_at) < REPORT_TTL);
    }

    /// Returns whether this host has to be a store reader in a deployment of `hosts`
    /// hosts.
    pub fn is_reader(&self, hosts: usize) -> bool {
        hosts < MIN_HOSTS_FOR_SHARED_READS
            || self.rank() < STORE_READERS
            || self.reader_addresses().next().is_none()
    }

    /// Returns whether this host is a lease candidate in a deployment of `hosts`
    /// hosts.
    pub fn is_lease_candidate(&self, hosts: usize) -> bool {
        hosts < MIN_HOSTS_FOR_SHARED_READS || self.rank() < LEASE_CANDIDATES
    }

    /// Returns the addresses of the other store readers whose store responds.
    pub fn reader_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let readers = self.reports.values().filter(|host| host.is_reading);
        readers.map(|host| host.address)
    }

    /// Returns whether a host reported a change of the upstreams after `revision`
    /// which a stale watch should have delivered by `now`.
    pub fn is_watch_behind(&self, now: Timestamp, revision: u64) -> bool {
        self.latest_revision > revision && now.since(self.latest_reported_at) >= STALE_WATCH_GRACE
    }

    fn rank(&self) -> usize {
        self.reports
            .keys()
            .filter(|host| **host < self.own_incarnation)
            .count()
    }
}
