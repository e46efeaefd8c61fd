//! Two processes never hold the lease at the same time and never share an epoch, also if
//! the store is restored from copies.

use super::network::{Network, ScheduleRng, SimStore, StoreCopy};
use super::{run_many_schedules, run_schedules};
use lagoonlift_platform::Version;
use lagoonlift_steward::{
    BootTime, Grant, LeaseAction, LeaseCallFailure, LeaseConfig, LeaseEvent, LeaseIdentity,
    LeaseRecord, LeaseStateMachine, StoredLease,
};
use lagoonlift_types::{Epoch, HostName, Incarnation, ProcessId, ProcessRole};
use std::collections::BTreeMap;
use std::time::Duration;

const PROCESSES: usize = 3;
const STEPS: u64 = 1_500;
/// Lease term in steps.
const TERM: u64 = 100;
/// Timeout of a call in steps.
const TIMEOUT: u64 = 20;
/// Longest pause in steps.
const MAX_PAUSE: u64 = 3 * TERM;
/// Duration of a step on a clock without drift.
const STEP: Duration = Duration::from_millis(10);
/// Epochs that fit into one era of the store.
const EPOCHS_PER_ERA: u64 = 1 << 24;
/// Steps between two copies of the store.
const COPY_INTERVAL: u64 = 15;
/// Number of the latest copies from which the store may be restored.
const COPIES: usize = 12;
/// One in this many steps restores the store, in schedules with restores.
const RESTORE_RARITY: u64 = 250;

type Store = SimStore<LeaseRecord>;

/// A process, which is replaced by a new incarnation when it crashes.
struct Process {
    machine: LeaseStateMachine,
    identity: LeaseIdentity,
    /// Duration of a step on its own clock. Clocks drift by up to one per cent.
    step: Duration,
    offset: Duration,
    /// Latest era of the store that the process knows.
    era: u64,
    paused_until: u64,
    /// Number of the call in flight, the step of its timeout, and whether it is a
    /// write.
    call: Option<(u64, u64, bool)>,
    grant: Option<Grant>,
    /// Index of the span of the current grant.
    span: Option<usize>,
}

/// A period during which a process holds the lease.
#[derive(Debug)]
struct LeaseSpan {
    identity: LeaseIdentity,
    epoch: Epoch,
    /// Start in steps of the simulation, not on a process's clock.
    from: u64,
    /// End in the same unit.
    until: f64,
}

enum Message {
    /// A call, for the lease object of an era.
    Call(usize, LeaseIdentity, u64, u64, LeaseAction),
    /// A response, with the store's era.
    Response(usize, LeaseIdentity, u64, u64, LeaseEvent),
}

fn identity(host: usize, incarnation: u64) -> LeaseIdentity {
    LeaseIdentity {
        process: ProcessId {
            host: HostName::new(&format!("h{host}")).expect("a valid name"),
            role: ProcessRole::Steward,
        },
        incarnation: Incarnation(incarnation),
        nonce: incarnation,
    }
}

impl Process {
    fn new(host: usize, incarnation: u64, rng: &mut ScheduleRng) -> Self {
        let identity = identity(host, incarnation);
        let drift = 990 + rng.below(21);
        Self {
            machine: LeaseStateMachine::new(LeaseConfig {
                identity: identity.clone(),
                term: STEP * u32::try_from(TERM).expect("a small number"),
            }),
            identity,
            step: STEP * u32::try_from(drift).expect("a small number") / 1_000,
            offset: Duration::from_secs(rng.below(1_000)),
            era: 0,
            paused_until: 0,
            call: None,
            grant: None,
            span: None,
        }
    }

    fn clock(&self, now: u64) -> BootTime {
        BootTime(self.offset + self.step * u32::try_from(now).expect("a small number"))
    }

    /// Returns the fractional step at which this process's clock shows `time`.
    fn step_of(&self, time: BootTime) -> f64 {
        time.0.saturating_sub(self.offset).as_secs_f64() / self.step.as_secs_f64()
    }
}

struct Simulation {
    rng: ScheduleRng,
    store: Store,
    network: Network<Message>,
    processes: Vec<Process>,
    call_count: u64,
    spans: Vec<LeaseSpan>,
    copies: Vec<StoreCopy<LeaseRecord>>,
    has_restores: bool,
}

impl Simulation {
    fn with_restores(seed: u64) -> Self {
        Self {
            has_restores: true,
            ..Self::new(seed)
        }
    }

