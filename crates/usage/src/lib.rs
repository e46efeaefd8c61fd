//! Usage records: second copies and windows.
//!
//! Every request is billed exactly once, though its process may be killed,
//! paused or cut off at any moment. A record gets its second copy on another
//! host before the caller gets the last byte. Each incarnation closes its
//! windows one after the other as objects that are created only if absent, so
//! that whoever comes first, the process or a neighbour that holds its copies,
//! settles once and for all which records a window covers.

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
