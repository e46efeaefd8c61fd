//! Tests of the steward.

mod configuration;
mod fleet;
mod journal;
mod lease;
mod orders;
mod purchases;
mod schedules;
mod sealing;
mod support;
