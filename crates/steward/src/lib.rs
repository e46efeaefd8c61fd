//! The steward daemon, which controls the upstreams of a data centre.
//!
//! Every host runs a steward, and in each data centre one of them holds the
//! lease. Only the lease holder sends orders to engines, purchases upstreams from the
//! platform and reports usage. A former holder that was paused may still send a call
//! before it notices the loss. An engine that checks fencing tokens rejects such an
//! order, and the platform rejects a write whose condition no longer holds. For
//! engines that ignore fencing tokens, the new holder sends no order until no earlier
//! holder can have one in flight (see `handover`). A late purchase or usage report
//! repeats a record that the platform stores. All state of a steward can be read
//! again from the platform, so any other steward can take over.

mod candidate;
mod clock;
mod configuration;
mod counters;
mod explain;
mod fleet;
mod handover;
mod lease;
mod orders;
mod planner;
mod purchases;
mod sealing;
mod steward;

pub use clock::BootTime;
pub use fleet::FleetComposer;
pub use lease::{
    Authority, Grant, LeaseAction, LeaseCallFailure, LeaseConfig, LeaseEvent, LeaseIdentity,
    LeaseRecord, LeaseStateMachine, Predecessor, StoredLease,
};
pub use orders::{
    EngineRequest, OrderAction, OrderConfig, OrderEvent, OrderRecord, OrderResult,
    OrderStateMachine, OrderStatus, SendOutcome, StoreFailure, StoredOrder,
};
pub use purchases::{PurchaseRecord, PurchaseRequest, PurchaseState};
pub use sealing::{
    SealAction, SealCallFailure, SealContents, SealCreateOutcome, SealCursor, SealEvent,
    SealRecord, SealStateMachine, StoredCursor,
};
pub use steward::Steward;