    fn new(seed: u64) -> Self {
        let mut rng = ScheduleRng::new(seed);
        let processes = (0..PROCESSES).map(|host| Process::new(host, 1, &mut rng));
        let processes = processes.collect();
        Self {
            rng,
            store: Store::new(),
            network: Network::new(),
            processes,
            call_count: 0,
            spans: Vec::new(),
            copies: Vec::new(),
            has_restores: false,
        }
    }

    fn run(&mut self) {
        for now in 0..STEPS {
            self.inject_fault(now);
            if self.has_restores {
                self.copy_or_restore(now);
            }
            for message in self.network.arrived(now) {
                self.deliver(now, message);
            }
            for index in 0..PROCESSES {
                self.advance(now, index);
            }
        }
    }

    fn copy_or_restore(&mut self, now: u64) {
        if now.is_multiple_of(COPY_INTERVAL) {
            self.copies.push(self.store.copy());
            let excess = self.copies.len().saturating_sub(COPIES);
            self.copies.drain(..excess);
        }
        if self.rng.one_in(RESTORE_RARITY) {
            let index = self.rng.below(self.copies.len() as u64) as usize;
            // Later copies are of a state that doesn't follow the restored one.
            self.copies.truncate(index + 1);
            self.store.restore(self.copies[index].clone());
        }
    }

    fn inject_fault(&mut self, now: u64) {
        let event = self.rng.below(1_200 * PROCESSES as u64);
        let index = usize::try_from(event).expect("a small number") % PROCESSES;
        match event / PROCESSES as u64 {
            0..8 => self.processes[index].paused_until = now + self.rng.below(MAX_PAUSE),
            8..11 => self.processes[index] = Process::new(index, now + 2, &mut self.rng),
            11..13 => self.handle_event(now, index, LeaseEvent::ReleaseRequested),
            _ => {}
        }
    }

    fn deliver(&mut self, now: u64, message: Message) {
        match message {
            Message::Call(index, sender, call, era, action) => {
                let event = perform(&mut self.store, era, action);
                let response = Message::Response(index, sender, call, self.store.era, event);
                self.network.send(self.rng.arrival(now), response);
            }
            Message::Response(index, recipient, call, era, event) => {
                let process = &mut self.processes[index];
                if process.identity != recipient || process.call.is_none_or(|c| c.0 != call) {
                    return;
                }
                if process.paused_until > now {
                    let later = Some(process.paused_until);
                    let again = Message::Response(index, recipient, call, era, event);
                    return self.network.send(later, again);
                }
                process.call = None;
                let event = match era == process.era {
                    true => event,
                    false => {
                        process.era = era;
                        LeaseEvent::StoreRestored {
                            epoch_floor: Epoch(era * EPOCHS_PER_ERA),
                        }
                    }
                };
                self.handle_event(now, index, event);
            }
        }
    }

    fn advance(&mut self, now: u64, index: usize) {
        let process = &mut self.processes[index];
        if process.paused_until > now {
            return;
        }
        let event = match process.call {
            Some((_, deadline, is_write)) if deadline <= now => {
                process.call = None;
                match is_write {
                    true => LeaseEvent::WriteCompleted(Err(LeaseCallFailure::OutcomeUnknown)),
                    false => LeaseEvent::ReadCompleted(Err(LeaseCallFailure::OutcomeUnknown)),
                }
            }
            _ if process.clock(now) < process.machine.wake_at() => return,
            _ => LeaseEvent::TimerFired,
        };
        self.handle_event(now, index, event);
    }

    fn handle_event(&mut self, now: u64, index: usize, event: LeaseEvent) {
        let process = &mut self.processes[index];
        let action = process.machine.handle(process.clock(now), event);
        match process.machine.grant() {
            Some(grant) if process.grant == Some(grant) => {}
            Some(grant) => {
                process.span = Some(self.spans.len());
                self.spans.push(LeaseSpan {
                    identity: process.identity.clone(),
                    epoch: grant.epoch,
                    from: now,
                    until: process.step_of(grant.deadline),
                });
            }
            // A process that knows that it doesn't hold the lease doesn't act.
            None => {
                if let Some(span) = process.span.take() {
                    let until = &mut self.spans[span].until;
                    *until = until.min(now as f64);
                }
            }
        }
        process.grant = process.machine.grant();
        if let Some(action) = action {
            self.call_count += 1;
            let is_write = matches!(action, LeaseAction::Write { .. });
            process.call = Some((self.call_count, now + TIMEOUT, is_write));
            let (identity, era) = (process.identity.clone(), process.era);
            let call = Message::Call(index, identity, self.call_count, era, action);
            self.network.send(self.rng.arrival(now), call);
        }
    }
}

