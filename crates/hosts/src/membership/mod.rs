//! Which processes of the system live, as far as this one can tell.
//!
//! The list decides where news is sent, who keeps a copy and which data centre
//! is worth a try. It is never asked who may act: any two processes may
//! disagree about it at any time.
//!
//! Each round a process pings a bounded number of others, one of them in its
//! own data centre. A member that answers neither it nor through two others is
//! suspected. The suspicion spreads with the heartbeats, and only the member
//! itself can refute it, with a higher refutation number. Each process counts a
//! suspected member as gone by its own clock; that verdict is not passed on,
//! so a process that lost its own network can't declare others dead to all.
//!
//! The state machine does no I/O: events and the time come in, envelopes to
//! send go out.

mod probes;
mod receive;
mod rumours;
mod table;

use crate::replay::ReplayGuard;
use crate::wire::{DatagramKind, IncarnationId, MemberRecord, ReportedState};
use lagoonlift_types::{DataCentreName, Incarnation, ProcessId, ProcessRole};
use probes::{Probe, Relay, Rotation};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rumours::RumourQueue;
use std::net::SocketAddr;
use std::time::Duration;
use table::{Health, MemberTable};

slotmap::new_key_type! {
    /// Names a member within the table of one process.
    pub(crate) struct MemberKey;
}

/// Members that are pinged in a round besides the one of the own data centre.
const REMOTE_TARGETS: usize = 2;
/// Members that receive news at once when there is some.
const SPREAD_TARGETS: usize = 3;
/// Rounds between two attempts to reach a member that is gone.
const RECONTACT_ROUNDS: u64 = 3;
/// Rounds between two comparisons of the whole list with a random member.
const COMPARE_ROUNDS: u64 = 300;
/// A round that starts this many rounds late proves that this process stood
/// still, and that silence of the others proves nothing.
const STALL_ROUNDS: u32 = 3;
/// How long members that are gone are remembered, so that data centres find
/// each other again after they were cut off.
const FORGET_AFTER: Duration = Duration::from_secs(2 * 60 * 60);
/// Fewest rounds that a suspected member has for its refutation.
const MIN_SUSPICION_ROUNDS: u32 = 4;

/// One process that takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub process: ProcessId,
    /// The data centre of its host.
    pub data_centre: DataCentreName,
    /// Where it listens, UDP and TCP.
    pub address: SocketAddr,
    /// Its start.
    pub incarnation: Incarnation,
    /// How it is.
    pub state: MemberState,
}

impl Member {
    /// Returns whether the member is an entry process on another host of
    /// `data_centre` and will stay, as far as is known.
    pub(crate) fn takes_copies_of(
        &self,
        process: &ProcessId,
        data_centre: &DataCentreName,
    ) -> bool {
        self.process.role == ProcessRole::Entry
            && self.process.host != process.host
            && self.data_centre == *data_centre
            && self.state != MemberState::Draining
    }
}

/// How a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It takes part.
    Alive,
    /// It didn't answer lately.
    Suspect,
    /// It said that it will end soon.
    Draining,
}

/// What the state machine has to be told before it can start.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// What the process says of itself.
    pub own: MemberRecord,
    /// Time between two rounds.
    pub heartbeat_interval: Duration,
    /// Addresses that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Seeds the choice of targets.
    pub random_seed: u64,
}

/// What has to be done after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send(OutgoingDatagram),
    /// Ask the process at this address for its whole list.
    FetchMembers(SocketAddr),
    /// The list of members changed.
    Changed,
    /// A member stopped answering.
    Suspected(ProcessId),
    /// A later start of the own process takes part: this one is out of date.
    Superseded(Incarnation),
}

/// A datagram to send, without what the node adds to each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where to send it.
    pub address: SocketAddr,
    /// The incarnation that it is meant for.
    pub to: IncarnationId,
    /// What it asks or answers.
    pub kind: DatagramKind,
    /// Facts that it carries.
    pub member_records: Vec<MemberRecord>,
}

/// The membership state machine of one process.
#[derive(Debug)]
pub struct Membership {
    own: MemberRecord,
    identity: IncarnationId,
    heartbeat_interval: Duration,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    guard: ReplayGuard,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_probe: u64,
    rotation: Rotation,
    local_rotation: Rotation,
    rumours: RumourQueue,
    random: SmallRng,
    last_round: Duration,
    rounds: u64,
}

