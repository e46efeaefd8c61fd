//! The streamed response of an engine, read event by event.
//!
//! A generation may take minutes, so the timeout applies to the wait for each
//! event and not to the whole response.

use crate::error::format_with_causes;
use crate::{EventDecoder, StreamError};
use bytes::Bytes;
use reqwest::Response;
use std::time::Duration;
use tokio::time::timeout;

/// Data of the event that marks the end of a complete response.
const END_MARKER: &[u8] = b"[DONE]";

/// One event of an engine's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk of the completion, as JSON text.
    Chunk(Bytes),
    /// The response is complete.
    End,
}

/// The streamed response of an engine. Dropping it closes the connection, which
/// makes the engine free the request's slot.
#[derive(Debug)]
pub struct EngineStream {
    response: Response,
    decoder: EventDecoder,
}

impl EngineStream {
    pub(crate) fn new(response: Response) -> Self {
        Self {
            response,
            decoder: EventDecoder::new(),
        }
    }

    /// Waits up to `max_wait` for the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is interrupted, no event arrives in time,
    /// or the data isn't a valid event stream.
    pub async fn next(&mut self, max_wait: Duration) -> Result<EngineEvent, StreamError> {
        let event = timeout(max_wait, self.next_event()).await;
        event.unwrap_or(Err(StreamError::Timeout(max_wait)))
    }

    async fn next_event(&mut self) -> Result<EngineEvent, StreamError> {
        loop {
            match self.decoder.pop() {
                Some(data) if data == END_MARKER => return Ok(EngineEvent::End),
                Some(data) => return Ok(EngineEvent::Chunk(data)),
                None => self.read().await?,
            }
        }
    }

    async fn read(&mut self) -> Result<(), StreamError> {
        let bytes = self.response.chunk().await;
        match bytes.map_err(|error| StreamError::Interrupted(format_with_causes(&error)))? {
            Some(bytes) => self
                .decoder
                .push(&bytes)
                .map_err(|error| StreamError::Malformed(error.to_string())),
            None => Err(StreamError::Interrupted(
                "closed before the end marker".to_owned(),
            )),
        }
    }
}