fn perform(store: &mut Store, era: u64, action: LeaseAction) -> LeaseEvent {
    let key = format!("lease-{era}");
    let stored = |(record, version)| {
        Box::new(StoredLease {
            record,
            version: Version(version),
        })
    };
    match action {
        LeaseAction::Read => LeaseEvent::ReadCompleted(Ok(store.get(&key).map(stored))),
        LeaseAction::Write { record, condition } => {
            let written = store.put(&key, record, condition.map(|version| version.0));
            let failure = |current: Option<_>| LeaseCallFailure::Conflict(current.map(stored));
            LeaseEvent::WriteCompleted(written.map(Version).map_err(failure))
        }
    }
}

/// Checks from the spans that no two processes hold the lease at the same time or
/// with the same epoch.
fn check_history(spans: &[LeaseSpan]) -> Result<(), String> {
    let mut holders: BTreeMap<Epoch, &LeaseIdentity> = BTreeMap::new();
    let mut latest: Vec<&LeaseSpan> = Vec::new();
    for span in spans {
        let holder = holders.entry(span.epoch).or_insert(&span.identity);
        if **holder != span.identity {
            return Err(format!("{span:?} shares its epoch with {holder:?}"));
        }
        let other = latest
            .iter()
            .find(|other| other.identity != span.identity && other.until > span.from as f64);
        // A later grant of the same process replaces its earlier ones.
        if let Some(other) = other {
            return Err(format!("{span:?} overlaps {other:?}"));
        }
        latest.retain(|other| other.identity != span.identity);
        latest.push(span);
    }
    Ok(())
}

fn run(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(seed);
    simulation.run();
    check_history(&simulation.spans)?;
    let epochs: Vec<u64> = simulation
        .store
        .history
        .iter()
        .map(|(_, r)| r.epoch.0)
        .collect();
    let rises = epochs
        .windows(2)
        .all(|pair| pair[1] == pair[0] || pair[1] == pair[0] + 1);
    match rises {
        true => Ok(()),
        false => Err(format!("epochs don't increase one by one: {epochs:?}")),
    }
}

/// Checks the spans, and that epochs never decrease from one holder to the next.
fn run_with_restores(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::with_restores(seed);
    simulation.run();
    check_history(&simulation.spans)?;
    let falls = simulation
        .spans
        .windows(2)
        .find(|pair| pair[1].epoch < pair[0].epoch);
    match falls {
        None => Ok(()),
        Some(pair) => Err(format!("{:?} follows {:?}", pair[1], pair[0])),
    }
}

/// The store comes back from copies of up to 1.8 terms ago, while writes are late,
/// responses are lost, and processes pause and restart. Fails if one object is used in
/// all eras, if epochs of an era start from those in the restored object, or if the
/// holder keeps its grant.
#[test]
fn restores_of_the_store_give_the_lease_to_one_process() {
    run_many_schedules(run_with_restores);
}

/// The check above is vacuous unless a lease is held before and after restores.
#[test]
fn schedules_hold_the_lease_in_several_eras() {
    let eras = |seed| {
        let mut simulation = Simulation::with_restores(seed);
        simulation.run();
        let eras = simulation
            .spans
            .iter()
            .map(|span| span.epoch.0 / EPOCHS_PER_ERA);
        eras.collect::<std::collections::BTreeSet<u64>>().len()
    };
    let eras: usize = (0..20).map(eras).sum();
    assert!(eras > 50, "{eras} eras in 20 schedules");
}

/// Fails if the deadline counts from the response, if a successor waits only half a
/// term, or if a lost response counts as a success.
#[test]
fn two_processes_never_hold_the_lease_at_once() {
    run_schedules(run);
}

/// The check above is vacuous unless most schedules change the lease holder.
#[test]
fn schedules_change_the_holder() {
    let changes = |seed| {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        simulation.spans.last().map_or(0, |span| span.epoch.0)
    };
    let changes: u64 = (0..20).map(changes).sum();
    assert!(changes > 40, "{changes} epochs in 20 schedules");
}
