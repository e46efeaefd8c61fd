//! Integration tests of the project's guarantees and of complete sessions, mostly
//! with the daemons as separate processes.

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
