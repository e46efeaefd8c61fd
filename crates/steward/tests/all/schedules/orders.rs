//! An engine never executes conflicting orders.

use super::network::{Network, ScheduleRng, SimStore};
use super::run_schedules;
use lagoonlift_platform::Version;
use lagoonlift_steward::{
    OrderAction, OrderConfig, OrderEvent, OrderRecord, OrderResult, OrderStateMachine, OrderStatus,
    SendOutcome, StoreFailure, StoredOrder,
};
use lagoonlift_types::{Epoch, FencingSupport, UpstreamRole};
use lagoonlift_upstreams::{EngineChange, EngineOrder};
use std::collections::BTreeMap;

const STEPS: u64 = 1_200;
/// Timeout of a call in steps.
const TIMEOUT: u64 = 20;
/// Steps that the engine needs for an order.
const ORDER_STEPS: u64 = 15;
/// Upper bound, exclusive, in steps on a pause of a holder and on the time until a
/// holder notices that it was replaced.
const MAX_PAUSE: u64 = 120;
/// Longest pause in steps between a process's last check of the lease and its write
/// to the socket.
const MAX_SEND_DELAY: u64 = 500;
const KEY: &str = "order";

/// The engine, with the state that results from the messages it received.
struct Engine {
    fencing: FencingSupport,
    epoch: Epoch,
    running: Option<(String, u64)>,
    known: BTreeMap<String, OrderStatus>,
    /// Identifiers of the orders in the sequence of their starts.
    started: Vec<String>,
    /// Identifiers of the orders whose last execution completed.
    done: Vec<String>,
}

impl Engine {
    fn receive(&mut self, now: u64, order: &EngineOrder) -> SendOutcome {
        let is_stale = order.fencing < self.epoch && self.fencing == FencingSupport::Checked;
        match () {
            () if self.known.contains_key(&order.id) => {
                self.epoch = self.epoch.max(order.fencing);
                SendOutcome::Accepted
            }
            () if is_stale => SendOutcome::StaleFencing,
            () if self.running.is_some() => SendOutcome::AnotherOpen,
            () => {
                self.epoch = self.epoch.max(order.fencing);
                self.running = Some((order.id.clone(), now + ORDER_STEPS));
                self.known.insert(order.id.clone(), OrderStatus::Running);
                self.started.push(order.id.clone());
                SendOutcome::Accepted
            }
        }
    }

    fn work(&mut self, now: u64) {
        if let Some((id, _)) = self.running.take_if(|(_, end)| *end <= now) {
            self.known
                .insert(id.clone(), OrderStatus::Ended(OrderResult::Done));
            self.done.push(id);
        }
    }

    /// Aborts the running order. If `forgets` is set, as in half of the crashes, the
    /// engine also loses its state of all orders.
    fn crash(&mut self, forgets: bool) {
        if let Some((id, _)) = self.running.take() {
            // The order may have completed before, and started again after the
            // engine lost its state.
            self.done.retain(|done| *done != id);
            self.known
                .insert(id, OrderStatus::Ended(OrderResult::Failed));
        }
        if forgets {
            self.known.clear();
        }
    }
}

/// A lease holder, from its grant until it notices the end of the grant.
struct Holder {
    epoch: Epoch,
    machine: OrderStateMachine,
    call: Option<(u64, u64, OrderAction)>,
    /// Step at which a pause ends. The holder may have lost the lease meanwhile
    /// without noticing.
    paused_until: u64,
    is_replaced: bool,
    request_count: u64,
}

enum Message {
    Call(Epoch, u64, OrderAction),
    /// A call whose sender was paused after its last check of the lease.
    DelayedCall(Epoch, OrderAction),
    Response(Epoch, u64, OrderEvent),
}

struct Simulation {
    rng: ScheduleRng,
    store: SimStore<OrderRecord>,
    network: Network<Message>,
    engine: Engine,
    holders: Vec<Holder>,
    call_count: u64,
}

impl Simulation {
    fn new(seed: u64, fencing: FencingSupport) -> Self {
        Self {
            rng: ScheduleRng::new(seed),
            store: SimStore::new(),
            network: Network::new(),
            engine: Engine {
                fencing,
                epoch: Epoch(0),
                running: None,
                known: BTreeMap::new(),
                started: Vec::new(),
                done: Vec::new(),
            },
            holders: Vec::new(),
            call_count: 0,
        }
    }

