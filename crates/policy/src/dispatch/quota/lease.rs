//! Votes, and the lease that follows from them.

use crate::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a voter supports an owner.
pub(super) const LEASE_TIME: Duration = Duration::from_millis(1_000);

/// Part of that time by which an owner stops earlier, since clocks run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Interval at which an owner has its lease renewed.
pub(super) const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Time by which a candidate waits longer than the one before it, so that candidates don't
/// split the votes.
const CANDIDATE_DELAY: Duration = Duration::from_millis(60);

/// Time for which a host listens for an owner before it asks for the lease, after a pause or
/// a question that brought too few votes. An owner asks within [`RENEWAL_INTERVAL`].
pub(super) const LISTEN_TIME: Duration = Duration::from_millis(300);

/// The vote of one voter for a workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct VoterState {
    owner: Option<SocketAddr>,
    /// Time until which the vote, or the ignorance of votes before the start, holds.
    until: Timestamp,
    /// Time until which the host only listens.
    listen_until: Timestamp,
}

impl VoterState {
    /// Creates the state of a voter that may have voted before it started.
    pub(super) fn new(started_at: Timestamp) -> Self {
        Self {
            owner: None,
            until: started_at + LEASE_TIME,
            listen_until: started_at,
        }
    }

    /// Votes for `candidate`. Returns whether it may.
    pub(super) fn vote(&mut self, now: Timestamp, candidate: SocketAddr) -> bool {
        if now < self.until && self.owner != Some(candidate) {
            return false;
        }
        self.owner = Some(candidate);
        self.until = now + LEASE_TIME;
        true
    }

    /// Returns whether a candidate of this rank should ask for the lease.
    pub(super) fn is_vacant(&self, now: Timestamp, rank: usize) -> bool {
        now >= self.until.max(self.listen_until) + CANDIDATE_DELAY * rank as u32
    }

    /// Makes the host listen for an owner before it asks for the lease.
    pub(super) fn listen(&mut self, now: Timestamp) {
        self.listen_until = now + LISTEN_TIME;
    }

    /// Withdraws the vote of a host to itself.
    pub(super) fn withdraw(&mut self, now: Timestamp) {
        self.owner = None;
        self.until = now;
        self.listen(now);
    }

    /// Returns the owner that the voter supports.
    pub(super) fn owner(&self, now: Timestamp) -> Option<SocketAddr> {
        self.owner.filter(|_| now < self.until)
    }
}

/// The votes that a candidate has got.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerLease {
    /// Time of the question that each voter has answered with a vote.
    voted: BTreeMap<SocketAddr, Timestamp>,
}

impl OwnerLease {
    pub(super) fn record_vote(&mut self, voter: SocketAddr, asked_at: Timestamp) {
        let at = self.voted.entry(voter).or_insert(asked_at);
        *at = (*at).max(asked_at);
    }

    /// Forgets all votes, also those that still hold.
    pub(super) fn clear(&mut self) {
        self.voted.clear();
    }

    /// Returns whether at least `quorum` votes of these voters hold.
    pub(super) fn is_held(&self, now: Timestamp, voters: &[SocketAddr], quorum: usize) -> bool {
        let holds = |voter: &&SocketAddr| {
            let asked_at = self.voted.get(*voter);
            asked_at.is_some_and(|at| now.since(*at) < LEASE_TIME - LEASE_MARGIN)
        };
        !voters.is_empty() && voters.iter().filter(holds).count() >= quorum
    }
}
