//! Usage records: their second copies and the windows in which they are billed.
//!
//! Every request is billed exactly once, although its process may be killed,
//! paused or partitioned at any moment. A record is copied to a second host
//! before the caller receives the last byte of the response. Each incarnation
//! closes its windows in order, as objects that are created only if absent.
//! Either the process or a peer that holds its copies may close a window, and the
//! first of them determines permanently which records the window covers.

mod chain;
mod closer;
mod counters;
mod peers;
mod recorder;
mod window;

pub use chain::{BrokenChain, WindowChain};
pub use counters::{UsageCounter, UsageCounters};
pub use recorder::{FlushError, UsageRecorder};
pub use window::{UsageLine, UsageWindow, window_key, windows_prefix};
