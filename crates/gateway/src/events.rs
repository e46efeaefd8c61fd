//! Splits a stream into events, so that one cut in the middle isn't passed on.

use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Start of the line that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Takes bytes in any pieces and gives whole events out.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Creates a scanner of a stream that goes on after the event `last_id`.
    pub(crate) fn new(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the number of the last event given out.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an event has begun and not ended.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the event that has begun.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes in bytes and returns the events that are whole by them, without
    /// those that were given out before.
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