impl Membership {
    /// Creates the state machine of a process that knows nobody yet.
    pub fn new(config: MembershipConfig, now: Duration) -> Self {
        Self {
            identity: config.own.identity(),
            own: config.own,
            heartbeat_interval: config.heartbeat_interval,
            seeds: config.seeds,
            table: MemberTable::default(),
            guard: ReplayGuard::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            next_probe: 0,
            rotation: Rotation::default(),
            local_rotation: Rotation::default(),
            rumours: RumourQueue::default(),
            random: SmallRng::seed_from_u64(config.random_seed),
            last_round: now,
            rounds: 0,
        }
    }

    /// Returns what the process says of itself now.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the members, without the own process, in order.
    pub fn members(&self) -> Vec<Member> {
        self.table.members()
    }

    /// Returns what is held true of every process, the own one included.
    pub fn member_records(&self) -> Vec<MemberRecord> {
        let mut member_records = self.table.live_facts();
        member_records.push(self.own.clone());
        member_records
    }

    /// Runs one round of heartbeats; due once in each heartbeat interval.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        let elapsed = now.saturating_sub(self.last_round);
        self.last_round = now;
        self.rounds += 1;
        if elapsed > self.heartbeat_interval * STALL_ROUNDS {
            self.probes.clear();
            self.relays.clear();
            self.table.postpone(elapsed);
        }
        self.check_probes(now, actions);
        self.expire(now, actions);
        self.ping_members(actions);
        self.contact_strangers(actions);
        if self.rounds.is_multiple_of(COMPARE_ROUNDS) {
            self.compare(actions);
        }
    }

    /// Sends news to some members at once.
    pub fn gossip(&mut self, actions: &mut Vec<MembershipAction>) {
        let live = self.table.live_keys();
        let targets: Vec<MemberKey> = live
            .sample(&mut self.random, SPREAD_TARGETS)
            .copied()
            .collect();
        for key in targets {
            self.send(key, DatagramKind::Gossip, actions);
        }
    }

    /// Announces that the process will end soon.
    pub fn announce_draining(&mut self, actions: &mut Vec<MembershipAction>) {
        self.change_own_state(ReportedState::Draining, actions);
    }

    /// Announces that the process ends now.
    pub fn announce_exit(&mut self, actions: &mut Vec<MembershipAction>) {
        self.change_own_state(ReportedState::Left, actions);
    }

    /// Takes in member_records that another process held true.
    pub fn merge(
        &mut self,
        now: Duration,
        member_records: Vec<MemberRecord>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for fact in member_records {
            self.learn(now, fact, actions);
        }
    }

    fn change_own_state(&mut self, state: ReportedState, actions: &mut Vec<MembershipAction>) {
        if state > self.own.state {
            self.own.state = state;
            self.own.refutation += 1;
            self.gossip(actions);
        }
    }

    /// Counts suspected members as gone, and forgets those gone for long.
    fn expire(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        let timeout = self.suspicion_timeout();
        if self.table.expire(now, timeout, FORGET_AFTER) {
            let table = &self.table;
            self.guard.retain(|sender| table.key(sender).is_some());
            actions.push(MembershipAction::Changed);
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let members = self.table.len() as u32 + 1;
        let rounds = (2 * (u32::BITS - members.leading_zeros())).max(MIN_SUSPICION_ROUNDS);
        self.heartbeat_interval * rounds
    }

    fn compare(&mut self, actions: &mut Vec<MembershipAction>) {
        let live = self.table.live_keys();
        if let Some(key) = live.choose(&mut self.random) {
            actions.push(MembershipAction::FetchMembers(
                self.table[*key].fact.address,
            ));
        }
    }

    /// Sends a datagram to a member, with what it ought to refute first.
    fn send(&mut self, key: MemberKey, kind: DatagramKind, actions: &mut Vec<MembershipAction>) {
        let entry = &self.table[key];
        let adverse = entry.fact.state == ReportedState::Suspect;
        let mut member_records = Vec::new();
        member_records.extend(adverse.then(|| entry.fact.clone()));
        let (address, to) = (entry.fact.address, entry.identity);
        let limit = self.table.len();
        self.rumours
            .fill(&self.table, key, limit, &mut member_records);
        actions.push(MembershipAction::Send(OutgoingDatagram {
            address,
            to,
            kind,
            member_records,
        }));
    }

    fn suspect(&mut self, now: Duration, key: MemberKey, actions: &mut Vec<MembershipAction>) {
        let entry = &mut self.table[key];
        if entry.health == Health::Gone || entry.fact.state >= ReportedState::Suspect {
            return;
        }
        entry.fact.state = ReportedState::Suspect;
        entry.since = now;
        actions.push(MembershipAction::Suspected(entry.fact.process.clone()));
        actions.push(MembershipAction::Changed);
        self.rumours.add(key);
    }
}
