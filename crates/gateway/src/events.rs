//! Splits an event stream into events, so that a truncated event isn't passed on.

use bytes::Bytes;
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

/// Capacity up to which the buffer of an incomplete event counts as one of the buffers that each
/// connection has.
const BUFFER_BYTES: usize = 16 * 1024;

/// Splits chunks of bytes into complete events and drops duplicates.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    pending: Vec<u8>,
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

    /// Returns the memory that an incomplete event takes beyond the usual buffer.
    pub(crate) fn held_bytes(&self) -> usize {
        match self.pending.capacity() {
            0..=BUFFER_BYTES => 0,
            capacity => capacity,
        }
    }

    /// Discards the incomplete event at the end, and its memory.
    pub(crate) fn drop_partial(&mut self) {
        self.pending = Vec::new();
        self.searched = 0;
    }

    /// Appends bytes and returns the events that they complete, without events
    /// that were returned before. Fails if the next event is too long; the events
    /// before it are returned first.
    ///
    /// The events are copied, so that what is held for a slow caller takes no more memory than
    /// its bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = self.next_end(start) {
            let event = &self.pending[start..end];
            if accept(&mut self.last_id, event) {
                events.extend_from_slice(event);
            }
            start = end;
        }
        self.remove(start);
        match events.is_empty() && self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(Bytes::from(events.into_boxed_slice())),
        }
    }

    /// Returns the end of the event that starts at `start`, if it is complete and not too long.
    fn next_end(&mut self, start: usize) -> Option<usize> {
        let unsearched = &self.pending[self.searched..];
        match find(unsearched, EVENT_END).map(|at| self.searched + at + EVENT_END.len()) {
            Some(end) if end - start <= MAX_EVENT_BYTES => {
                self.searched = end;
                Some(end)
            }
            Some(_) => None,
            None => {
                let overlap = EVENT_END.len() - 1;
                let searched = self.pending.len().saturating_sub(overlap);
                self.searched = searched.max(start);
                None
            }
        }
    }

    /// Removes the events up to `end`, and the memory that a long one needed.
    fn remove(&mut self, end: usize) {
        self.pending.drain(..end);
        self.searched -= end;
        if end > 0 && self.pending.capacity() > BUFFER_BYTES {
            self.pending.shrink_to(BUFFER_BYTES);
        }
    }
}

/// Returns whether an event wasn't returned before, and records its ID.
fn accept(last_id: &mut Option<u64>, event: &[u8]) -> bool {
    let id = event_id(event);
    let is_known = matches!((id, *last_id), (Some(id), Some(last)) if id <= last);
    if !is_known {
        *last_id = id.or(*last_id);
    }
    !is_known
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
