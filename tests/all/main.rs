//! Tests of whole sessions and of each promise.

mod arguments;
mod configuration;
mod docs;
mod fault_matrix;
mod idempotency;
mod lease;
mod limits;
mod log_story;
mod membership;
mod operators;
mod orders;
mod peer_authentication;
mod purchases;
mod sealing;
mod serving;
mod shutdown;
mod support;
mod usage;
mod whole_path;
