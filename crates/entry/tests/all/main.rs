//! Tests of the entry daemon, with stand-ins for everything around it.

mod bad_input;
mod changes;
mod claims;
mod cursor;
mod fault_matrix;
mod health;
mod limiter;
mod outcomes;
mod sessions;
mod support;
