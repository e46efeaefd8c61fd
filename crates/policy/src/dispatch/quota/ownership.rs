//! The part of a host in the election of a workspace's owner, and the bucket while the host
//! owns the workspace.

use super::bucket::QuotaBucket;
use super::lease::{OwnerLease, RENEWAL_INTERVAL, VoterState};
use super::limits::{QuotaKey, QuotaLimits, WorkspaceQuota};
use super::messages::{QuotaGrant, QuotaMessage};
use super::voters::WorkspaceVoters;
use crate::Timestamp;
use crate::dispatch::shared_hash::shared_hash;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a host counts as one that refuses requests after a denial.
const DENIED_TIME: Duration = Duration::from_secs(2);

/// A question for tokens, as the owner gets it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenQuestion {
    pub(super) host: SocketAddr,
    pub(super) key: QuotaKey,
    pub(super) id: u64,
    pub(super) charge: u64,
    pub(super) advance: u64,
}

/// A bucket, and what its owner has told callers that were refused.
#[derive(Clone, Debug)]
struct OwnedBucket {
    term: u64,
    bucket: QuotaBucket,
    /// Charges that were told to come back and may not have yet. They would otherwise all
    /// come back at the same time.
    postponed: f64,
    postponed_at: Timestamp,
    /// Hosts that got a denial lately, and when.
    denied_hosts: BTreeMap<SocketAddr, Timestamp>,
}

/// Election and bucket of one workspace at one host.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceOwnership {
    own: SocketAddr,
    voters: WorkspaceVoters,
    vote: VoterState,
    lease: OwnerLease,
    asked_at: Option<Timestamp>,
    owned: Option<OwnedBucket>,
}

impl WorkspaceOwnership {
    /// Creates the state of a host that may have cast votes until `forgot_at`.
    pub(super) fn new(own: SocketAddr, forgot_at: Timestamp) -> Self {
        Self {
            own,
            voters: WorkspaceVoters::default(),
            vote: VoterState::new(forgot_at),
            lease: OwnerLease::default(),
            asked_at: None,
            owned: None,
        }
    }

    pub(super) fn set_voters(&mut self, voters: WorkspaceVoters) {
        self.voters = voters;
    }

    pub(super) fn voters(&self) -> &[SocketAddr] {
        self.voters.addresses()
    }

    pub(super) fn set_quota(&mut self, now: Timestamp, quota: WorkspaceQuota, limits: QuotaLimits) {
        if let Some(owned) = &mut self.owned {
            owned.bucket.set_quota(now, quota, limits);
        }
    }

    /// Returns whether this host owns the workspace.
    pub(super) fn is_owner(&mut self, now: Timestamp) -> bool {
        self.drop_if_lapsed(now);
        self.owned.is_some()
    }

    /// Records that this process was held up until `now`, and may have missed an owner.
    pub(super) fn record_pause(&mut self, now: Timestamp) {
        self.vote.listen(now);
    }

    /// Returns the voters to ask for the lease or its renewal, if it is time to ask.
    pub(super) fn begin_request(&mut self, now: Timestamp) -> &[SocketAddr] {
        let Some(rank) = self.voters.rank_of(self.own) else {
            return &[];
        };
        let is_due = self
            .asked_at
            .is_none_or(|at| now.since(at) >= RENEWAL_INTERVAL);
        if is_due && self.vote.owner(now) == Some(self.own) && !self.is_lease_held(now) {
            // A candidate that kept its own vote would never support the owner.
            self.vote.withdraw(now);
            self.lease.clear();
            self.owned = None;
        }
        let is_candidate = match self.vote.owner(now) {
            Some(owner) => owner == self.own,
            None => self.vote.is_vacant(now, rank),
        };
        if !is_due || !is_candidate {
            return &[];
        }
        self.asked_at = Some(now);
        self.voters.addresses()
    }

