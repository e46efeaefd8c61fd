//! Tests of the upstream clients.

mod decoder;
mod endless;
