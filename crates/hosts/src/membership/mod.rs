//! A view of which processes of the system are alive.
//!
//! The list of members decides where gossip is sent, which peer holds a copy of
//! usage records, and which data centres a process tries to reach. It never
//! decides who may act, because any two processes may disagree about it at any
//! time.
//!
//! In each round a process pings a bounded number of members, one of them in
//! its own data centre. A member that responds neither directly nor through two
//! other members is suspected. The suspicion spreads with the heartbeats, and
//! only the member itself can refute it, with a record whose refutation number,
//! the version of the record within one incarnation, is higher. Each process
//! decides by its own clock when a suspected member counts as dead. That
//! decision isn't shared, so a process that lost its own network can't declare
//! its peers dead for everyone.
//!
//! The state machine does no I/O: it receives events and the time, and returns
//! datagrams to send.

mod gossip;
mod probes;
mod receive;
mod table;

use crate::replay::ReplayGuard;
use crate::wire::{DatagramKind, IncarnationId, MemberRecord, ReportedState};
use gossip::GossipQueue;
use lagoonlift_types::{DataCentreName, Incarnation, ProcessId, ProcessRole};
use probes::{IndirectProbe, Probe, Rotation};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;
use table::{Liveness, MemberTable};

slotmap::new_key_type! {
    /// Identifies a member within the table of one process.
    pub(crate) struct MemberKey;
}

/// Number of members of any data centre that are pinged in a round, in addition
/// to one member of the own data centre.
const GLOBAL_PING_TARGETS: usize = 2;
/// Number of members to which a change is sent immediately.
const GOSSIP_TARGETS: usize = 3;
/// Rounds between two attempts to contact a dead member.
const RECONTACT_INTERVAL_ROUNDS: u64 = 3;
/// Rounds between two comparisons of the complete list with a random member.
const FULL_SYNC_INTERVAL_ROUNDS: u64 = 300;
/// If more than this many heartbeat intervals passed since the last round, this
/// process was stalled and missing responses prove nothing.
const STALL_THRESHOLD_ROUNDS: u32 = 3;
/// How long dead members are kept, so that data centres can find each other
/// again after a partition.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Minimum number of rounds that a suspected member has to refute the
/// suspicion.
const MIN_SUSPICION_ROUNDS: u32 = 4;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub process: ProcessId,
    /// The data centre of its host.
    pub data_centre: DataCentreName,
    /// The address on which it listens, for UDP and TCP.
    pub address: SocketAddr,
    /// Identifier of the process start, which increases with each start. It is a
    /// time, not a count of starts.
    pub incarnation: Incarnation,
    /// The state of the member.
    pub state: MemberState,
}

impl Member {
    /// Returns whether the member is an entry process on another host of
    /// `data_centre` that isn't draining. Such a member can hold copies of the
    /// usage records of `process`.
    pub(crate) fn can_hold_copies_of(
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

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member is running.
    Alive,
    /// The member didn't respond to recent pings.
    Suspect,
    /// The member announced that it will exit soon.
    Draining,
}

/// Settings of the membership state machine.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The initial record of the own process.
    pub own: MemberRecord,
    /// Time between two heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Addresses that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choice of targets.
    pub random_seed: u64,
}

/// An action that the caller must perform after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send(OutgoingDatagram),
    /// Pull the complete list of members from the process at this address.
    PullMembers(SocketAddr),
    /// The list of members changed.
    Changed,
    /// A member is suspected because it stopped responding.
    Suspected(ProcessId),
    /// A later incarnation of the own process is running, so this one is
    /// obsolete.
    Superseded(Incarnation),
}

/// A datagram to send. The node adds the fields that are common to all
/// datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The destination address.
    pub address: SocketAddr,
    /// The incarnation that the datagram is addressed to.
    pub to: IncarnationId,
    /// The purpose of the datagram.
    pub kind: DatagramKind,
    /// The membership records that the datagram carries.
    pub member_records: Vec<MemberRecord>,
}

/// The membership state machine of one process.
#[derive(Debug)]
pub struct Membership {
    own: MemberRecord,
    incarnation_id: IncarnationId,
    heartbeat_interval: Duration,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    replay_guard: ReplayGuard,
    probes: Vec<Probe>,
    indirect_probes: Vec<IndirectProbe>,
    last_probe_number: u64,
    global_rotation: Rotation,
    local_rotation: Rotation,
    gossip_queue: GossipQueue,
    random: SmallRng,
    last_round: Duration,
    rounds: u64,
}

impl Membership {
    /// Creates the state machine of a process that knows no other members yet.
    pub fn new(config: MembershipConfig, now: Duration) -> Self {
        Self {
            incarnation_id: config.own.incarnation_id(),
            own: config.own,
            heartbeat_interval: config.heartbeat_interval,
            seeds: config.seeds,
            table: MemberTable::default(),
            replay_guard: ReplayGuard::new(),
            probes: Vec::new(),
            indirect_probes: Vec::new(),
            last_probe_number: 0,
            global_rotation: Rotation::default(),
            local_rotation: Rotation::default(),
            gossip_queue: GossipQueue::default(),
            random: SmallRng::seed_from_u64(config.random_seed),
            last_round: now,
            rounds: 0,
        }
    }

