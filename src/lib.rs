//! Serving system for a limited fleet of model engines and plain services.
//!
//! Everything that runs between callers and upstreams is a library; the daemons
//! `lagoonlift-entry` and `lagoonlift-steward` are thin. This crate gathers what
//! an embedding program needs; each part's own page says why it is as it is.
//!
//! * [`entry`]: admits, queues, routes, retries, streams and meters.
//! * [`steward`]: holds a data centre's lease, orders, seals and reports.
//! * [`policy`]: the decisions, without I/O.
//! * [`callers`], [`upstreams`], [`platform`], [`operators`], [`hosts`]: one
//!   package for each peer.
//! * [`gateway`]: entry and steward in one process, for hosts on the users'
//!   platform; [`adapter`] knows that platform's names.
//! * [`usage`], [`settings`], [`telemetry`], [`types`]: what they share.

pub use lagoonlift_adapter as adapter;
pub use lagoonlift_callers as callers;
pub use lagoonlift_entry as entry;
pub use lagoonlift_gateway as gateway;
pub use lagoonlift_hosts as hosts;
pub use lagoonlift_operators as operators;
pub use lagoonlift_platform as platform;
pub use lagoonlift_policy as policy;
pub use lagoonlift_settings as settings;
pub use lagoonlift_steward as steward;
pub use lagoonlift_telemetry as telemetry;
pub use lagoonlift_types as types;
pub use lagoonlift_upstreams as upstreams;
pub use lagoonlift_usage as usage;

pub mod daemon;
mod request_history;

pub use request_history::RequestHistory;
