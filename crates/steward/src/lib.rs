//! The steward daemon, which controls the upstreams of a data centre.
//!
//! Every host runs a steward, and in each data centre one of them holds the
//! lease. Only the lease holder sends orders to engines, orders upstreams from the
//! platform and reports usage. A process that lost the lease can do none of this,
//! however late it notices the loss. All state of a steward can be read again from
//! the platform, so any other steward can take over.

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