    fn run(&mut self) {
        self.replace(0);
        for now in 0..STEPS {
            match self.rng.below(300) {
                0..2 => self.replace(now),
                2..6 => self.crash_engine(),
                6..8 => self.pause(now),
                _ => {}
            }
            self.engine.work(now);
            for message in self.network.arrived(now) {
                self.deliver(now, message);
            }
            for index in 0..self.holders.len() {
                self.advance(now, index);
            }
            self.holders
                .retain(|holder| !holder.is_replaced || holder.paused_until > now);
        }
    }

    /// Gives the lease to a new holder. The old one may be paused right before a
    /// call and make the call when it resumes.
    fn replace(&mut self, now: u64) {
        let epoch = Epoch(self.holders.last().map_or(0, |holder| holder.epoch.0) + 1);
        for holder in &mut self.holders {
            holder.is_replaced = true;
            holder.paused_until = now + self.rng.below(MAX_PAUSE);
        }
        let wakes_at = now + self.rng.below(MAX_SEND_DELAY);
        if self.rng.one_in(2) {
            let last = self.holders.last();
            let last_call = last.and_then(|holder| holder.call.as_ref().map(|(call, ..)| *call));
            self.network.reschedule(|message| {
                let Message::Call(sender, call, action) = &*message else {
                    return None;
                };
                if Some(*call) != last_call {
                    return None;
                }
                *message = Message::DelayedCall(*sender, action.clone());
                Some(wakes_at)
            });
        }
        let fencing = self.engine.fencing;
        let mut machine = OrderStateMachine::new(OrderConfig { fencing });
        machine.handle(OrderEvent::LeaseGranted(epoch));
        self.holders.push(Holder {
            epoch,
            machine,
            call: None,
            paused_until: now,
            is_replaced: false,
            request_count: 0,
        });
    }

    fn crash_engine(&mut self) {
        let forgets = self.rng.one_in(2);
        self.engine.crash(forgets);
        // A crash closes the connections to the engine.
        self.network.retain(|message| !is_send(message));
    }

    fn pause(&mut self, now: u64) {
        let pause = self.rng.below(MAX_PAUSE);
        if let Some(holder) = self.holders.last_mut() {
            holder.paused_until = now + pause;
        }
    }

    fn advance(&mut self, now: u64, index: usize) {
        let is_handover_complete = self.is_handover_complete(index);
        let holder = &mut self.holders[index];
        if holder.is_replaced || holder.paused_until > now {
            return;
        }
        if let Some((_, _, action)) = holder.call.take_if(|(_, deadline, _)| *deadline <= now) {
            holder.machine.handle(timeout_event(&action));
        }
        if is_handover_complete {
            holder.machine.handle(OrderEvent::HandoverComplete);
        }
        if holder.machine.is_ready() {
            holder.request_count += 1;
            let id = format!("{}-{}", holder.epoch, holder.request_count);
            let change = EngineChange::ChangeRole(UpstreamRole::Decode);
            holder
                .machine
                .handle(OrderEvent::ChangeRequested { id, change });
        }
        match holder.machine.action() {
            Some(OrderAction::Drain) => holder.machine.handle(OrderEvent::Drained),
            Some(action) if holder.call.is_none() => {
                self.call_count += 1;
                holder.call = Some((self.call_count, now + TIMEOUT, action.clone()));
                let call = Message::Call(holder.epoch, self.call_count, action);
                self.network.send(self.rng.arrival(now), call);
            }
            _ => {}
        }
    }

    /// Returns whether no earlier holder can still reach the engine.
    fn is_handover_complete(&self, index: usize) -> bool {
        let epoch = self.holders[index].epoch;
        let earlier = |message: &Message| match message {
            Message::Call(sender, _, OrderAction::Send(_))
            | Message::DelayedCall(sender, OrderAction::Send(_)) => *sender < epoch,
            _ => false,
        };
        index == 0 && !self.network.any(earlier)
    }

    fn deliver(&mut self, now: u64, message: Message) {
        match message {
            Message::Call(sender, call, action) => {
                let event = self.perform(now, action);
                let response = Message::Response(sender, call, event);
                self.network.send(self.rng.arrival(now), response);
            }
            Message::DelayedCall(_, action) => {
                self.perform(now, action);
            }
            Message::Response(recipient, call, event) => {
                let holder = self.holders.iter_mut().find(|h| h.epoch == recipient);
                let Some(holder) = holder else { return };
                let is_awaited = holder.call.as_ref().is_some_and(|(id, _, _)| *id == call);
                if is_awaited && !holder.is_replaced {
                    holder.call = None;
                    holder.machine.handle(event);
                }
            }
        }
    }

