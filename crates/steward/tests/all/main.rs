//! Tests of the steward.

mod configuration;
mod lease;
mod orders;
mod purchases;
mod sealing;
mod support;
