//! Encoding of the server-sent events of a streamed response.

use crate::OutcomeReply;
use bytes::Bytes;
use serde::Serialize;

/// The event that marks the end of a complete response.
pub const DONE_EVENT: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Encodes one event whose data is `value` as JSON.
///
/// # Errors
///
/// Returns an error if the value can't be serialized as JSON.
pub fn json_event<T: Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    let mut text = b"data: ".to_vec();
    serde_json::to_writer(&mut text, value)?;
    text.extend_from_slice(b"\n\n");
    Ok(text.into())
}

/// Encodes the last event of a stream that can't be completed.
///
/// No [`DONE_EVENT`] may follow it, so that clients don't treat the response as
/// complete.
pub fn error_event(reply: &OutcomeReply) -> Bytes {
    let text = reply.body_text();
    format!("data: {text}\n\n").into()
}
