//! An engine never carries out conflicting orders.

use super::network::{Chooser, Network, SimStore};
use super::try_schedules;
use lagoonlift_platform::Version;
use lagoonlift_steward::{
    OrderAction, OrderConfig, OrderEvent, OrderRecord, OrderResult, OrderStateMachine, OrderStatus,
    SendOutcome, StoreFailure, StoredOrder,
};
use lagoonlift_types::{Epoch, FencingSupport, UpstreamRole};
use lagoonlift_upstreams::{EngineChange, EngineOrder};
use std::collections::BTreeMap;

const STEPS: u64 = 1_200;
/// Steps after which a call counts as lost.
const TIMEOUT: u64 = 20;
/// Steps that the engine takes for an order.
const ORDER_STEPS: u64 = 15;
/// Longest time that a holder takes to notice that it was replaced.
const MAX_PAUSE: u64 = 120;
/// Longest time that a process may be paused between its last look at the lease
/// and its write to the socket.
const MAX_HELD_BACK: u64 = 500;
const KEY: &str = "order";

/// The engine, which knows only what reached it.
struct Engine {
    fencing: FencingSupport,
    epoch: Epoch,
    open: Option<(String, u64)>,
    known: BTreeMap<String, OrderStatus>,
    /// Identifiers in the order in which they were begun.
    begun: Vec<String>,
    /// Identifiers of those whose last run wasn't broken off.
    done: Vec<String>,
}

impl Engine {
    fn receive(&mut self, now: u64, order: &EngineOrder) -> SendOutcome {
        let stale = order.fencing < self.epoch && self.fencing == FencingSupport::Checked;
        match () {
            () if self.known.contains_key(&order.id) => {
                self.epoch = self.epoch.max(order.fencing);
                SendOutcome::Accepted
            }
            () if stale => SendOutcome::StaleFencing,
            () if self.open.is_some() => SendOutcome::AnotherOpen,
            () => {
                self.epoch = self.epoch.max(order.fencing);
                self.open = Some((order.id.clone(), now + ORDER_STEPS));
                self.known.insert(order.id.clone(), OrderStatus::Running);
                self.begun.push(order.id.clone());
                SendOutcome::Accepted
            }
        }
    }

    fn work(&mut self, now: u64) {
        if let Some((id, _)) = self.open.take_if(|(_, end)| *end <= now) {
            self.known
                .insert(id.clone(), OrderStatus::Ended(OrderResult::Done));
            self.done.push(id);
        }
    }

    /// Breaks the order off; half of the crashes also lose the memory of it.
    fn crash(&mut self, forgets: bool) {
        if let Some((id, _)) = self.open.take() {
            // Done before and begun again after it was forgotten.
            self.done.retain(|done| *done != id);
            self.known
                .insert(id, OrderStatus::Ended(OrderResult::Failed));
        }
        if forgets {
            self.known.clear();
        }
    }
}

/// One holder of the lease, from its grant until it notices its end.
struct Holder {
    epoch: Epoch,
    journal: OrderStateMachine,
    call: Option<(u64, u64, OrderAction)>,
    /// While it is paused it may still believe that it holds the lease.
    paused_until: u64,
    replaced: bool,
    wants: u64,
}

enum Message {
    Call(Epoch, u64, OrderAction),
    /// A call whose sender was paused after its last look at the lease.
    HeldBack(Epoch, OrderAction),
    Answer(Epoch, u64, OrderEvent),
}

struct World {
    chooser: Chooser,
    store: SimStore<OrderRecord>,
    network: Network<Message>,
    engine: Engine,
    holders: Vec<Holder>,
    calls: u64,
}

impl World {
    fn new(seed: u64, fencing: FencingSupport) -> Self {
        Self {
            chooser: Chooser::new(seed),
            store: SimStore::new(),
            network: Network::new(),
            engine: Engine {
                fencing,
                epoch: Epoch(0),
                open: None,
                known: BTreeMap::new(),
                begun: Vec::new(),
                done: Vec::new(),
            },
            holders: Vec::new(),
            calls: 0,
        }
    }

