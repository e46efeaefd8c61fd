//! Decisions only: what to admit, where to send it, when to change a role.
//!
//! A decision that can be replayed can be explained, tested and compared. This
//! package therefore does no I/O, reads no clock and starts no task: typed
//! events and the time go in, typed actions come out, and the same events in
//! the same order always give the same actions. Both daemons call it, and so
//! can any outside harness.
//!
//! * [`EntryPolicy`] runs in every entry process: admission, queueing,
//!   placement, shedding.
//! * [`FleetPolicy`] runs in every steward: roles, models, purchases.
//! * [`dispatch`] runs in every gateway: single requests on a listed fleet.

mod budget;
pub mod dispatch;
mod entry;
mod event;
mod fleet;
mod fleet_event;
mod fleet_limits;
mod forecast;
mod purchase;
mod role_split;
mod time;

pub use entry::{EntryLimits, EntryPolicy, FairQueue, WaitingRequest};
pub use event::{
    AttemptEnd, EntryAction, EntryEvent, LoadReport, PrefixHash, QueuedWork, RequestFacts, Target,
    UpstreamFacts, UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
pub use fleet::FleetPolicy;
pub use fleet_event::{DemandReport, EngineFacts, EngineState, FleetAction, FleetEvent, OrderEnd};
pub use fleet_limits::{FleetLimits, FleetWeighting};
pub use forecast::{EngineRates, PhaseWork};
pub use time::Timestamp;
