//! The quotas of all workspaces at one host.

mod handling;

use super::account::{QuotaAccount, QuotaCharge, QuotaDecision, QuotaRefusal};
use super::limits::{QuotaKey, QuotaLimits, WorkspaceQuota};
use super::messages::{MAX_KEYS, QuotaMessage};
use super::ownership::WorkspaceOwnership;
use super::voters::{QuotaRoster, WorkspaceVoters};
use crate::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a host that has answered as the owner is asked alone.
const OWNER_MEMORY: Duration = Duration::from_secs(2);

/// Time after which the answer to a request that no longer waits is returned.
const ASK_MEMORY: Duration = Duration::from_secs(1);

/// Time between two ticks from which on the process counts as having been held up.
const PAUSE_TIME: Duration = Duration::from_millis(250);

/// Least life of a grant, so that a request can get one at all.
const MIN_GRANT_TTL: Duration = Duration::from_millis(100);

/// Identifies the question of a request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId(pub u64);

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingQuotaMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: QuotaMessage,
}

/// One workspace with a quota.
#[derive(Clone, Debug)]
struct QuotaWorkspace {
    ownership: WorkspaceOwnership,
    account: QuotaAccount,
    /// Host that has answered as the owner, and when.
    owner: Option<(SocketAddr, Timestamp)>,
}

/// A request that waits for an answer.
#[derive(Clone, Copy, Debug)]
struct WaitingAsk {
    key: QuotaKey,
    charge: u64,
    asked_at: Timestamp,
    answer: Option<QuotaDecision>,
}

/// The quotas of all workspaces at one host: its part as a voter, as an owner, and as a host
/// that asks.
#[derive(Debug)]
pub struct HostQuotas {
    own: SocketAddr,
    /// Random number of this process.
    seed: u64,
    limits: QuotaLimits,
    roster: QuotaRoster,
    workspaces: BTreeMap<QuotaKey, QuotaWorkspace>,
    waiting: BTreeMap<AskId, WaitingAsk>,
    last_ask: u64,
    /// Time until which this host may have voted in ways that it doesn't know.
    forgot_at: Timestamp,
    outgoing: Vec<OutgoingQuotaMessage>,
    ticked_at: Timestamp,
}

impl HostQuotas {
    /// Creates the state of a process that starts at `now`. `seed` is a random number.
    pub fn new(own: SocketAddr, seed: u64, limits: QuotaLimits, now: Timestamp) -> Self {
        Self {
            own,
            seed,
            limits,
            roster: QuotaRoster::default(),
            workspaces: BTreeMap::new(),
            waiting: BTreeMap::new(),
            last_ask: 0,
            forgot_at: now,
            outgoing: Vec::new(),
            ticked_at: now,
        }
    }

    /// Returns whether no workspace has a quota.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the number of workspaces that this host owns.
    pub fn owned_count(&mut self, now: Timestamp) -> usize {
        let workspaces = self.workspaces.values_mut();
        workspaces
            .map(|one| usize::from(one.ownership.is_owner(now)))
            .sum()
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: QuotaLimits) {
        self.limits = limits;
    }

    /// Puts the quotas of a configuration into force.
    pub fn set_quotas(
        &mut self,
        now: Timestamp,
        quotas: impl IntoIterator<Item = (QuotaKey, WorkspaceQuota)>,
    ) {
        let mut earlier = std::mem::take(&mut self.workspaces);
        for (key, quota) in quotas {
            let known = earlier.remove(&key);
            let mut workspace = known.unwrap_or_else(|| self.new_workspace(key, quota));
            workspace.ownership.set_quota(now, quota, self.limits);
            workspace.account.set_quota(quota);
            self.workspaces.insert(key, workspace);
        }
        if !earlier.is_empty() {
            self.forgot_at = now;
        }
    }

    fn new_workspace(&self, key: QuotaKey, quota: WorkspaceQuota) -> QuotaWorkspace {
        let mut ownership = WorkspaceOwnership::new(self.own, self.forgot_at);
        ownership.set_voters(WorkspaceVoters::new(key, &self.roster.members));
        QuotaWorkspace {
            ownership,
            account: QuotaAccount::new(key, quota),
            owner: None,
        }
    }

