//! The lease that lets one process act for a data centre.
//!
//! One object at the platform names the holder. It is written only by
//! conditional updates, and each new holder increments the epoch, so two holders
//! never share one. The holder's grant lasts for the term minus a safety margin,
//! counted from the time at which it sent the renewal. A successor waits for the term
//! plus the safety margin, counted from the time at which it first saw that version
//! of the object. Delayed or lost messages can therefore only end the grant too early,
//! never too late.

mod actor;
mod authority;
mod event;
mod machine;
mod record;

pub(crate) use actor::{
    GetStatus, LeaseActor, LeaseContext, MarkResolved, Release, SetCandidate, WithholdGrant,
};
pub use authority::{Authority, Grant};
pub use event::{LeaseAction, LeaseCallFailure, LeaseEvent, StoredLease};
pub use machine::{LeaseConfig, LeaseStateMachine};
pub use record::{LeaseIdentity, LeaseRecord, Predecessor};
