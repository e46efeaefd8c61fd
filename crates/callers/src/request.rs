//! Reading a call of the chat-completions protocol.
//!
//! Only what routing and limits need is looked at; the rest is the engine's
//! business and is handed on as it came.

use crate::ChatRequest;
use serde_json::Value;
use thiserror::Error;

/// Characters of English or Spanish text that make up one token, on average.
const CHARS_PER_TOKEN: u64 = 4;

/// Tokens that the markers around one message take.
const TOKENS_PER_MESSAGE: u64 = 4;

/// Output tokens assumed for limits when the caller gives no maximum.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 2_000;

/// Most output tokens that are counted on, whatever the caller asks for.
const LARGEST_MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// A body that is no call of the protocol.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The body is not UTF-8.
    #[error("the body is not UTF-8: invalid byte at {position}")]
    Utf8 {
        /// Position of the first invalid byte.
        position: usize,
    },
    /// The body is not JSON, or a field is missing or of the wrong type.
    #[error("the body can't be read: {0}")]
    Json(String),
    /// A field's value makes no sense.
    #[error("{0}")]
    Value(&'static str),
}

/// Reads the body of `POST /v1/chat/completions`.
///
/// # Errors
///
/// Fails when the body is no call of the protocol.
pub fn parse_chat_request(body: &[u8]) -> Result<ChatRequest, ParseError> {
    let text = std::str::from_utf8(body).map_err(|error| ParseError::Utf8 {
        position: error.valid_up_to(),
    })?;
    let mut request: ChatRequest =
        serde_json::from_str(text).map_err(|error| ParseError::Json(error.to_string()))?;
    if request.messages.is_empty() {
        return Err(ParseError::Value("`messages` must not be empty"));
    }
    if request.extra.get("n").is_some_and(|n| !is_one_answer(n)) {
        return Err(ParseError::Value("`n` must be 1"));
    }
    // Only the system itself may resume: it alone knows what was delivered.
    request.resume_from = None;
    Ok(request)
}

/// Estimates the tokens of the prompt.
pub fn estimate_prompt_tokens(request: &ChatRequest) -> u64 {
    let message_tokens = |content: &Option<Value>| {
        let chars = content.as_ref().map_or(0, text_chars);
        TOKENS_PER_MESSAGE + chars.div_ceil(CHARS_PER_TOKEN)
    };
    request
        .messages
        .iter()
        .map(|message| message_tokens(&message.content))
        .sum()
}

/// Returns the most tokens that the answer may have.
pub fn max_output_tokens(request: &ChatRequest) -> u64 {
    request
        .max_completion_tokens
        .or(request.max_tokens)
        .unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS)
        .min(LARGEST_MAX_OUTPUT_TOKENS)
}

/// Returns whether the caller wants the answer token by token.
pub fn wants_stream(request: &ChatRequest) -> bool {
    request.stream.unwrap_or(false)
}

/// Returns whether the caller wants a last chunk that tells the usage.
pub fn wants_usage(request: &ChatRequest) -> bool {
    request
        .stream_options
        .as_ref()
        .is_some_and(|options| options.include_usage)
}

fn is_one_answer(n: &Value) -> bool {
    n.is_null() || n.as_u64() == Some(1)
}

fn text_chars(content: &Value) -> u64 {
    match content {
        Value::String(text) => text.chars().count() as u64,
        Value::Array(parts) => parts.iter().map(text_chars).sum(),
        Value::Object(part) => part.get("text").map_or(0, text_chars),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}
