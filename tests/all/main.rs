//! Tests of whole sessions and of each promise.

mod arguments;
mod configuration;
mod membership;
mod operators;
mod peer_authentication;
mod serving;
mod shutdown;
mod support;
mod usage;
mod whole_path;
