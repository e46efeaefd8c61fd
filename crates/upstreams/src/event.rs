//! Incremental decoder of server-sent events.
//!
//! It supports the subset that engines send: `data` fields and comments.

use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use thiserror::Error;

/// Maximum size of one event, in bytes; a larger event fails the stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds the maximum size of 1 MiB.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Extracts the data of events from a byte stream that arrives in pieces, which
/// may be split at any byte.
#[derive(Debug, Default)]
pub struct EventDecoder {
    line: BytesMut,
    data: BytesMut,
    events: VecDeque<Bytes>,
}

impl EventDecoder {
    /// Creates a decoder for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes the next bytes of the stream and queues the events that they
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event exceeds the maximum size.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), EventTooLarge> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            bytes.advance(end + 1);
            let line = self.line.split();
            self.decode_line(line.strip_suffix(b"\r").unwrap_or(&line));
        }
        self.line.extend_from_slice(bytes);
        match self.line.len() + self.data.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLarge),
            false => Ok(()),
        }
    }

    /// Removes the oldest complete event from the queue and returns its data, or
    /// `None` if no event is complete.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.events.pop_front()
    }

    fn decode_line(&mut self, line: &[u8]) {
        match line.strip_prefix(b"data:") {
            Some(text) => {
                if !self.data.is_empty() {
                    self.data.extend_from_slice(b"\n");
                }
                let text = text.strip_prefix(b" ").unwrap_or(text);
                self.data.extend_from_slice(text);
            }
            None if line.is_empty() && !self.data.is_empty() => {
                self.events.push_back(self.data.split().freeze());
            }
            // Comments, and fields that engines don't use.
            None => {}
        }
    }
}
