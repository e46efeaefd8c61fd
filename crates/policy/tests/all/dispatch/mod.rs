//! Decisions about single requests, each test named for the load or trouble
//! that it answers.

mod attempts;
mod config_confirmation;
mod peer_loads;
mod placement;
mod reachability;
mod retry_after;
mod roles;
mod scaling;
mod schedules;
mod store_readers;
mod support;
mod upstreams;
mod usage;
