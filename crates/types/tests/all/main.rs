//! Tests of the shared types.

mod manifest;