    fn run(&mut self) {
        self.replace(0);
        for now in 0..STEPS {
            match self.chooser.below(300) {
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
                .retain(|holder| !holder.replaced || holder.paused_until > now);
        }
    }

    /// Gives the lease to a new holder; the old one may be paused right before
    /// a call and make it when it wakes.
    fn replace(&mut self, now: u64) {
        let epoch = Epoch(self.holders.last().map_or(0, |holder| holder.epoch.0) + 1);
        for holder in &mut self.holders {
            holder.replaced = true;
            holder.paused_until = now + self.chooser.below(MAX_PAUSE);
        }
        let wakes = now + self.chooser.below(MAX_HELD_BACK);
        if self.chooser.once_in(2) {
            let last = self.holders.last();
            let last_call = last.and_then(|holder| holder.call.as_ref().map(|(call, ..)| *call));
            self.network.put_off(|message| {
                let Message::Call(sender, call, action) = &*message else {
                    return None;
                };
                if Some(*call) != last_call {
                    return None;
                }
                *message = Message::HeldBack(*sender, action.clone());
                Some(wakes)
            });
        }
        let fencing = self.engine.fencing;
        let mut journal = OrderStateMachine::new(OrderConfig { fencing });
        journal.handle(OrderEvent::LeaseGranted(epoch));
        self.holders.push(Holder {
            epoch,
            journal,
            call: None,
            paused_until: now,
            replaced: false,
            wants: 0,
        });
    }

    fn crash_engine(&mut self) {
        let forgets = self.chooser.once_in(2);
        self.engine.crash(forgets);
        // Connections to the engine end with it.
        self.network.retain(|message| !is_send(message));
    }

    fn pause(&mut self, now: u64) {
        let pause = self.chooser.below(MAX_PAUSE);
        if let Some(holder) = self.holders.last_mut() {
            holder.paused_until = now + pause;
        }
    }

    fn advance(&mut self, now: u64, index: usize) {
        let is_clear = self.is_clear(index);
        let holder = &mut self.holders[index];
        if holder.replaced || holder.paused_until > now {
            return;
        }
        if let Some((_, _, action)) = holder.call.take_if(|(_, deadline, _)| *deadline <= now) {
            holder.journal.handle(timeout_event(&action));
        }
        if is_clear {
            holder.journal.handle(OrderEvent::HandoverComplete);
        }
        if holder.journal.is_ready() {
            holder.wants += 1;
            let id = format!("{}-{}", holder.epoch, holder.wants);
            let change = EngineChange::ChangeRole(UpstreamRole::Decode);
            holder
                .journal
                .handle(OrderEvent::ChangeRequested { id, change });
        }
        match holder.journal.action() {
            Some(OrderAction::Drain) => holder.journal.handle(OrderEvent::Drained),
            Some(action) if holder.call.is_none() => {
                self.calls += 1;
                holder.call = Some((self.calls, now + TIMEOUT, action.clone()));
                let call = Message::Call(holder.epoch, self.calls, action);
                self.network.send(self.chooser.arrival(now), call);
            }
            _ => {}
        }
    }

    /// Returns whether no earlier holder can still reach the engine.
    fn is_clear(&self, index: usize) -> bool {
        let epoch = self.holders[index].epoch;
        let earlier = |message: &Message| match message {
            Message::Call(sender, _, OrderAction::Send(_))
            | Message::HeldBack(sender, OrderAction::Send(_)) => *sender < epoch,
            _ => false,
        };
        index == 0 && !self.network.any(earlier)
    }

    fn deliver(&mut self, now: u64, message: Message) {
        match message {
            Message::Call(sender, call, action) => {
                let event = self.perform(now, action);
                let answer = Message::Answer(sender, call, event);
                self.network.send(self.chooser.arrival(now), answer);
            }
            Message::HeldBack(_, action) => {
                self.perform(now, action);
            }
            Message::Answer(addressee, call, event) => {
                let holder = self.holders.iter_mut().find(|h| h.epoch == addressee);
                let Some(holder) = holder else { return };
                let is_awaited = holder.call.as_ref().is_some_and(|(id, _, _)| *id == call);
                if is_awaited && !holder.replaced {
                    holder.call = None;
                    holder.journal.handle(event);
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
                let look = self.engine.known.get(&id).copied();
                OrderEvent::StatusReceived(look.unwrap_or(OrderStatus::Unknown))
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

/// Judges by the platform's history and the engine's: orders are begun in the
/// order in which they were recorded, none returns after a later one, and what
/// is recorded as done was done.
fn judge(history: &[(String, OrderRecord)], engine: &Engine) -> Result<(), String> {
    let mut recorded: Vec<&str> = Vec::new();
    for (_, record) in history {
        if !recorded.contains(&record.id.as_str()) {
            recorded.push(&record.id);
        }
        let was_done = engine.done.contains(&record.id);
        match record.result {
            Some(OrderResult::Done) if !was_done => {
                return Err(format!("{} is recorded as done and wasn't", record.id));
            }
            Some(OrderResult::Failed) if was_done => {
                return Err(format!("{} is recorded as failed and was done", record.id));
            }
            _ => {}
        }
    }
    let mut latest = 0;
    for id in &engine.begun {
        let Some(position) = recorded.iter().position(|one| one == id) else {
            return Err(format!("{id} was begun and never recorded"));
        };
        if position < latest {
            return Err(format!("{id} was begun after a later order"));
        }
        latest = position;
    }
    Ok(())
}

fn run_world(seed: u64, fencing: FencingSupport) -> World {
    let mut world = World::new(seed, fencing);
    world.run();
    world
}

fn run_checked(seed: u64) -> Result<(), String> {
    let world = run_world(seed, FencingSupport::Checked);
    judge(&world.store.history, &world.engine)
}

fn run_ignored(seed: u64) -> Result<(), String> {
    let world = run_world(seed, FencingSupport::Ignored);
    judge(&world.store.history, &world.engine)
}

/// Seen failing with a lost answer taken for a refusal, and with an order that
/// was found open after the write of its end was lost not written anew: the
/// end took effect late, after the engine had forgotten the order and got it
/// again.
#[test]
fn an_engine_that_checks_gets_no_conflicting_orders() {
    try_schedules(run_checked);
}

/// Seen failing with the hand-over taken for complete at once.
#[test]
fn an_engine_that_ignores_fencing_gets_no_conflicting_orders() {
    try_schedules(run_ignored);
}

/// The judge can only see what happens: most schedules carry orders out.
#[test]
fn schedules_carry_orders_out() {
    let done = |seed| run_world(seed, FencingSupport::Ignored).engine.done.len();
    let done: usize = (0..20).map(done).sum();
    assert!(done > 30, "{done} orders in 20 schedules");
}
