//! Splits an event stream into events, so that a truncated event isn't passed on.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Delimiter at the end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Largest event in bytes, with its delimiter.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Field name of the line that carries the event's ID. IDs are numbers that increase
/// within a stream.
const ID_FIELD: &[u8] = b"id:";

/// An event is longer than `MAX_EVENT_BYTES`.
#[derive(Debug, Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub(crate) struct EventTooLong;

/// Splits chunks of bytes into complete events and drops duplicates.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    pending: BytesMut,
    /// Number of bytes at the start of `pending` in which no delimiter starts.
    searched: usize,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Creates a scanner for a stream that continues after the event `last_id`.
    pub(crate) fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the ID of the last event that was returned.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the bytes so far end within an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the incomplete event at the end.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Appends bytes and returns the events that they complete, without events
    /// that were returned before. Fails if the next event is too long; the events
    /// before it are returned first.
    ///
    /// The events are copied, so that what is held for a slow caller takes no more memory than
    /// its bytes: a part of `pending` would keep the whole buffer, which isn't counted.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(event) = self.next_event() {
            if self.accept(&event) {
                events.extend_from_slice(&event);
            }
        }
        match events.is_empty() && self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(Bytes::from(events.into_boxed_slice())),
        }
    }

    /// Removes the next complete event. One that is too long isn't returned.
    fn next_event(&mut self) -> Option<BytesMut> {
        let unsearched = &self.pending[self.searched..];
        match find(unsearched, EVENT_END).map(|start| self.searched + start + EVENT_END.len()) {
            Some(end) if end <= MAX_EVENT_BYTES => {
                self.searched = 0;
                Some(self.pending.split_to(end))
            }
            Some(_) => None,
            None => {
                let overlap = EVENT_END.len() - 1;
                self.searched = self.pending.len().saturating_sub(overlap);
                None
            }
        }
    }

    fn accept(&mut self, event: &[u8]) -> bool {
        let id = event_id(event);
        let is_known = matches!((id, self.last_id), (Some(id), Some(last)) if id <= last);
        if !is_known {
            self.last_id = id.or(self.last_id);
        }
        !is_known
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
