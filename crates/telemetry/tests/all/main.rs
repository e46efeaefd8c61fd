//! Tests of logging under load.

mod logs;
mod sampler;
