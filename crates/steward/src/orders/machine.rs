//! Decides the next step of the orders to one engine.
//!
//! Invariants, on which the promise of no conflicting orders relies:
//!
//! * An order is sent only while the record at the platform names it as open,
//!   under the epoch of the sender, as far as the last answer shows.
//! * A recorded order is never given up for another one: it is sent again under
//!   the same identifier until the engine says how it ended.
//! * An engine that ignores fencing numbers is left alone until every earlier
//!   holder is known to have stopped.
//!
//! Each action is one call; the next one follows from its answer. An answer to
//! a call made under an earlier grant is not passed in.

use super::{OrderRecord, OrderResult};
use lagoonlift_platform::Version;
use lagoonlift_types::{Availability, Epoch, FencingSupport};
use lagoonlift_upstreams::{EngineChange, EngineOrder};

/// What a journal has to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// Whether the engine refuses old fencing numbers.
    pub fencing: FencingSupport,
}

/// The record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOrder {
    /// The record.
    pub record: OrderRecord,
    /// Version of the object.
    pub version: Version,
}

/// Why a call to the platform gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call had no effect; the object has changed, or couldn't be reached.
    NotApplied,
    /// The call may have taken effect, or may still.
    OutcomeUnknown,
}

/// What the engine says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// It is being carried out.
    Running,
    /// It ended.
    Ended(OrderResult),
    /// The engine doesn't know it.
    Unknown,
    /// The engine didn't answer.
    NoResponse,
}

/// What became of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine carries it out.
    Accepted,
    /// The engine has seen a higher fencing number.
    StaleFencing,
    /// The engine carries another order out.
    AnotherOpen,
    /// The engine refuses what it asks for.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The answer was lost.
    OutcomeUnknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// The lease was gained. Forgets whatever was known.
    LeaseGranted(Epoch),
    /// Every earlier holder is known to have stopped.
    HandoverComplete,
    /// The lease has ended.
    LeaseEnded,
    /// A change is wanted; `id` identifies the order for it.
    ChangeRequested {
        /// Identifier that no other order has.
        id: String,
        /// The change.
        change: EngineChange,
    },
    /// The read ended.
    ReadCompleted(Result<Option<StoredOrder>, StoreFailure>),
    /// The write ended.
    WriteCompleted(Result<Version, StoreFailure>),
    /// The engine has no stream any more and gets no new one.
    Drained,
    /// The engine was asked about the order.
    StatusReceived(OrderStatus),
    /// The order was sent.
    SendCompleted(SendOutcome),
}

/// The next call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the record.
    Read,
    /// Write the record, if it has this version, or doesn't exist if `None`.
    Write {
        /// The value.
        record: OrderRecord,
        /// The condition.
        condition: Option<Version>,
    },
    /// Take the engine out of service and wait until its streams have ended.
    Drain,
    /// Ask the engine about an order.
    QueryStatus {
        /// Its identifier.
        id: String,
    },
    /// Send the order.
    Send(EngineOrder),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Not in charge.
    NotHolder,
    /// In charge, but an earlier holder may still send something.
    AwaitingHandover,
    /// The record has to be read.
    ReadingRecord,
    /// No order is open; this was the last one.
    Ready(Option<StoredOrder>),
    /// The record is being written.
    Writing {
        record: OrderRecord,
        condition: Option<Version>,
    },
    /// The order is recorded and may have been sent before.
    Recorded(StoredOrder),
    /// The order may be sent once the engine is drained.
    Draining(StoredOrder),
    /// The order is being sent.
    Sending(StoredOrder),
    /// The order is with the engine.
    Running(StoredOrder),
}

/// An order that is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RequestedOrder {
    id: String,
    change: EngineChange,
}

