//! Orders to engines.
//!
//! An order is written to the platform before it is sent, one at a time for
//! each engine, by conditional updates. Whoever holds the lease next finds it
//! there and brings the very same order to its end before it writes another;
//! because a repeat has the same identifier, no delayed copy can do harm.

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
