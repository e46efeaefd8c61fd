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
//! * [`ConfigFreshness`] keeps the version in force and, as [`ConfigConfirmation`], how
//!   long it may be acted upon.
//! * [`UpstreamTable`] knows the upstreams and what is in flight on them.
//! * [`AttemptHistory`] decides whether a request may be sent once more.
//! * [`RetryBudget`] limits repeats over all hosts.
//! * [`Placement`] chooses the upstream, or says that none can serve in time.
//! * [`retry_after`] says when a refused caller may come back.
//! * [`PeerLoads`] knows what other hosts have in flight and have ordered.
//! * [`StoreReaderSelection`] says which hosts read the store on behalf of all.
//! * [`UsageCounts`] counts requests by workspace and window.
//! * [`WallClock`] keeps the time of day through steps of the system's clock.
//! * [`InitialFleetCounter`] counts the fleet that a deployment begins with.
//! * [`ScalePlanner`] decides how many upstreams are paid for.
//! * [`RolePlanner`] decides which engines read prompts.

mod attempts;
mod config_confirmation;
mod config_freshness;
mod configuration;
mod peer_load;
mod placement;
mod prefill_rate;
mod reachability;
mod retry_after;
mod retry_budget;
mod roles;
mod scaling;
mod store_readers;
mod upstream;
mod usage;
mod wall_clock;

pub use attempts::{AttemptHistory, NextStep, SendResult};
pub use config_confirmation::{ConfigConfirmation, StalenessLimits};
pub use config_freshness::{ConfigFreshness, PeerConfirmation, PeerConfirmationResult};
pub use configuration::{
    ClientLimits, ConfigVersion, EngineSpec, RetrySafety, Route, RouteKey, ScalingSpec, Service,
    ServiceWeight, ServingConfig, Workspace, WorkspaceIndex,
};
pub use peer_load::{HostReport, InFlightLoad, PeerLoads, UpstreamDigest};
pub use placement::{
    FleetView, Placement, PlacementLimits, PrefixBlock, PromptFacts, PromptPlan, PromptRefusal,
};
pub use prefill_rate::PrefillRate;
pub use retry_after::{RefusalCause, retry_after};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use roles::{RoleOrder, RolePlanner};
pub use scaling::{
    FleetTarget, InitialFleet, InitialFleetCounter, ScalePlanner, count_standard_upstreams,
};
pub use store_readers::{MIN_HOSTS_FOR_SHARED_READS, StoreReaderSelection, StoreStatus};
pub use upstream::{
    EngineRole, ListChange, Upstream, UpstreamId, UpstreamPhase, UpstreamRecord, UpstreamTable,
};
pub use usage::{HostCounts, SumTimeouts, UsageCounts, UsageWindow, WindowCounts, sum_window};
pub use wall_clock::WallClock;
