//! Membership under crashes, pauses, partitions and an unreliable network.
//!
//! The network, the clock and all processes are simulated in one thread. The
//! checks compare the membership list of each process with the actual state.

use crate::support::{data_centre, print_seed, process};
use lagoonlift_hosts::{
    Datagram, MemberRecord, MemberState, Membership, MembershipAction, MembershipConfig,
    OutgoingDatagram, ReplayError, ReportedState,
};
use lagoonlift_types::{Incarnation, ProcessId, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const SCHEDULES: u64 = 1_000;
const MAX_STEPS: usize = 40;
const PROCESSES: usize = 5;
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Rounds without faults after which all processes must agree.
const FAULT_FREE_ROUNDS: u32 = 50;
/// Number of times that datagrams are delivered within a round.
const DELIVERY_PASSES_PER_ROUND: u32 = 6;

#[derive(Clone, Copy, Debug)]
enum Step {
    Rounds(u8),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Processes whose bit is set can't reach the others.
    Partition(u8),
    Heal,
    Lossy(bool),
    Drain(usize),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let which = usize::arbitrary(random) % PROCESSES;
        match u8::arbitrary(random) % 20 {
            0..=8 => Self::Rounds(u8::arbitrary(random) % 8),
            9 | 10 => Self::Crash(which),
            11 | 12 => Self::Restart(which),
            13 => Self::Pause(which),
            14 => Self::Resume(which),
            15 => Self::Partition(u8::arbitrary(random)),
            16 | 17 => Self::Heal,
            18 => Self::Lossy(bool::arbitrary(random)),
            _ => Self::Drain(which),
        }
    }
}

struct SimProcess {
    membership: Membership,
    sequence: u64,
    is_paused: bool,
    /// The highest incarnation that was listed for each other process.
    seen: BTreeMap<ProcessId, Incarnation>,
}

struct Delivery {
    from: usize,
    to: usize,
    datagram: Datagram,
}

