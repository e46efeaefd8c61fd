//! Parses requests of the chat completions protocol.
//!
//! Only the fields that routing and limits need are read. Everything else is
//! forwarded to the engine unchecked and unchanged.

use crate::ChatRequest;
use serde_json::Value;
use thiserror::Error;

/// Average number of characters per token in English or Spanish text.
const CHARS_PER_TOKEN: u64 = 4;

/// Number of tokens of the markers around each message.
const TOKENS_PER_MESSAGE: u64 = 4;

/// Maximum number of output tokens that limits assume if the caller sets none.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 2_000;

/// Upper bound on the caller's maximum number of output tokens, as far as limits
/// are concerned.
const MAX_OUTPUT_TOKENS_CAP: u64 = 1_000_000;

/// A request body that isn't valid in the chat completions protocol.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The body is not UTF-8.
    #[error("the body is not UTF-8: invalid byte at {position}")]
    Utf8 {
        /// Offset of the first invalid byte.
        position: usize,
    },
    /// The body is not JSON, or a field is missing or of the wrong type.
    #[error("the body can't be read: {0}")]
    Json(String),
    /// A field has an invalid or unsupported value.
    #[error("{0}")]
    Value(&'static str),
}

/// Parses the body of `POST /v1/chat/completions`.
///
/// # Errors
///
/// Returns an error if the body isn't a valid request of the protocol.
pub fn parse_chat_request(body: &[u8]) -> Result<ChatRequest, ParseError> {
    let text = std::str::from_utf8(body).map_err(|error| ParseError::Utf8 {
        position: error.valid_up_to(),
    })?;
    let mut request: ChatRequest =
        serde_json::from_str(text).map_err(|error| ParseError::Json(error.to_string()))?;
    if request.messages.is_empty() {
        return Err(ParseError::Value("`messages` must not be empty"));
    }
    if request.extra.get("n").is_some_and(|n| !is_one_choice(n)) {
        return Err(ParseError::Value("`n` must be 1"));
    }
    // Only this system may resume a response, because only it knows which tokens
    // were delivered.
    request.resume_from = None;
    Ok(request)
}

/// Estimates the number of prompt tokens from the length of the messages' text.
pub fn estimate_prompt_tokens(request: &ChatRequest) -> u64 {
    let message_tokens = |content: &Option<Value>| {
        let chars = content.as_ref().map_or(0, count_text_chars);
        TOKENS_PER_MESSAGE + chars.div_ceil(CHARS_PER_TOKEN)
    };
    request
        .messages
        .iter()
        .map(|message| message_tokens(&message.content))
        .sum()
}

/// Returns the maximum number of tokens that the response may have.
pub fn max_output_tokens(request: &ChatRequest) -> u64 {
    request
        .max_completion_tokens
        .or(request.max_tokens)
        .unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS)
        .min(MAX_OUTPUT_TOKENS_CAP)
}

/// Returns whether the caller requests a streamed response.
pub fn wants_stream(request: &ChatRequest) -> bool {
    request.stream.unwrap_or(false)
}

/// Returns whether the caller requests a final chunk with the usage.
pub fn wants_usage(request: &ChatRequest) -> bool {
    request
        .stream_options
        .as_ref()
        .is_some_and(|options| options.include_usage)
}

fn is_one_choice(n: &Value) -> bool {
    n.is_null() || n.as_u64() == Some(1)
}

fn count_text_chars(content: &Value) -> u64 {
    match content {
        Value::String(text) => text.chars().count() as u64,
        Value::Array(parts) => parts.iter().map(count_text_chars).sum(),
        Value::Object(part) => part.get("text").map_or(0, count_text_chars),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}
