//! Orders to engines.
//!
//! An order is written to the platform before it is sent, one at a time for each
//! engine, by conditional updates. The next lease holder finds the order there and
//! completes it before it writes another. Every send of an order has the same
//! identifier, so a delayed copy has no effect.

mod dispatcher;
mod machine;
mod outstanding;
mod record;
mod runner;

pub use dispatcher::EngineRequest;
pub(crate) use dispatcher::OrderDispatcher;
pub use machine::{
    OrderAction, OrderConfig, OrderEvent, OrderStateMachine, OrderStatus, SendOutcome,
    StoreFailure, StoredOrder,
};
pub(crate) use outstanding::OutstandingSends;
pub use record::{OrderRecord, OrderResult};
pub(crate) use runner::RunnerContext;
