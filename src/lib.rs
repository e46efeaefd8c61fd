//! Serving system for a limited fleet of model engines and plain services.
//!
//! All functionality is implemented in library crates; the daemons
//! `lagoonlift-entry`, `lagoonlift-steward` and `lagoonlift-gateway` are thin
//! wrappers. This crate re-exports what an embedding program needs. Each crate's
//! documentation explains its design.
//!
//! * [`entry`]: admits, queues, routes, retries, streams and meters requests.
//! * [`steward`]: holds a data centre's lease, orders changes of its upstreams,
//!   seals usage windows and sends usage reports.
//! * [`policy`]: decision logic, without I/O.
//! * [`callers`], [`upstreams`], [`platform`], [`operators`], [`hosts`]: one crate
//!   for each kind of party that this system exchanges messages with.
//! * [`gateway`]: entry and steward in one process, for hosts on a platform with a
//!   shared store; [`adapter`] defines that platform's names and formats.
//! * [`usage`], [`settings`], [`telemetry`], [`types`]: code shared by the crates
//!   above.

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
