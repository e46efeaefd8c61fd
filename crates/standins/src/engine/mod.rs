//! A model engine behind HTTP, with an execution log and switchable faults.
//!
//! The engine's answer is a function of the prompt alone: token `i` of a given
//! prompt is always the same text. A test can therefore say which tokens an
//! answer must have, however many engines it was pieced together from, and the
//! execution log says what really ran.

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