/// Keeps one holder's side of the orders to one engine.
#[derive(Clone, Debug)]
pub struct OrderStateMachine {
    config: OrderConfig,
    epoch: Epoch,
    step: Step,
    requested: Option<RequestedOrder>,
    ended: Option<OrderRecord>,
    /// Whether a write of the order's end was lost and may still take effect.
    end_lost: bool,
    /// The order that the engine last accepted from this holder.
    accepted: Option<String>,
}

impl OrderStateMachine {
    /// Creates a journal that isn't in charge.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            config,
            epoch: Epoch(0),
            step: Step::NotHolder,
            requested: None,
            ended: None,
            end_lost: false,
            accepted: None,
        }
    }

    /// Returns whether the engine may get new work; `None`: as without orders.
    pub fn availability_override(&self) -> Option<Availability> {
        match &self.step {
            Step::Recorded(order) | Step::Draining(order) if interrupts_streams(order) => {
                Some(Availability::Draining)
            }
            Step::Sending(order) | Step::Running(order) if interrupts_streams(order) => {
                Some(Availability::Away)
            }
            _ => None,
        }
    }

    /// Returns whether no order is open or wanted.
    pub fn is_ready(&self) -> bool {
        matches!(self.step, Step::Ready(_)) && self.requested.is_none()
    }

    /// Returns the order whose end was recorded, once.
    pub fn take_ended(&mut self) -> Option<OrderRecord> {
        self.ended.take()
    }

    /// Takes in one event.
    pub fn handle(&mut self, event: OrderEvent) {
        let step = std::mem::replace(&mut self.step, Step::NotHolder);
        let step = match (step, event) {
            (_, OrderEvent::LeaseGranted(epoch)) => self.begin(epoch),
            (_, OrderEvent::LeaseEnded) => self.end(),
            (Step::AwaitingHandover, OrderEvent::HandoverComplete) => Step::ReadingRecord,
            (step, OrderEvent::ChangeRequested { id, change }) => {
                self.requested = self
                    .requested
                    .take()
                    .or(Some(RequestedOrder { id, change }));
                step
            }
            (Step::ReadingRecord, OrderEvent::ReadCompleted(Ok(stored))) => self.resolve(stored),
            (Step::Writing { record, .. }, OrderEvent::WriteCompleted(Ok(version))) => {
                self.end_lost = false;
                self.resolve(Some(StoredOrder { record, version }))
            }
            (Step::Writing { record, .. }, OrderEvent::WriteCompleted(Err(failure))) => {
                self.end_lost |= record.result.is_some() && failure == StoreFailure::OutcomeUnknown;
                Step::ReadingRecord
            }
            // Sent again, without effect on the order: the engine learns this
            // holder's fencing number, and refuses what an earlier one still
            // sends even if it forgets the order.
            (Step::Recorded(order), OrderEvent::StatusReceived(status))
                if is_known(status) && self.accepted.as_ref() != Some(&order.record.id) =>
            {
                Step::Sending(order)
            }
            (Step::Recorded(order), OrderEvent::StatusReceived(status)) => {
                after_status(Step::Recorded(order.clone()), order, status)
            }
            (Step::Running(order), OrderEvent::StatusReceived(status)) => {
                after_status(Step::Running(order.clone()), order, status)
            }
            (Step::Draining(order), OrderEvent::Drained) => Step::Sending(order),
            (Step::Sending(order), OrderEvent::SendCompleted(outcome)) => {
                if outcome == SendOutcome::Accepted {
                    self.accepted = Some(order.record.id.clone());
                }
                after_send(order, outcome)
            }
            (step, _) => step,
        };
        self.step = self.begin_requested(step);
    }

    /// Returns the next call; the same one until its answer comes in.
    pub fn action(&self) -> Option<OrderAction> {
        match &self.step {
            Step::NotHolder | Step::AwaitingHandover | Step::Ready(_) => None,
            Step::ReadingRecord => Some(OrderAction::Read),
            Step::Writing { record, condition } => Some(OrderAction::Write {
                record: record.clone(),
                condition: *condition,
            }),
            Step::Recorded(order) | Step::Running(order) => Some(OrderAction::QueryStatus {
                id: order.record.id.clone(),
            }),
            Step::Draining(_) => Some(OrderAction::Drain),
            Step::Sending(order) => Some(OrderAction::Send(order.record.order())),
        }
    }

    fn begin(&mut self, epoch: Epoch) -> Step {
        self.epoch = epoch;
        self.requested = None;
        self.ended = None;
        self.end_lost = false;
        self.accepted = None;
        match self.config.fencing {
            FencingSupport::Checked => Step::ReadingRecord,
            FencingSupport::Ignored => Step::AwaitingHandover,
        }
    }

    fn end(&mut self) -> Step {
        self.requested = None;
        self.ended = None;
        Step::NotHolder
    }

    /// Goes on from what the record is.
    fn resolve(&mut self, stored: Option<StoredOrder>) -> Step {
        let Some(stored) = stored else {
            return Step::Ready(None);
        };
        let record = &stored.record;
        self.requested
            .take_if(|requested| requested.id == record.id);
        match record.result {
            // A later holder wrote it; the end of this grant is on its way.
            _ if record.epoch > self.epoch => Step::NotHolder,
            Some(_) => {
                self.ended = Some(record.clone());
                Step::Ready(Some(stored))
            }
            None if record.epoch == self.epoch && !self.end_lost => Step::Recorded(stored),
            // Written anew, so that nothing written before can take effect: the
            // order may have to be sent again, and end otherwise.
            None => Step::Writing {
                record: OrderRecord {
                    epoch: self.epoch,
                    ..stored.record
                },
                condition: Some(stored.version),
            },
        }
    }

    /// Records the order that is wanted if none is open.
    fn begin_requested(&mut self, step: Step) -> Step {
        let last = match step {
            Step::Ready(last) => last,
            step => return step,
        };
        let requested = match (&self.requested, &last) {
            (None, _) => return Step::Ready(last),
            // It has been carried out before.
            (Some(requested), Some(last)) if requested.id == last.record.id => {
                self.ended = Some(last.record.clone());
                self.requested = None;
                return Step::Ready(Some(last.clone()));
            }
            (Some(requested), _) => requested,
        };
        Step::Writing {
            record: OrderRecord {
                id: requested.id.clone(),
                epoch: self.epoch,
                change: requested.change.clone(),
                result: None,
            },
            condition: last.map(|last| last.version),
        }
    }
}

