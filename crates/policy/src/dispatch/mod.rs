//! Decisions about single requests on a fleet that a shared store describes.
//!
//! An entry host learns routes, workspaces and upstreams from a store and
//! relays each request itself. What it may do with a request depends on four
//! things that change while requests are under way: the configuration and how
//! surely it is current, the upstreams and how busy they are, what earlier
//! attempts have proved, and how many repeats all hosts may still send. Each of
//! them is a module here, without I/O and without a clock of its own.
//!
//! * [`ServingConfig`] finds the route and the workspace of a request.
//! * [`ConfigCurrency`] keeps the version in force and, as [`ConfigProof`], how
//!   long it may be acted upon.
//! * [`UpstreamTable`] knows the upstreams and what is in flight on them.
//! * [`AttemptLedger`] decides whether a request may be sent once more.
//! * [`RepeatAllowance`] limits repeats over all hosts.
//! * [`Placement`] chooses the upstream, or says that none can serve in time.
//! * [`return_time`] says when a refused caller may come back.
//! * [`PeerLoads`] knows what other hosts have in flight and have ordered.
//! * [`StoreReaders`] says which hosts read the store on behalf of all.
//! * [`UsageLedger`] counts requests by workspace and window.
//! * [`WallClock`] keeps the time of day through steps of the system's clock.
//! * [`FleetCensus`] counts the fleet that a deployment begins with.
//! * [`SpendingPlan`] decides how many upstreams are paid for.
//! * [`RolePlan`] decides which engines read prompts.

mod allowance;
mod attempts;
mod configuration;
mod currency;
mod peer_load;
mod placement;
mod proof;
mod reachability;
mod read_rate;
mod return_time;
mod roles;
mod spending;
mod store_readers;
mod upstream;
mod usage;
mod wall_clock;

pub use allowance::{AllowanceLimits, RepeatAllowance};
pub use attempts::{AttemptLedger, NextStep, SendResult};
pub use configuration::{
    ClientLimits, ConfigVersion, EngineTraits, RepeatKind, Route, RouteKey, ScaleTraits, Service,
    ServiceWeight, ServingConfig, Workspace, WorkspaceIndex,
};
pub use currency::{ConfigCurrency, PeerProof, PeerProofResult};
pub use peer_load::{HostReport, InFlightLoad, PeerLoads, UpstreamDigest};
pub use placement::{
    FleetView, Placement, PlacementLimits, PromptFacts, PromptPart, PromptPlan, PromptRefusal,
};
pub use proof::{ConfigProof, ProofLimits};
pub use read_rate::ReadRate;
pub use return_time::{RefusalCause, return_time};
pub use roles::{RoleOrder, RolePlan};
pub use spending::{FleetCensus, FleetTarget, InitialFleet, SpendingPlan, fleet_of};
pub use store_readers::{MANY_HOSTS, StoreNews, StoreReaders};
pub use upstream::{
    EngineRole, ListChange, Upstream, UpstreamId, UpstreamPhase, UpstreamRecord, UpstreamTable,
};
pub use usage::{HostCounts, SumPatience, UsageLedger, UsageWindow, WindowCounts, sum_window};
pub use wall_clock::WallClock;
