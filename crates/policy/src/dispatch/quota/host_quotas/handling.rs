//! Handles the messages about quotas that a host gets.

use super::{AskId, HostQuotas};
use crate::Timestamp;
use crate::dispatch::quota::account::{QuotaCharge, QuotaDecision, QuotaRefusal, origin_of};
use crate::dispatch::quota::bucket::QuotaBucket;
use crate::dispatch::quota::limits::QuotaKey;
use crate::dispatch::quota::messages::{QuotaGrant, QuotaMessage};
use crate::dispatch::quota::ownership::TokenQuestion;
use std::net::SocketAddr;
use std::time::Duration;

/// A denial, as the host that asked gets it.
#[derive(Clone, Copy, Debug)]
struct HeardDenial {
    fits_after: Option<Duration>,
    retry_after: Duration,
    hosts: u16,
    left: i64,
}

impl HostQuotas {
    /// Handles a message from the host at `from`.
    pub fn handle(&mut self, now: Timestamp, from: SocketAddr, message: QuotaMessage) {
        match message {
            QuotaMessage::LeaseRequest { asked_at_us, keys } => {
                self.vote_for_leases(now, from, asked_at_us, keys);
            }
            QuotaMessage::LeaseVote { asked_at_us, keys } => {
                for key in keys {
                    self.record_vote(now, from, key, Timestamp(asked_at_us));
                }
            }
            QuotaMessage::Ask {
                key,
                id,
                charge,
                advance,
            } => {
                let question = TokenQuestion {
                    host: from,
                    key,
                    id,
                    charge,
                    advance,
                };
                self.answer(now, question);
            }
            QuotaMessage::Grant { key, id, grant } => {
                self.record_grant(now, from, key, AskId(id), grant);
            }
            QuotaMessage::Denial {
                key,
                id,
                fits_after_ms,
                retry_after_ms,
                denied_hosts,
                left,
            } => {
                let denial = HeardDenial {
                    fits_after: fits_after_ms.map(|ms| Duration::from_millis(ms.into())),
                    retry_after: Duration::from_millis(retry_after_ms.into()),
                    hosts: denied_hosts,
                    left,
                };
                self.note_owner(now, from, key);
                self.record_denial(now, AskId(id), denial);
            }
            QuotaMessage::Return {
                key,
                term,
                granted_at_us,
                tokens,
            } => {
                if let Some(workspace) = self.workspaces.get_mut(&key) {
                    let granted_at = Timestamp(granted_at_us);
                    workspace.ownership.give_back(now, term, granted_at, tokens);
                }
            }
        }
    }

    fn vote_for_leases(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        asked_at_us: u64,
        mut keys: Vec<QuotaKey>,
    ) {
        keys.retain(|key| {
            let workspace = self.workspaces.get_mut(key);
            workspace.is_some_and(|one| one.ownership.vote(now, from))
        });
        if !keys.is_empty() {
            self.send(now, from, QuotaMessage::LeaseVote { asked_at_us, keys });
        }
    }

    fn record_vote(
        &mut self,
        now: Timestamp,
        voter: SocketAddr,
        key: QuotaKey,
        asked_at: Timestamp,
    ) {
        let (limits, seed) = (self.limits, self.seed);
        let Some(workspace) = self.workspaces.get_mut(&key) else {
            return;
        };
        let quota = workspace.account.quota;
        let bucket = || QuotaBucket::new(quota, limits, now);
        let ownership = &mut workspace.ownership;
        ownership.record_vote(now, voter, asked_at, bucket, seed);
    }

    fn answer(&mut self, now: Timestamp, question: TokenQuestion) {
        let window = self.limits.window;
        let workspace = self.workspaces.get_mut(&question.key);
        let answer = workspace.and_then(|one| one.ownership.answer(now, question, window));
        if let Some(answer) = answer {
            self.send(now, question.host, answer);
        }
    }

    fn note_owner(&mut self, now: Timestamp, owner: SocketAddr, key: QuotaKey) {
        if let Some(workspace) = self.workspaces.get_mut(&key) {
            workspace.owner = Some((owner, now));
        }
    }

    /// Records a grant. What no request waits for is returned.
    fn record_grant(
        &mut self,
        now: Timestamp,
        owner: SocketAddr,
        key: QuotaKey,
        ask: AskId,
        grant: QuotaGrant,
    ) {
        self.note_owner(now, owner, key);
        let charge = |tokens| QuotaCharge {
            key,
            tokens,
            origin: Some(origin_of(owner, grant)),
        };
        let ttl = self.grant_ttl();
        let waiting = self.waiting.get_mut(&ask);
        let Some(waiting) = waiting.filter(|one| one.key == key && one.answer.is_none()) else {
            self.give_back(now, charge(grant.charge + grant.advance));
            return;
        };
        waiting.answer = Some(QuotaDecision::Admit(Some(charge(grant.charge))));
        let expires_at = waiting.asked_at + ttl;
        if waiting.charge == 0 {
            self.waiting.remove(&ask);
        }
        if let Some(workspace) = self.workspaces.get_mut(&key)
            && grant.advance > 0
        {
            workspace.account.hold(owner, grant, expires_at);
        }
    }

    fn record_denial(&mut self, now: Timestamp, ask: AskId, denial: HeardDenial) {
        let HeardDenial {
            fits_after,
            retry_after,
            hosts,
            left,
        } = denial;
        let waiting = self.waiting.get_mut(&ask);
        let Some(waiting) = waiting.filter(|one| one.answer.is_none()) else {
            return;
        };
        let refusal = match fits_after {
            None => QuotaRefusal::TooLarge { retry_after },
            Some(_) => QuotaRefusal::UsedUp {
                retry_after,
                left,
                age: now.since(waiting.asked_at),
            },
        };
        waiting.answer = Some(QuotaDecision::Refuse(refusal));
        let (key, charge) = (waiting.key, waiting.charge);
        if let (Some(workspace), Some(fits_after)) = (self.workspaces.get_mut(&key), fits_after) {
            let account = &mut workspace.account;
            let next_return = now + retry_after;
            account.record_denial(now, charge, left, fits_after, next_return, hosts);
        }
    }
}
