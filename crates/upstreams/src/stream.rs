//! An engine's answer, event by event, with a limit on each wait.

use crate::error::error_text;
use crate::{EventDecoder, StreamError};
use bytes::Bytes;
use reqwest::Response;
use std::time::Duration;
use tokio::time::timeout;

/// Data of the event that ends a whole answer.
const END_MARKER: &[u8] = b"[DONE]";

/// One event of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk, as JSON text.
    Chunk(Bytes),
    /// The answer is whole.
    End,
}

/// An engine's answer. Dropping it closes the connection, which frees the
/// engine's slot.
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

    /// Waits for the next event, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks, stays silent or is no event stream.
    pub async fn next(&mut self, limit: Duration) -> Result<EngineEvent, StreamError> {
        let event = timeout(limit, self.next_event()).await;
        event.unwrap_or(Err(StreamError::Timeout(limit)))
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
        match bytes.map_err(|error| StreamError::Interrupted(error_text(&error)))? {
            Some(bytes) => self
                .decoder
                .push(&bytes)
                .map_err(|error| StreamError::Malformed(error.to_string())),
            None => Err(StreamError::Interrupted("closed before the end".to_owned())),
        }
    }
}
