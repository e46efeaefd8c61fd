//! Decision logic for admission, placement, engine roles and purchases.
//!
//! Decisions that can be replayed can be explained, tested and compared. This
//! package is therefore deterministic: it does no I/O, reads no clock and
//! spawns no tasks. Its input is typed events with a timestamp, its output is
//! typed actions, and the same events in the same order always produce the
//! same actions. The daemons and the simulation harness all call it.
//!
//! An entry process receives callers' requests and sends them to upstreams. A
//! steward is the process that controls the upstreams of a data centre. A gateway
//! does the work of both in one process, on a platform whose shared store lists
//! the upstreams.
//!
//! * [`EntryPolicy`] runs in every entry process and handles admission,
//!   queueing, placement and load shedding.
//! * [`FleetPolicy`] runs in every steward and plans roles, models and
//!   purchases.
//! * [`dispatch`] runs in every gateway. It dispatches individual requests to the
//!   upstreams that the shared store lists, and plans their number and roles.

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
    AttemptEnd, EntryAction, EntryEvent, LoadReport, PrefixHash, QueuedDemand, RequestFacts,
    Target, UpstreamFacts, UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
pub use fleet::FleetPolicy;
pub use fleet_event::{DemandReport, EngineFacts, EngineState, FleetAction, FleetEvent, OrderEnd};
pub use fleet_limits::{FleetLimits, FleetWeighting};
pub use forecast::{EngineRates, PhaseWork};
pub use time::Timestamp;
