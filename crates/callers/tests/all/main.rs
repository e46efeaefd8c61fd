//! Tests of the protocol between callers and this system.

mod answers;
