//! Tests of the entry daemon, with stand-ins for everything around it.

mod claims;
mod cursor;
mod fault_matrix;
mod limiter;
mod sessions;
mod support;
