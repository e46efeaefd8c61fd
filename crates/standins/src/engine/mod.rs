//! A stand-in for a model engine over HTTP, with an execution log and faults.
//!
//! The completion depends on the prompt alone: token `i` of a given prompt is
//! always the same text. A test can therefore check the tokens of a response
//! that was assembled from the streams of several engines. The execution log
//! records what each engine executed.

mod cache;
mod cancellation;
mod execution;
mod faults;
mod orders;
mod server;
mod stream;
mod tokens;

pub use execution::{Execution, ExecutionEnd, ExecutionLog};
pub use faults::{EngineFault, EngineFaults};
pub use orders::{EngineChange, EngineState, Order, OrderState};
pub use server::{EngineConfig, EngineStandin};
pub use tokens::{completion_text, completion_token, prompt_tokens};
