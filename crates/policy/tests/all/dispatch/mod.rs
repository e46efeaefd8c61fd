//! Decisions about single requests, each test named for the load or trouble
//! that it answers.

mod attempts;
mod peer_loads;
mod placement;
mod proof;
mod reachability;
mod return_times;
mod roles;
mod schedules;
mod spending;
mod store_readers;
mod support;
mod upstreams;
mod usage;
