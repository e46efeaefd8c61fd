//! The protocol spoken with callers.
//!
//! Callers use ordinary client libraries for chat completions, so the protocol
//! is theirs, not ours: bodies follow `schema/chat-completions.json`, from
//! which the types in `generated.rs` are made (`cargo typify -B -o
//! src/generated.rs schema/chat-completions.json`, then `cargo fmt`). Fields
//! that the schema doesn't list are kept and handed on. What the system adds is
//! small: a few headers and the closed set of outcomes.

#[allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    reason = "generated; the schema describes the fields"
)]
mod generated;

mod accumulate;
mod event;
mod headers;
mod reply;
mod request;

pub use accumulate::CompletionBuilder;
pub use event::{DONE_EVENT, error_event, json_event};
pub use generated::{
    ChatChoice, ChatChunk, ChatCompletion, ChatMessage, ChatRequest, ChatUsage, ChunkChoice,
    ChunkDelta, ErrorBody, ErrorDetail, ModelCard, ModelList, StreamOptions,
};
pub use headers::{
    CLASS_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, SHOULD_RETRY_HEADER,
};
pub use reply::{OutcomeReply, outcome_status};
pub use request::{
    ParseError, estimate_prompt_tokens, max_output_tokens, parse_chat_request, wants_stream,
    wants_usage,
};
