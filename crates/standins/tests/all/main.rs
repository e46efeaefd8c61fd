//! Tests that the stand-ins implement the protocols of the real systems.

mod engine;
mod model;
mod service;