    fn perform(&mut self, now: u64, action: OrderAction) -> OrderEvent {
        match action {
            OrderAction::Read => {
                let stored = self.store.get(KEY).map(|(record, version)| StoredOrder {
                    record,
                    version: Version(version),
                });
                OrderEvent::ReadCompleted(Ok(stored))
            }
            OrderAction::Write { record, condition } => {
                let written = self
                    .store
                    .put(KEY, record, condition.map(|version| version.0));
                let written = written.map(Version).map_err(|_| StoreFailure::NotApplied);
                OrderEvent::WriteCompleted(written)
            }
            OrderAction::QueryStatus { id } => {
                let status = self.engine.known.get(&id).copied();
                OrderEvent::StatusReceived(status.unwrap_or(OrderStatus::Unknown))
            }
            OrderAction::Send(order) => OrderEvent::SendCompleted(self.engine.receive(now, &order)),
            OrderAction::Drain => OrderEvent::Drained,
        }
    }
}

fn is_send(message: &Message) -> bool {
    matches!(message, Message::Call(_, _, OrderAction::Send(_)))
}

fn timeout_event(action: &OrderAction) -> OrderEvent {
    match action {
        OrderAction::Read => OrderEvent::ReadCompleted(Err(StoreFailure::OutcomeUnknown)),
        OrderAction::Write { .. } => OrderEvent::WriteCompleted(Err(StoreFailure::OutcomeUnknown)),
        OrderAction::Drain => OrderEvent::Drained,
        OrderAction::QueryStatus { .. } => OrderEvent::StatusReceived(OrderStatus::NoResponse),
        OrderAction::Send(_) => OrderEvent::SendCompleted(SendOutcome::OutcomeUnknown),
    }
}

/// Checks the platform's and the engine's histories: orders are started in the
/// sequence in which they were recorded, none starts again after a later one, and
/// the recorded results are true.
fn check_history(history: &[(String, OrderRecord)], engine: &Engine) -> Result<(), String> {
    let mut recorded: Vec<&str> = Vec::new();
    for (_, record) in history {
        if !recorded.contains(&record.id.as_str()) {
            recorded.push(&record.id);
        }
        let was_done = engine.done.contains(&record.id);
        match record.result {
            Some(OrderResult::Done) if !was_done => {
                return Err(format!("{} is recorded as done but wasn't done", record.id));
            }
            Some(OrderResult::Failed) if was_done => {
                return Err(format!("{} is recorded as failed but was done", record.id));
            }
            _ => {}
        }
    }
    let mut latest = 0;
    for id in &engine.started {
        let Some(position) = recorded.iter().position(|recorded_id| recorded_id == id) else {
            return Err(format!("{id} was started but never recorded"));
        };
        if position < latest {
            return Err(format!("{id} was started after a later order"));
        }
        latest = position;
    }
    Ok(())
}

fn simulate(seed: u64, fencing: FencingSupport) -> Simulation {
    let mut simulation = Simulation::new(seed, fencing);
    simulation.run();
    simulation
}

fn run_checked(seed: u64) -> Result<(), String> {
    let simulation = simulate(seed, FencingSupport::Checked);
    check_history(&simulation.store.history, &simulation.engine)
}

fn run_ignored(seed: u64) -> Result<(), String> {
    let simulation = simulate(seed, FencingSupport::Ignored);
    check_history(&simulation.store.history, &simulation.engine)
}

/// Fails if a lost response counts as a refusal. Also fails if an order that is
/// still open after the write of its result was lost isn't written again: the late
/// result takes effect after the engine has lost the order in a crash and received
/// it again.
#[test]
fn an_engine_that_checks_gets_no_conflicting_orders() {
    run_schedules(run_checked);
}

/// Fails if the handover counts as complete as soon as the lease is acquired.
#[test]
fn an_engine_that_ignores_fencing_gets_no_conflicting_orders() {
    run_schedules(run_ignored);
}

/// The checks above are vacuous unless most schedules complete orders.
#[test]
fn schedules_carry_orders_out() {
    let done = |seed| simulate(seed, FencingSupport::Ignored).engine.done.len();
    let done: usize = (0..20).map(done).sum();
    assert!(done > 30, "{done} orders in 20 schedules");
}
