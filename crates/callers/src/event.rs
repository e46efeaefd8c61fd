//! Server-sent events of a streamed answer.

use crate::OutcomeReply;
use bytes::Bytes;
use serde::Serialize;

/// The event that ends a whole answer.
pub const DONE_EVENT: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Writes one event that carries `value` as JSON.
///
/// # Errors
///
/// Fails when the value can't be written as JSON.
pub fn json_event<T: Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    let mut text = b"data: ".to_vec();
    serde_json::to_writer(&mut text, value)?;
    text.extend_from_slice(b"\n\n");
    Ok(text.into())
}

/// Writes the event that ends a stream which can't be finished.
///
/// No [`DONE_EVENT`] follows it, so that no client takes the answer for whole.
pub fn error_event(reply: &OutcomeReply) -> Bytes {
    let text = reply.body_text();
    format!("data: {text}\n\n").into()
}