    /// Returns whether this host, as a voter, votes for `candidate`.
    pub(super) fn vote(&mut self, now: Timestamp, candidate: SocketAddr) -> bool {
        self.vote.vote(now, candidate)
    }

    /// Records the vote of a voter that answers the question of `asked_at`.
    pub(super) fn record_vote(
        &mut self,
        now: Timestamp,
        voter: SocketAddr,
        asked_at: Timestamp,
        bucket: impl FnOnce() -> QuotaBucket,
        seed: u64,
    ) {
        self.drop_if_lapsed(now);
        if self.asked_at != Some(asked_at) {
            return;
        }
        self.lease.record_vote(voter, asked_at);
        if self.owned.is_none() && self.is_lease_held(now) {
            self.owned = Some(OwnedBucket {
                term: shared_hash(&(seed, now)),
                bucket: bucket(),
                postponed: 0.0,
                postponed_at: now,
                denied_hosts: BTreeMap::new(),
            });
        }
    }

    /// Answers a question for tokens, if this host owns the workspace.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        question: TokenQuestion,
        window: Duration,
    ) -> Option<QuotaMessage> {
        self.drop_if_lapsed(now);
        let owned = self.owned.as_mut()?;
        let TokenQuestion { key, id, .. } = question;
        if question.charge > 0
            && let Err(denial) = owned.bucket.take(now, question.charge)
        {
            let fits_after = denial.fits_after;
            let wait = owned.postpone(now, question.charge, fits_after.unwrap_or(window), window);
            return Some(QuotaMessage::Denial {
                key,
                id,
                fits_after_ms: fits_after.map(milliseconds),
                retry_after_ms: milliseconds(wait),
                denied_hosts: owned.count_denied(now, question.host),
                left: denial.left as i64,
            });
        }
        let grant = QuotaGrant {
            term: owned.term,
            granted_at_us: now.0,
            charge: question.charge,
            advance: owned.bucket.take_in_advance(now, question.advance),
        };
        Some(QuotaMessage::Grant { key, id, grant })
    }

    /// Records tokens that a host returns.
    pub(super) fn give_back(
        &mut self,
        now: Timestamp,
        term: u64,
        granted_at: Timestamp,
        tokens: u64,
    ) {
        self.drop_if_lapsed(now);
        if let Some(owned) = self.owned.as_mut().filter(|owned| owned.term == term) {
            owned.bucket.give_back(now, granted_at, tokens);
        }
    }

    fn is_lease_held(&self, now: Timestamp) -> bool {
        let voters = self.voters.addresses();
        voters.contains(&self.own) && self.lease.is_held(now, voters, self.voters.quorum())
    }

    fn drop_if_lapsed(&mut self, now: Timestamp) {
        if self.owned.is_some() && !self.is_lease_held(now) {
            self.owned = None;
        }
    }
}

impl OwnedBucket {
    /// Records that `host` gets a denial, and returns the number of such hosts.
    fn count_denied(&mut self, now: Timestamp, host: SocketAddr) -> u16 {
        self.denied_hosts.insert(host, now);
        let is_recent = |_: &SocketAddr, at: &mut Timestamp| now.since(*at) < DENIED_TIME;
        self.denied_hosts.retain(is_recent);
        u16::try_from(self.denied_hosts.len()).unwrap_or(u16::MAX)
    }

    /// Returns the time after which a refused caller may come back: when its charge fits
    /// after those of the callers refused before it.
    fn postpone(
        &mut self,
        now: Timestamp,
        charge: u64,
        fits_after: Duration,
        window: Duration,
    ) -> Duration {
        let rate = self.bucket.rate_per_s();
        let served = now.since(self.postponed_at).as_secs_f64() * rate;
        let before = (self.postponed - served).max(0.0);
        self.postponed = before + charge as f64;
        self.postponed_at = now;
        let behind = Duration::try_from_secs_f64(before / rate).unwrap_or(window);
        (fits_after + behind).min(window.max(fits_after))
    }
}

/// Rounds up, so that a caller doesn't come back too early.
fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
