//! Tests of the decisions about single requests. Each test is named after the load
//! or the fault that it covers.

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