struct Simulation {
    now: Duration,
    processes: Vec<Option<SimProcess>>,
    start_counts: Vec<u64>,
    in_flight: Vec<Delivery>,
    partition: u8,
    is_lossy: bool,
    random: SmallRng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 4000))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            processes: (0..PROCESSES).map(|_| None).collect(),
            start_counts: vec![0; PROCESSES],
            in_flight: Vec::new(),
            partition: 0,
            is_lossy: false,
            random: SmallRng::seed_from_u64(seed),
        };
        for index in 0..PROCESSES {
            simulation.start(index);
        }
        simulation
    }

    fn start(&mut self, index: usize) {
        self.start_counts[index] += 1;
        let own = MemberRecord {
            process: process(&format!("h{index}")),
            data_centre: data_centre(["dc1", "dc2"][index % 2]),
            address: address(index),
            incarnation: Incarnation(self.start_counts[index]),
            refutation: 0,
            state: ReportedState::Alive,
        };
        let config = MembershipConfig {
            own,
            heartbeat_interval: HEARTBEAT,
            seeds: vec![address(0), address(1)],
            random_seed: self.random.random(),
        };
        self.processes[index] = Some(SimProcess {
            membership: Membership::new(config, self.now),
            sequence: 0,
            is_paused: false,
            seen: BTreeMap::new(),
        });
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Rounds(rounds) => (0..rounds).for_each(|_| self.round()),
            Step::Crash(index) => self.processes[index] = None,
            Step::Restart(index) => self.start(index),
            Step::Pause(index) => self.set_paused(index, true),
            Step::Resume(index) => self.set_paused(index, false),
            Step::Partition(mask) => self.partition = mask,
            Step::Heal => self.partition = 0,
            Step::Lossy(is_lossy) => self.is_lossy = is_lossy,
            Step::Drain(index) => self.run_step(index, |_, membership, actions| {
                membership.announce_draining(actions);
            }),
        }
    }

    fn set_paused(&mut self, index: usize, is_paused: bool) {
        if let Some(process) = &mut self.processes[index] {
            process.is_paused = is_paused;
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let process = self.processes[index].as_ref();
        process.is_some_and(|process| !process.is_paused)
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        (self.partition >> from & 1) == (self.partition >> to & 1)
    }

    fn round(&mut self) {
        self.now += HEARTBEAT;
        let mut order: Vec<usize> = (0..PROCESSES).collect();
        order.shuffle(&mut self.random);
        for index in order {
            self.run_step(index, |now, membership, actions| {
                membership.tick(now, actions)
            });
        }
        for _ in 0..DELIVERY_PASSES_PER_ROUND {
            self.deliver();
        }
    }

    /// Runs a step of one process and puts the datagrams that it sends in
    /// flight.
    fn run_step(
        &mut self,
        index: usize,
        step: impl FnOnce(Duration, &mut Membership, &mut Vec<MembershipAction>),
    ) {
        let mut actions = Vec::new();
        match &mut self.processes[index] {
            Some(process) if !process.is_paused => {
                step(self.now, &mut process.membership, &mut actions)
            }
            _ => return,
        }
        for action in actions {
            match action {
                MembershipAction::Send(outgoing) => self.send(index, outgoing),
                MembershipAction::PullMembers(address) => {
                    self.pull_members(index, index_of(address))
                }
                MembershipAction::Changed
                | MembershipAction::Suspected(_)
                | MembershipAction::Superseded(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, outgoing: OutgoingDatagram) {
        let process = self.processes[from]
            .as_mut()
            .expect("the process is running");
        let datagram = Datagram {
            sender: process.membership.own().clone(),
            to: outgoing.to,
            sequence: process.sequence,
            kind: outgoing.kind,
            revision: Revision(0),
            fleets: Vec::new(),
            member_records: outgoing.member_records,
        };
        process.sequence += 1;
        let to = index_of(outgoing.address);
        if self.can_reach(from, to) {
            self.in_flight.push(Delivery { from, to, datagram });
        }
    }

    fn pull_members(&mut self, requester: usize, responder: usize) {
        if !self.is_running(responder) || !self.can_reach(requester, responder) {
            return;
        }
        let member_records = self.processes[responder]
            .as_ref()
            .map(|process| process.membership.member_records());
        let member_records = member_records.expect("the process is running");
        self.run_step(requester, |now, membership, actions| {
            membership.merge(now, member_records, actions)
        });
    }

    /// Delivers the datagrams in flight, in random order. On a lossy network,
    /// some are lost, some are duplicated and some are delayed.
    fn deliver(&mut self) {
        let mut deliveries = std::mem::take(&mut self.in_flight);
        deliveries.shuffle(&mut self.random);
        for delivery in deliveries {
            let chance = self.random.random_range(0..100);
            match chance {
                _ if self.processes[delivery.to].is_none() => {}
                _ if !self.is_running(delivery.to) => self.in_flight.push(delivery),
                0..30 if self.is_lossy => {}
                30..45 if self.is_lossy => self.in_flight.push(delivery),
                45..55 if self.is_lossy => {
                    // A stale datagram may be rejected.
                    let _ = self.deliver_one(&delivery);
                    let duplicate = self.deliver_one(&delivery);
                    let is_first_contact =
                        delivery.datagram.to == lagoonlift_hosts::IncarnationId::UNKNOWN;
                    assert!(
                        is_first_contact || duplicate.is_err(),
                        "a duplicate datagram was accepted"
                    );
                }
                _ => {
                    // A stale datagram may be rejected.
                    let _ = self.deliver_one(&delivery);
                }
            }
        }
    }

    fn deliver_one(&mut self, delivery: &Delivery) -> Result<(), ReplayError> {
        let mut result = Ok(());
        let datagram = delivery.datagram.clone();
        self.run_step(delivery.to, |now, membership, actions| {
            result = membership.receive(now, address(delivery.from), datagram, actions);
        });
        result
    }

    /// Checks the invariants that must hold at any time.
    fn check_always(&mut self) -> Result<(), String> {
        let own: BTreeMap<ProcessId, MemberRecord> = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.membership.own().clone())
            .map(|record| (record.process.clone(), record))
            .collect();
        for process in self.processes.iter_mut().flatten() {
            for record in process.membership.member_records() {
                let own_record = own.get(&record.process);
                let is_newer = own_record.is_some_and(|own_record| {
                    (record.incarnation, record.refutation)
                        > (own_record.incarnation, own_record.refutation)
                });
                if is_newer {
                    return Err(format!("{record:?} is newer than the process's own record"));
                }
            }
            for member in process.membership.members() {
                let seen = process.seen.entry(member.process.clone()).or_default();
                if member.incarnation < *seen {
                    return Err(format!("{member:?} is listed after incarnation {seen}"));
                }
                *seen = member.incarnation;
            }
        }
        Ok(())
    }

    /// Checks that the member list of every process matches the actual state.
    fn check_agreement(&self) -> Result<(), String> {
        for (index, observer) in self.processes.iter().enumerate() {
            let Some(observer) = observer else { continue };
            let observed: Vec<(ProcessId, Incarnation, MemberState)> = observer
                .membership
                .members()
                .into_iter()
                .map(|member| (member.process, member.incarnation, member.state))
                .collect();
            let others = self.processes.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            let actual: Vec<(ProcessId, Incarnation, MemberState)> = others
                .filter_map(|(_, other)| other.as_ref())
                .map(|other| {
                    let own = other.membership.own();
                    let state = match own.state {
                        ReportedState::Draining => MemberState::Draining,
                        _ => MemberState::Alive,
                    };
                    (own.process.clone(), own.incarnation, state)
                })
                .collect();
            if observed != actual {
                return Err(format!("h{index} lists {observed:?}, expected {actual:?}"));
            }
        }
        Ok(())
    }
}

fn run_schedule(seed: u64, steps: Vec<Step>) -> Result<(), String> {
    let mut simulation = Simulation::new(seed);
    for step in steps {
        simulation.step(step);
        simulation.check_always()?;
    }
    simulation.step(Step::Heal);
    simulation.step(Step::Lossy(false));
    for index in 0..PROCESSES {
        simulation.step(Step::Resume(index));
    }
    // Processes that haven't met any other can only meet at a seed.
    if simulation.processes[0].is_none() {
        simulation.step(Step::Restart(0));
    }
    for _ in 0..FAULT_FREE_ROUNDS {
        simulation.round();
        simulation.check_always()?;
    }
    simulation.check_agreement()
}

/// Fails if dead members are never contacted again, or if a suspected member
/// isn't told of the suspicion.
#[test]
fn all_processes_agree_once_the_faults_end() {
    let random = Gen::from_size_and_seed(MAX_STEPS, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(SCHEDULES)
        .quickcheck(run_schedule as fn(u64, Vec<Step>) -> Result<(), String>);
}
