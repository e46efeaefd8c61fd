//! Tests of the steward.

mod configuration;
mod fleet;
mod lease;
mod order_machine;
mod orders;
mod planner;
mod purchases;
mod schedules;
mod sealing;
mod support;
