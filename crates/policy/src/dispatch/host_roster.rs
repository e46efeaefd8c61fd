//! The hosts that take part in what all hosts share, and this host's position among them.
//!
//! The hosts divide what an upstream takes from all of them without asking each other, so
//! all should count the same hosts. A host counts those from which it gets messages, and
//! those that the store lists; a silent host may only have no requests. It is removed when
//! it neither sent a message nor published anything for [`HOST_TTL`], but only while the
//! store can be read: a host that is cut off can't tell whether the others have ended. A
//! process takes part [`JOIN_TIME`] after its start, when the others have heard of it.

use crate::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time from the start of a process in which it announces itself and takes no part.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Time after the last sign of a host from which on it is removed.
pub const HOST_TTL: Duration = Duration::from_secs(60);

/// The position of a host among all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostPosition {
    /// Position of this host, from 0.
    pub position: usize,
    /// Number of hosts, at least 1.
    pub hosts: usize,
}

/// The hosts that this host knows, by their addresses for messages.
#[derive(Clone, Debug)]
pub struct HostRoster {
    /// Address of this host; `None` if it exchanges no messages.
    own: Option<SocketAddr>,
    /// Random number, from which the position of a host without an address follows.
    seed: u64,
    started_at: Timestamp,
    /// Time of the last sign of each host.
    hosts: BTreeMap<SocketAddr, Timestamp>,
    /// Number of hosts that the latest list names, with and without an address.
    listed: usize,
}

impl HostRoster {
    /// Creates the roster of a process that starts at `now`. `seed` is a random number.
    pub fn new(own: Option<SocketAddr>, seed: u64, now: Timestamp) -> Self {
        Self {
            own,
            seed,
            started_at: now,
            hosts: own.map(|own| (own, now)).into_iter().collect(),
            listed: 0,
        }
    }

    /// Records a message from the host at `address`.
    pub fn record_message(&mut self, now: Timestamp, address: SocketAddr) {
        self.hosts.insert(address, now);
    }

    /// Records a list of the hosts that the store returned: the number of those that have
    /// published something within [`HOST_TTL`], and the addresses of those that have one.
    pub fn record_list(
        &mut self,
        now: Timestamp,
        count: usize,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.listed = count;
        self.hosts
            .extend(addresses.into_iter().map(|address| (address, now)));
        let own = self.own;
        self.hosts
            .retain(|address, at| Some(*address) == own || now.since(*at) < HOST_TTL);
    }

    /// Returns the addresses of the other hosts, in order.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + Clone {
        let others = self.hosts.keys().copied();
        others.filter(|address| Some(*address) != self.own)
    }

    /// Returns the number of hosts that the store has listed; 0 until it has.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// Returns whether the process still announces itself to the others.
    pub fn is_joining(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < JOIN_TIME
    }

    /// Returns the position of this host, or `None` while it takes no part.
    pub fn position(&self, now: Timestamp) -> Option<HostPosition> {
        if self.is_joining(now) {
            return None;
        }
        let hosts = self.hosts.len().max(self.listed).max(1);
        let position = match self.own {
            Some(own) => self.hosts.keys().take_while(|one| **one < own).count(),
            None => (self.seed % hosts as u64) as usize,
        };
        Some(HostPosition { position, hosts })
    }
}
