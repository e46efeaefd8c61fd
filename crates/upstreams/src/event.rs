//! Decoding of server-sent events, as engines write them.

use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use thiserror::Error;

/// Largest event, in bytes; a stream that exceeds it is given up.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event larger than is read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Cuts a byte stream into the data of its events, wherever it was split.
#[derive(Debug, Default)]
pub struct EventDecoder {
    line: BytesMut,
    data: BytesMut,
    events: VecDeque<Bytes>,
}

impl EventDecoder {
    /// Creates a decoder at the beginning of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Fails when an event is too large.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), EventTooLarge> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            bytes.advance(end + 1);
            let line = self.line.split();
            self.take_line(line.strip_suffix(b"\r").unwrap_or(&line));
        }
        self.line.extend_from_slice(bytes);
        match self.line.len() + self.data.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLarge),
            false => Ok(()),
        }
    }

    /// Returns the data of the next whole event.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.events.pop_front()
    }

    fn take_line(&mut self, line: &[u8]) {
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
            // Comments and fields that engines don't use.
            None => {}
        }
    }
}
