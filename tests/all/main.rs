//! Tests of whole sessions and of each promise.

mod arguments;
mod operators;
mod serving;
mod shutdown;
mod support;
mod whole_path;
