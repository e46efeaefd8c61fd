//! The steward daemon.
//!
//! Every host runs a steward, and in each data centre one of them holds the
//! lease. Only the holder gives orders to engines, orders upstreams and reports
//! usage; a process that has lost the lease can do none of that any more,
//! however late it notices. All that a steward knows it can read again from the
//! platform, so any other can take its place.

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
