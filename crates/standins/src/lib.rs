//! Stand-ins for external systems, with faults that tests can inject.
//!
//! Behaviour under failure can only be tested if the failure can be produced on
//! demand. The stand-ins implement the protocols of the platform, the engines
//! and the plain services, and inject the faults that a test asks for. Only the
//! tests, the demo and the experiments use them.

pub mod engine;
pub mod model;
pub mod platform;
pub mod sample;
mod server;
pub mod service;
