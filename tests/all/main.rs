//! Tests of whole sessions and of each promise.

mod operators;
