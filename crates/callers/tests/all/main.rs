//! Tests of the protocol spoken with callers.

mod answers;