    /// Replaces the roster.
    pub fn set_roster(&mut self, roster: QuotaRoster) {
        let is_changed = roster.members != self.roster.members;
        self.roster = roster;
        if is_changed {
            for (key, workspace) in &mut self.workspaces {
                let voters = WorkspaceVoters::new(*key, &self.roster.members);
                workspace.ownership.set_voters(voters);
            }
        }
    }

    /// Returns the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingQuotaMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Renews leases and returns what has expired.
    pub fn tick(&mut self, now: Timestamp) {
        let since_tick = now.since(std::mem::replace(&mut self.ticked_at, now));
        if since_tick >= PAUSE_TIME {
            let workspaces = self.workspaces.values_mut();
            workspaces.for_each(|one| one.ownership.record_pause(now));
        }
        self.request_leases(now);
        self.return_expired(now);
        let is_over = |_: &AskId, ask: &mut WaitingAsk| now.since(ask.asked_at) >= ASK_MEMORY;
        let over: Vec<_> = self.waiting.extract_if(.., is_over).collect();
        for (_, ask) in over {
            if let Some(QuotaDecision::Admit(Some(charge))) = ask.answer {
                self.give_back(now, charge);
            }
        }
    }

    fn request_leases(&mut self, now: Timestamp) {
        let mut by_voter: BTreeMap<SocketAddr, Vec<QuotaKey>> = BTreeMap::new();
        for (key, workspace) in &mut self.workspaces {
            for voter in workspace.ownership.begin_request(now) {
                by_voter.entry(*voter).or_default().push(*key);
            }
        }
        for (voter, keys) in by_voter {
            for keys in keys.chunks(MAX_KEYS) {
                let message = QuotaMessage::LeaseRequest {
                    asked_at_us: now.0,
                    keys: keys.to_vec(),
                };
                self.send(now, voter, message);
            }
        }
    }

    fn return_expired(&mut self, now: Timestamp) {
        let mut expired = Vec::new();
        for (key, workspace) in &mut self.workspaces {
            let tokens = workspace.account.take_expired(now).into_iter();
            expired.extend(tokens.map(|(origin, tokens)| QuotaCharge {
                key: *key,
                tokens,
                origin: Some(origin),
            }));
        }
        for charge in expired {
            self.give_back(now, charge);
        }
    }

