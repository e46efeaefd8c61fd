//! Tests of the steward.

mod configuration;
mod lease;
mod support;
