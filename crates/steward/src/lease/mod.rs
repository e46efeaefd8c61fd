//! The lease that lets one process act for a data centre.
//!
//! One object at the platform names the holder. It is written only by
//! conditional updates, and each new holder increments the epoch, so two holders
//! never share one. The holder counts its term from the time at which it sent the
//! renewal. A successor counts from the time at which it first saw that version
//! of the object, and adds a margin. Delayed or lost messages can therefore only
//! make the holder stop too early, never too late.

mod actor;
mod authority;
mod event;
mod machine;
mod record;

pub(crate) use actor::{
    GetStatus, LeaseActor, LeaseContext, MarkStopped, Release, SetCandidate, Suspend,
};
pub use authority::{Authority, Grant};
pub use event::{LeaseAction, LeaseCallFailure, LeaseEvent, StoredLease};
pub use machine::{LeaseConfig, LeaseStateMachine};
pub use record::{LeaseIdentity, LeaseRecord, Predecessor};
