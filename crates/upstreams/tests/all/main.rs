//! Tests of the clients of upstreams.

mod decoder;
