//! Tests of the entry daemon, with stand-ins for everything around it.

mod cursor;
mod sessions;
mod support;
