//! Splits an event stream into events, so that a truncated event isn't passed on.

use bytes::{Bytes, BytesMut};

/// Delimiter at the end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field name of the line that carries the event's ID. IDs are numbers that increase
/// within a stream.
const ID_FIELD: &[u8] = b"id:";

/// Splits chunks of bytes into complete events and drops duplicates.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Creates a scanner for a stream that continues after the event `last_id`.
    pub(crate) fn new(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
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
    }

    /// Appends bytes and returns the events that they complete, without events
    /// that were returned before.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = find(&self.pending, EVENT_END) {
            let event = self.pending.split_to(end + EVENT_END.len());
            if self.accept(&event) {
                events.unsplit(event);
            }
        }
        events.freeze()
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
