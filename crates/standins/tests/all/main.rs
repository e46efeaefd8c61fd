//! The stand-ins keep to the protocols that they stand in for.

mod engine;
mod model;
mod service;
