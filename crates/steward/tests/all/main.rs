//! Tests of the steward.

mod configuration;
mod support;
