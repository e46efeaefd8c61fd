//! Log lines under load.

mod logs;
mod sampler;
