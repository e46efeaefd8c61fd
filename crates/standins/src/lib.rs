//! Small stand-ins for outside systems, with switchable faults.
//!
//! A promise about a failure is only worth the test that brings the failure
//! about. The stand-ins speak the outside systems' protocols and fail on
//! command; they are used by the tests, the demo and the experiments only.

pub mod engine;
pub mod model;
pub mod platform;
pub mod sample;
mod server;
pub mod service;
