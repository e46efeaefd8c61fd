//! Tests of the protocol between the system's own processes.

mod datagrams;
mod nodes;
mod stores;
mod support;