    /// Returns the current record of the own process.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the members, without the own process, ordered by process.
    pub fn members(&self) -> Vec<Member> {
        self.table.members()
    }

    /// Returns the records of all live members and of the own process.
    pub fn member_records(&self) -> Vec<MemberRecord> {
        let mut member_records = self.table.live_records();
        member_records.push(self.own.clone());
        member_records
    }

    /// Runs one heartbeat round. The caller must call it once per heartbeat
    /// interval.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        let elapsed = now.saturating_sub(self.last_round);
        self.last_round = now;
        self.rounds += 1;
        if elapsed > self.heartbeat_interval * STALL_THRESHOLD_ROUNDS {
            self.probes.clear();
            self.indirect_probes.clear();
            self.table.extend_timers(elapsed);
        }
        self.check_probes(now, actions);
        self.expire(now, actions);
        self.ping_members(actions);
        self.contact_addresses_without_live_member(actions);
        if self.rounds.is_multiple_of(FULL_SYNC_INTERVAL_ROUNDS) {
            self.pull_members(actions);
        }
    }

    /// Sends recent changes to a few random members immediately.
    pub fn gossip(&mut self, actions: &mut Vec<MembershipAction>) {
        let live = self.table.live_keys();
        let targets: Vec<MemberKey> = live
            .sample(&mut self.random, GOSSIP_TARGETS)
            .copied()
            .collect();
        for key in targets {
            self.send(key, DatagramKind::Gossip, actions);
        }
    }

    /// Announces that the process will exit soon.
    pub fn announce_draining(&mut self, actions: &mut Vec<MembershipAction>) {
        self.change_own_state(ReportedState::Draining, actions);
    }

    /// Announces that the process is exiting now.
    pub fn announce_exit(&mut self, actions: &mut Vec<MembershipAction>) {
        self.change_own_state(ReportedState::Exited, actions);
    }

    /// Merges membership records that a peer sent.
    pub fn merge(
        &mut self,
        now: Duration,
        member_records: Vec<MemberRecord>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in member_records {
            self.apply_record(now, record, actions);
        }
    }

    fn change_own_state(&mut self, state: ReportedState, actions: &mut Vec<MembershipAction>) {
        if state > self.own.state {
            self.own.state = state;
            self.own.refutation += 1;
            self.gossip(actions);
        }
    }

    /// Marks members as dead that were suspected for too long, and removes dead
    /// members after the retention time.
    fn expire(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        let timeout = self.suspicion_timeout();
        if self.table.expire(now, timeout, DEAD_MEMBER_RETENTION) {
            let table = &self.table;
            self.replay_guard
                .retain(|sender| table.key(sender).is_some());
            actions.push(MembershipAction::Changed);
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        // Includes the own process and dead members.
        let known_processes = self.table.len() as u32 + 1;
        let rounds = (2 * (u32::BITS - known_processes.leading_zeros())).max(MIN_SUSPICION_ROUNDS);
        self.heartbeat_interval * rounds
    }

    fn pull_members(&mut self, actions: &mut Vec<MembershipAction>) {
        let live = self.table.live_keys();
        if let Some(key) = live.choose(&mut self.random) {
            actions.push(MembershipAction::PullMembers(
                self.table[*key].record.address,
            ));
        }
    }

    /// Sends a datagram to a member. If the member is suspected, the datagram
    /// includes that record first, so that the member can refute it.
    fn send(&mut self, key: MemberKey, kind: DatagramKind, actions: &mut Vec<MembershipAction>) {
        let entry = &self.table[key];
        let is_suspected = entry.record.state == ReportedState::Suspect;
        let mut member_records = Vec::new();
        member_records.extend(is_suspected.then(|| entry.record.clone()));
        let (address, to) = (entry.record.address, entry.incarnation_id);
        let other_processes = self.table.len();
        self.gossip_queue
            .fill(&self.table, key, other_processes, &mut member_records);
        actions.push(MembershipAction::Send(OutgoingDatagram {
            address,
            to,
            kind,
            member_records,
        }));
    }

    fn suspect(&mut self, now: Duration, key: MemberKey, actions: &mut Vec<MembershipAction>) {
        let entry = &mut self.table[key];
        if entry.liveness == Liveness::Dead || entry.record.state >= ReportedState::Suspect {
            return;
        }
        entry.record.state = ReportedState::Suspect;
        entry.state_since = now;
        actions.push(MembershipAction::Suspected(entry.record.process.clone()));
        actions.push(MembershipAction::Changed);
        self.gossip_queue.add(key);
    }
}
