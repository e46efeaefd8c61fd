//! Tests of the protocol between the system's own processes.

mod datagrams;
mod demands;
mod extremes;
mod fleets;
mod memberships;
mod nodes;
mod stores;
mod streams;
mod support;
