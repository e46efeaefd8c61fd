//! Tests of the steward.

mod configuration;
mod lease;
mod orders;
mod support;
