//! Decides the next step of the orders to one engine.
//!
//! The code does no I/O. The guarantee that an engine never gets conflicting
//! orders relies on these invariants:
//!
//! * An order is sent only while the record at the platform, as last read or
//!   written, shows it as open with the epoch of the sender.
//! * A recorded order is never abandoned for another one. It is sent again with
//!   the same identifier until the engine reports its result.
//! * An engine that ignores fencing tokens gets no order until every earlier
//!   holder is resolved: it is taken to send no more orders of its epoch.
//!
//! Each action is one call, and its result determines the next one. The caller
//! must not pass in results of calls made under an earlier grant.

use super::{OrderRecord, OrderResult};
use lagoonlift_platform::Version;
use lagoonlift_types::{Availability, Epoch, FencingSupport};
use lagoonlift_upstreams::{EngineChange, EngineOrder};

/// Configuration of an order state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// Whether the engine rejects orders with stale fencing tokens.
    pub fencing: FencingSupport,
}

/// An order record with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOrder {
    /// The parsed contents of the object.
    pub record: OrderRecord,
    /// The object's version, the condition of the next write.
    pub version: Version,
}

/// Why a call to the platform's object store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call had no effect. Its condition failed, the platform couldn't be reached,
    /// limited the rate or rejected the call, or a value was malformed.
    NotApplied,
    /// The call may have taken effect or may do so later.
    OutcomeUnknown,
}

/// Status of an order at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// The engine is executing the order.
    Running,
    /// The order has ended.
    Ended(OrderResult),
    /// The engine doesn't know the order.
    Unknown,
    /// The engine didn't respond.
    NoResponse,
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine has accepted the order, now or before.
    Accepted,
    /// The engine rejected the order because it has seen a higher fencing token.
    StaleFencing,
    /// The engine is executing another order.
    AnotherOpen,
    /// The engine refused the requested change.
    Refused,
    /// The order wasn't sent, for example because the connection failed.
    NotSent,
    /// The response was lost. The order may have arrived or may arrive later.
    OutcomeUnknown,
}

/// An input of the order state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// The lease was acquired. Discards all earlier state.
    LeaseGranted(Epoch),
    /// Every earlier holder is resolved.
    HandoverComplete,
    /// The lease has ended.
    LeaseEnded,
    /// A change was requested. Ignored while another request is pending.
    ChangeRequested {
        /// Unique identifier of the order.
        id: String,
        /// The requested change.
        change: EngineChange,
    },
    /// The read completed. `None` stands for an object that doesn't exist.
    ReadCompleted(Result<Option<StoredOrder>, StoreFailure>),
    /// The write completed. Holds the object's new version.
    WriteCompleted(Result<Version, StoreFailure>),
    /// The engine has no streams left and gets no new ones.
    Drained,
    /// The status query completed.
    StatusReceived(OrderStatus),
    /// The send completed.
    SendCompleted(SendOutcome),
}

/// The next call to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the order record.
    Read,
    /// Write the order record conditionally.
    Write {
        /// The record to write.
        record: OrderRecord,
        /// The version that the object must have. `None` requires that it doesn't
        /// exist.
        condition: Option<Version>,
    },
    /// Wait until the engine has no streams left. Meanwhile
    /// [`OrderStateMachine::availability_override`] takes it out of service.
    Drain,
    /// Query the engine for the status of an order.
    QueryStatus {
        /// Identifier of the order.
        id: String,
    },
    /// Send the order to the engine.
    Send(EngineOrder),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// This process doesn't hold the lease, or has seen that a later holder wrote the
    /// record or sent an order. In the second case its grant may still be valid, but
    /// it makes no call until the next grant.
    NotHolder,
    /// This process holds the lease, but an earlier holder may still send orders.
    AwaitingHandover,
    /// The record is being read.
    ReadingRecord,
    /// No order is open. Holds the last one, if any.
    Ready(Option<StoredOrder>),
    /// The record is being written.
    Writing {
        record: OrderRecord,
        condition: Option<Version>,
    },
    /// The order is recorded and may have been sent before.
    Recorded(StoredOrder),
    /// The order will be sent once the engine is drained.
    Draining(StoredOrder),
    /// The order is being sent.
    Sending(StoredOrder),
    /// The engine is executing the order.
    Running(StoredOrder),
}

/// A requested order that isn't recorded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RequestedOrder {
    id: String,
    change: EngineChange,
}

