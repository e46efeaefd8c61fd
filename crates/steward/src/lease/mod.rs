//! Who may act for a data centre.
//!
//! One object at the platform names the holder. It is written only by
//! conditional updates, and each new holder raises the epoch by one, so no two
//! holders ever share one. The holder counts its term from before it sent the
//! renewal; a successor counts from when it saw the object stand still, and
//! waits longer. Whatever is delayed or lost on the way can therefore only make
//! the holder stop too early, never too late.

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
