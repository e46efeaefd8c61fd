//! Decisions of a host that relays requests to a fleet of upstreams.
//!
//! A host reads routes, workspaces and upstreams from a shared store and relays
//! each request itself. What it may do with a request depends on state that changes
//! while requests are in flight: the configuration and how recently it was
//! confirmed to be current, the upstreams and their load, the results of earlier
//! attempts, and the retry budget that all hosts share. Other decisions concern the
//! fleet as a whole and the work that hosts do for each other. The modules do no
//! I/O and read no clock of their own.
//!
//! These types decide about single requests:
//!
//! * [`ServingConfig`] finds the route and the workspace of a request.
//! * [`ConfigFreshness`] tracks the configuration version in force; its
//!   [`ConfigConfirmation`] says how long that version may be acted on.
//! * [`UpstreamTable`] tracks the upstreams and this host's requests on them.
//! * [`AttemptHistory`] decides whether a request may be retried.
//! * [`RetryBudget`] limits the retries of all hosts together.
//! * [`Placement`] chooses an upstream, or reports that none can serve in time.
//! * [`CapacityModel`] estimates how fast upstreams work.
//! * [`CrashQuarantine`] finds the prefix blocks and the requests that crash upstreams.
//! * [`StreamVersions`] knows the software versions at which streams began.
//! * [`ServedVersions`] knows the versions at which each service has served.
//! * [`retry_after`] computes when a refused caller may retry.
//! * [`choose_cuts`] chooses the responses to cut when a host holds too much for callers.
//! * [`HostRoster`] counts the hosts among which the rates that upstreams state are shared.
//! * [`HostQuotas`] decides whether a request is within the quota of its workspace.
//! * [`PeerLoads`] tracks the in-flight load and the role changes of other hosts.
//!
//! These types decide about the fleet and the work of the hosts:
//!
//! * [`EraTracker`] tracks restores of the store from a copy.
//! * [`StoreBackoff`] decides when to call a store again that didn't respond.
//! * [`ListWalk`] decides from where the next page of a list is read.
//! * [`StoreReaderSelection`] selects the hosts that read the store for all.
//! * [`UsageCounts`] counts requests by workspace and usage window.
//! * [`SealedSums`] decides which sum of a usage window may be reported.
//! * [`UsageCopies`] keeps the counts of hosts that can't publish them.
//! * [`WallClock`] provides the time of day, unaffected by steps of the system
//!   clock.
//! * [`InitialFleetCounter`] counts the upstreams that a deployment starts with.
//! * [`ScalePlanner`] decides how many upstreams to pay for.
//! * [`StandingFleet`] decides how many standard upstreams a measured demand leaves
//!   dispensable.
//! * [`SpotReplacement`] decides how many standard upstreams stand in for lost reclaimable
//!   ones.
//! * [`DecodeWorkEstimate`] estimates how many decode engines the work calls for.
//! * [`RolePlanner`] decides which engines are prefill engines.

mod attempts;
mod capacity;
mod config_confirmation;
mod config_freshness;
mod configuration;
mod crash_quarantine;
mod decode_time;
mod decode_work;
mod demand;
mod fleet_view;
mod held_bytes;
mod host_paths;
mod host_roster;
mod list_walk;
mod open_breaks;
mod peer_load;
mod placement;
mod plain_name;
mod prefill_rate;
mod prompt;
mod quota;
mod reachability;
mod remote_share;
mod retry_after;
mod retry_budget;
mod roles;
mod route_pattern;
mod scaling;
mod sealed_sums;
mod served_versions;
mod shared_hash;
mod spot_replacement;
mod standing_fleet;
mod stop_admission;
mod store_backoff;
mod store_era;
mod store_readers;
mod stream_archive;
mod stream_lifetime;
mod stream_versions;
mod upstream;
mod usage;
mod usage_copies;
mod version_record;
mod wall_clock;

