//! Which hosts read the store exactly, on behalf of all.
//!
//! Exact reads and watches are dear where many hosts make the same ones. Among
//! many hosts a few therefore read exactly and tell the others what they know;
//! the others read copies that may be seconds old, and read exactly only when a
//! reader knows of something newer. A host that hears no reader with a working
//! store reads exactly itself, so a partition costs calls and no freshness.
//!
//! Nothing is agreed on: each host ranks itself among those it hears. Two that
//! hear different hosts read both, which does no harm.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Hosts from which on a few read for all.
pub const MIN_HOSTS_FOR_SHARED_READS: usize = 20;

/// Hosts that read the store exactly.
const READERS: usize = 4;

/// Hosts that stand ready to take over a lease.
const CANDIDATES: usize = 8;

/// Time after which a host that says nothing is taken as gone.
const FORGET_AFTER: Duration = Duration::from_millis(1_000);

/// Time that a stale watch is given to bring a change that a reader has seen.
const STALE_GRACE: Duration = Duration::from_millis(400);

/// What a host says of its view of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Whether it reads exactly, and its latest call was answered.
    pub is_reading_store: bool,
    /// Revision of the store at which it knew of the latest change of the
    /// upstreams.
    pub upstream_revision: u64,
}

/// A host that was heard.
#[derive(Clone, Copy, Debug)]
struct HeardHost {
    address: SocketAddr,
    seen_at: Timestamp,
    is_reading: bool,
}

/// Ranks this host among those it hears.
#[derive(Clone, Debug)]
pub struct StoreReaderSelection {
    /// Number of this host's start.
    own: u64,
    heard: HashMap<u64, HeardHost>,
    /// Latest change of the upstreams that any host has told of, and when it was
    /// first heard.
    newest_change: u64,
    newest_heard_at: Timestamp,
}

impl StoreReaderSelection {
    /// Creates the ranking of a host that has heard nobody; `own` is the number
    /// of its start.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            heard: HashMap::new(),
            newest_change: 0,
            newest_heard_at: Timestamp::default(),
        }
    }

    /// Takes in what a host says.
    pub fn record(&mut self, now: Timestamp, host: u64, address: SocketAddr, news: StoreStatus) {
        let heard = HeardHost {
            address,
            seen_at: now,
            is_reading: news.is_reading_store,
        };
        self.heard.insert(host, heard);
        if news.upstream_revision > self.newest_change {
            self.newest_change = news.upstream_revision;
            self.newest_heard_at = now;
        }
    }

    /// Forgets hosts that have been silent.
    pub fn expire(&mut self, now: Timestamp) {
        self.heard
            .retain(|_, host| now.since(host.seen_at) < FORGET_AFTER);
    }

    /// Returns whether this host, one of `hosts`, has to read exactly.
    pub fn is_reader(&self, hosts: usize) -> bool {
        hosts < MIN_HOSTS_FOR_SHARED_READS
            || self.rank() < READERS
            || self.reader_addresses().next().is_none()
    }

    /// Returns whether this host, one of `hosts`, stands ready for a lease.
    pub fn is_lease_candidate(&self, hosts: usize) -> bool {
        hosts < MIN_HOSTS_FOR_SHARED_READS || self.rank() < CANDIDATES
    }

    /// Returns the addresses of the hosts that read exactly and are answered.
    pub fn reader_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let reading = self.heard.values().filter(|host| host.is_reading);
        reading.map(|host| host.address)
    }

    /// Returns whether the upstreams have changed since `revision` and a stale
    /// watch has had time to bring the change.
    pub fn is_watch_behind(&self, now: Timestamp, revision: u64) -> bool {
        self.newest_change > revision && now.since(self.newest_heard_at) >= STALE_GRACE
    }

    fn rank(&self) -> usize {
        self.heard.keys().filter(|host| **host < self.own).count()
    }
}