/// State machine of one lease holder for the orders to one engine.
#[derive(Clone, Debug)]
pub struct OrderStateMachine {
    config: OrderConfig,
    epoch: Epoch,
    step: Step,
    requested: Option<RequestedOrder>,
    ended: Option<OrderRecord>,
    /// Whether a write of the order's result has an unknown outcome and may still
    /// take effect.
    is_result_unknown: bool,
    /// Identifier of the last order that the engine accepted from this holder.
    last_accepted: Option<String>,
}

impl OrderStateMachine {
    /// Creates a state machine that doesn't hold the lease.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            config,
            epoch: Epoch(0),
            step: Step::NotHolder,
            requested: None,
            ended: None,
            is_result_unknown: false,
            last_accepted: None,
        }
    }

    /// Returns the engine's availability if the current order determines it, and
    /// `None` otherwise. An engine that executes an order which interrupts its streams
    /// is [`Availability::Away`]. The fleet view also reports an engine that doesn't
    /// respond as away.
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

    /// Returns whether this process holds the lease and no order is open or
    /// requested.
    pub fn is_ready(&self) -> bool {
        matches!(self.step, Step::Ready(_)) && self.requested.is_none()
    }

    /// Returns an order whose result has been recorded. Each is returned once.
    pub fn take_ended(&mut self) -> Option<OrderRecord> {
        self.ended.take()
    }

    /// Handles one event. Events that don't fit the current step are ignored.
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
                self.is_result_unknown = false;
                self.resolve(Some(StoredOrder { record, version }))
            }
            (Step::Writing { record, .. }, OrderEvent::WriteCompleted(Err(failure))) => {
                self.is_result_unknown |=
                    record.result.is_some() && failure == StoreFailure::OutcomeUnknown;
                Step::ReadingRecord
            }
            // Sends the known order again. This doesn't affect the order, but shows
            // the engine this holder's fencing token. From then on the engine
            // rejects delayed copies from earlier holders, even if it forgets the
            // order in a crash.
            (Step::Recorded(order), OrderEvent::StatusReceived(status))
                if is_known(status) && self.last_accepted.as_ref() != Some(&order.record.id) =>
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
                    self.last_accepted = Some(order.record.id.clone());
                }
                after_send(order, outcome)
            }
            (step, _) => step,
        };
        self.step = self.begin_requested(step);
    }

    /// Returns the next call. It stays the same until an event changes the step.
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
        self.is_result_unknown = false;
        self.last_accepted = None;
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

    /// Returns the next step for the record as read or written.
    fn resolve(&mut self, stored: Option<StoredOrder>) -> Step {
        let Some(stored) = stored else {
            return Step::Ready(None);
        };
        let record = &stored.record;
        self.requested
            .take_if(|requested| requested.id == record.id);
        match record.result {
            // A later holder wrote the record, so this grant is about to end.
            _ if record.epoch > self.epoch => Step::NotHolder,
            Some(_) => {
                self.ended = Some(record.clone());
                Step::Ready(Some(stored))
            }
            None if record.epoch == self.epoch && !self.is_result_unknown => Step::Recorded(stored),
            // Writes the record again with a new version, so that no earlier write
            // can take effect. A delayed result would be wrong if the order has to
            // be sent again and ends differently.
            None => Step::Writing {
                record: OrderRecord {
                    epoch: self.epoch,
                    ..stored.record
                },
                condition: Some(stored.version),
            },
        }
    }

    /// Starts recording the requested order if none is open.
    fn begin_requested(&mut self, step: Step) -> Step {
        let last = match step {
            Step::Ready(last) => last,
            step => return step,
        };
        let requested = match (&self.requested, &last) {
            (None, _) => return Step::Ready(last),
            // The order has been executed before.
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
    order.record.change.interrupts_streams()
}

fn is_known(status: OrderStatus) -> bool {
    matches!(status, OrderStatus::Running | OrderStatus::Ended(_))
}

/// Returns the step after a status query. `unchanged` is the current step.
fn after_status(unchanged: Step, order: StoredOrder, status: OrderStatus) -> Step {
    match status {
        OrderStatus::Running => Step::Running(order),
        OrderStatus::Ended(result) => record_result(order, result),
        // The order was never sent, or the engine lost it in a crash. It is sent
        // with the same identifier.
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
        // A later holder has sent orders, so this grant is about to end.
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