fn interrupts_streams(order: &StoredOrder) -> bool {
    order.record.change.cuts_streams()
}

fn is_known(status: OrderStatus) -> bool {
    matches!(status, OrderStatus::Running | OrderStatus::Ended(_))
}

/// Goes on after the engine was asked; `same` is the step to stay in.
fn after_status(unchanged: Step, order: StoredOrder, status: OrderStatus) -> Step {
    match status {
        OrderStatus::Running => Step::Running(order),
        OrderStatus::Ended(result) => record_result(order, result),
        // Never sent, or forgotten in a crash: sent again as the same order.
        OrderStatus::Unknown if interrupts_streams(&order) => Step::Draining(order),
        OrderStatus::Unknown => Step::Sending(order),
        OrderStatus::NoResponse => unchanged,
    }
}

fn after_send(order: StoredOrder, outcome: SendOutcome) -> Step {
    match outcome {
        SendOutcome::Accepted => Step::Running(order),
        SendOutcome::Refused => record_result(order, OrderResult::Failed),
        SendOutcome::AnotherOpen | SendOutcome::OutcomeUnknown => Step::Recorded(order),
        SendOutcome::NotSent => Step::Sending(order),
        // A later holder has given orders; the end of this grant is on its way.
        SendOutcome::StaleFencing => Step::NotHolder,
    }
}

fn record_result(order: StoredOrder, result: OrderResult) -> Step {
    Step::Writing {
        record: OrderRecord {
            result: Some(result),
            ..order.record
        },
        condition: Some(order.version),
    }
}