    /// Decides about a request of a workspace. The error is the question whose answer it has
    /// to wait for.
    ///
    /// # Errors
    ///
    /// Returns the question if the owner has to be asked.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: QuotaKey,
        charge: u64,
    ) -> Result<QuotaDecision, AskId> {
        let ttl = self.grant_ttl();
        let Some(workspace) = self.workspaces.get_mut(&key) else {
            return Ok(QuotaDecision::Admit(None));
        };
        if charge == 0 {
            return Ok(QuotaDecision::Admit(None));
        }
        let account = &mut workspace.account;
        account.record_demand(now, charge);
        if let Some(spent) = account.spend_held(now, charge) {
            let advance = account.advance_wanted(now, charge, ttl);
            if advance > 0 {
                self.ask_owner(now, key, charge, advance, false);
            }
            return Ok(QuotaDecision::Admit(Some(spent)));
        }
        if let Some(refusal) = account.known_refusal(now, charge, self.limits.window) {
            return Ok(QuotaDecision::Refuse(refusal));
        }
        if workspace.ownership.voters().is_empty() {
            return Ok(self.decide_ownerless(now, key, charge));
        }
        let is_own = workspace.ownership.is_owner(now);
        let advance = match is_own {
            true => 0,
            false => workspace.account.advance_wanted(now, charge, ttl),
        };
        let ask = self.ask_owner(now, key, charge, advance, true);
        self.take_answer(now, ask).ok_or(ask)
    }

    /// Sends the question again, to all voters.
    pub fn repeat_ask(&mut self, now: Timestamp, ask: AskId) {
        let Some(waiting) = self.waiting.get(&ask).copied() else {
            return;
        };
        if let Some(workspace) = self.workspaces.get_mut(&waiting.key) {
            workspace.owner = None;
        }
        self.send_ask(now, waiting.key, ask, waiting.charge, 0);
    }

    /// Returns the decision about a request that waits, if the owner has answered.
    pub fn take_answer(&mut self, now: Timestamp, ask: AskId) -> Option<QuotaDecision> {
        let answer = self.waiting.get(&ask)?.answer?;
        let waiting = self.waiting.remove(&ask)?;
        let is_late = now.since(waiting.asked_at) >= self.grant_ttl();
        match answer {
            // This process was held up after the grant had arrived.
            QuotaDecision::Admit(Some(charge)) if is_late => {
                self.give_back(now, charge);
                Some(self.decide_ownerless(now, waiting.key, waiting.charge))
            }
            answer => Some(answer),
        }
    }

    /// Decides about a request that has waited for long enough.
    pub fn end_ask(&mut self, now: Timestamp, ask: AskId) -> QuotaDecision {
        if let Some(answer) = self.take_answer(now, ask) {
            return answer;
        }
        match self.waiting.remove(&ask) {
            Some(waiting) => self.decide_ownerless(now, waiting.key, waiting.charge),
            None => QuotaDecision::Refuse(QuotaRefusal::NoOwner {
                retry_after: ASK_MEMORY,
            }),
        }
    }

    /// Returns the charge of a request that certainly doesn't run.
    pub fn give_back(&mut self, now: Timestamp, charge: QuotaCharge) {
        let Some(origin) = charge.origin else {
            return;
        };
        let message = QuotaMessage::Return {
            key: charge.key,
            term: origin.term,
            granted_at_us: origin.granted_at_us,
            tokens: charge.tokens,
        };
        self.send(now, origin.owner, message);
    }

    fn decide_ownerless(&mut self, now: Timestamp, key: QuotaKey, charge: u64) -> QuotaDecision {
        let (limits, most_hosts) = (self.limits, self.roster.most_hosts);
        match self.workspaces.get_mut(&key) {
            Some(one) => one
                .account
                .decide_ownerless(now, charge, &limits, most_hosts),
            None => QuotaDecision::Admit(None),
        }
    }

    fn grant_ttl(&self) -> Duration {
        self.limits.grant_ttl().max(MIN_GRANT_TTL)
    }

    /// Asks for tokens, for a request that waits or only in advance.
    fn ask_owner(
        &mut self,
        now: Timestamp,
        key: QuotaKey,
        charge: u64,
        advance: u64,
        is_waiting: bool,
    ) -> AskId {
        self.last_ask += 1;
        let ask = AskId(self.last_ask);
        let charge = if is_waiting { charge } else { 0 };
        let waiting = WaitingAsk {
            key,
            charge,
            asked_at: now,
            answer: None,
        };
        self.waiting.insert(ask, waiting);
        self.send_ask(now, key, ask, charge, advance);
        ask
    }

    fn send_ask(&mut self, now: Timestamp, key: QuotaKey, ask: AskId, charge: u64, advance: u64) {
        let Some(workspace) = self.workspaces.get_mut(&key) else {
            return;
        };
        let is_recent = |(_, at): &(SocketAddr, Timestamp)| now.since(*at) < OWNER_MEMORY;
        let known = workspace.owner.filter(is_recent).map(|(owner, _)| owner);
        let receivers = match known {
            _ if workspace.ownership.is_owner(now) => vec![self.own],
            Some(owner) => vec![owner],
            None => workspace.ownership.voters().to_vec(),
        };
        for receiver in receivers {
            let message = QuotaMessage::Ask {
                key,
                id: ask.0,
                charge,
                advance,
            };
            self.send(now, receiver, message);
        }
    }

    /// Sends a message. One to this host is handled at once.
    fn send(&mut self, now: Timestamp, to: SocketAddr, message: QuotaMessage) {
        match to == self.own {
            true => self.handle(now, to, message),
            false => self.outgoing.push(OutgoingQuotaMessage { to, message }),
        }
    }
}
