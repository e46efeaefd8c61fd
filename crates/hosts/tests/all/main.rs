//! Tests of the protocol between the system's own processes.

mod nodes;
mod support;
