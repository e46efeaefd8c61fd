//! The hosts that elect the owner of a workspace.

use super::limits::QuotaKey;
use crate::dispatch::shared_hash::shared_hash;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Number of voters of a workspace. With few voters, the loss of a third of the hosts often
/// takes so many voters of a workspace that nobody can own it.
const VOTERS: usize = 31;

/// Votes that an owner needs if all voters are taken. Two owners need a common voter also
/// if their rosters differ by two hosts.
const FULL_QUORUM: usize = 17;

/// The hosts, as one host knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaRoster {
    /// Addresses of all hosts, including this one, in order; empty until the roster is
    /// settled, that is, until all hosts that the store lists are known by address.
    pub members: Vec<SocketAddr>,
    /// Largest number of hosts that may be running; `None` until the store has listed them.
    pub most_hosts: Option<usize>,
}

/// The voters of a workspace, the first candidate first.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceVoters(Vec<SocketAddr>);

impl WorkspaceVoters {
    pub(super) fn new(key: QuotaKey, members: &[SocketAddr]) -> Self {
        let mut ranked: Vec<_> = members
            .iter()
            .map(|address| (Reverse(shared_hash(&(key, address))), *address))
            .collect();
        if ranked.len() > VOTERS {
            ranked.select_nth_unstable(VOTERS);
            ranked.truncate(VOTERS);
        }
        ranked.sort_unstable();
        Self(ranked.into_iter().map(|(_, address)| address).collect())
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.0
    }

    /// Returns the rank of a host among the candidates.
    pub(super) fn rank_of(&self, address: SocketAddr) -> Option<usize> {
        self.0.iter().position(|one| *one == address)
    }

    /// Returns the number of votes that an owner needs.
    pub(super) fn quorum(&self) -> usize {
        match self.0.len() {
            VOTERS => FULL_QUORUM,
            fewer => fewer / 2 + 1,
        }
    }
}