pub use attempts::{AttemptHistory, NextStep, NotRunProof, SendResult};
pub use capacity::{CapacityModel, WorkSample};
pub use config_confirmation::{ConfigConfirmation, StalenessLimits};
pub use config_freshness::{ConfigFreshness, PeerConfirmation, PeerConfirmationResult};
pub use configuration::{
    ClientLimits, ConfigVersion, EngineSpec, RetrySafety, Route, RouteIndex, ScalingSpec, Service,
    ServiceWeight, ServingConfig, Workspace, WorkspaceIndex,
};
pub use crash_quarantine::{
    BlameDetails, BlameNews, CrashId, CrashQuarantine, ProbeHistory, QuarantineScope,
    QuarantineSource, QuarantinedSuspect, RequestContent, RestoredQuarantine, ServiceVersion,
    SuspectAtService, SuspectKey, SuspectKind, UNKNOWN_SERVICE,
};
pub use decode_time::DecodeTime;
pub use decode_work::{DecodeWork, DecodeWorkEstimate, RoleLoads, ServiceDigest};
pub use demand::{PeakWindow, count_in_flight, count_occupied};
pub use fleet_view::{FleetView, RequiredVersion};
pub use held_bytes::{
    CutRule, HeldCut, HeldKey, HeldLimits, HeldResponse, ReadProgress, STALL_TIME, choose_cuts,
};
pub use host_paths::{HostPaths, PathNotice, PathSign};
pub use host_roster::{HOST_TTL, HostPosition, HostRoster};
pub use list_walk::{ListStep, ListWalk};
pub use open_breaks::{BreakFacts, BreakVerdict, OpenBreak, OpenBreaks};
pub use peer_load::{HostReport, InFlightLoad, PeerLoads, UpstreamDigest};
pub use placement::{DecodeChoice, Placement, PlacementLimits, PrefilledRequest};
pub use plain_name::is_plain_name;
pub use prefill_rate::PrefillRate;
pub use prompt::{PrefixBlock, PromptFacts, PromptPlan, PromptRefusal};
pub use quota::{
    AskId, BucketDenial, HostQuotas, OutgoingQuotaMessage, QuotaBucket, QuotaCharge, QuotaDecision,
    QuotaGrant, QuotaKey, QuotaLimits, QuotaMessage, QuotaRefusal, QuotaRoster, QuotaUnit,
    WorkspaceQuota,
};
pub use reachability::{ContactEffect, ContactResult};
pub use remote_share::{RemoteFacts, RemoteShare, RemoteShareChange, SiteLoad};
pub use retry_after::{RefusalCause, retry_after};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use roles::{RoleOrder, RolePlanner};
pub use route_pattern::RoutePattern;
pub use scaling::{
    FleetTarget, InitialFleet, InitialFleetCounter, ScalePlanner, count_standard_upstreams,
};
pub use sealed_sums::{SealedSums, SumSource};
pub use served_versions::{NoticedVersion, RecordRevision, ServedVersions, VersionsNotice};
pub use spot_replacement::{
    ListedFleet, ListedFleets, ReplacementFacts, ReplacementSummary, SpotReplacement,
    count_listed_fleets,
};
pub use standing_fleet::{OccupiedUpstreams, StandingFleet};
pub use stop_admission::{LateRequest, StopAdmission};
pub use store_backoff::{ProbeRole, StoreBackoff, StorePermit};
pub use store_era::{EraChange, EraTracker, StoreEra};
pub use store_readers::{MIN_HOSTS_FOR_SHARED_READS, ShownList, StoreReaderSelection, StoreStatus};
pub use stream_archive::{BatchWrite, StreamArchive, StreamBatch, archivists};
pub use stream_lifetime::StreamLifetime;
pub use stream_versions::{StreamKey, StreamNotice, StreamVersions, VersionDigest};
pub use upstream::{
    EngineRole, ListChange, RateChange, RateNotice, RateSharing, RateStatement, SoftwareVersion,
    Upstream, UpstreamId, UpstreamPhase, UpstreamRecord, UpstreamTable,
};
pub use usage::{
    CountsByWindow, HostCounts, PublishedCounts, SumTimeouts, UsageCounts, UsageWindow,
    WindowCounts, sum_window,
};
pub use usage_copies::{UsageCopies, UsageCopy};
pub use version_record::{RecordedRoute, RecordedRoutes, RecordedVersion, VersionRecord};
pub use wall_clock::WallClock;
