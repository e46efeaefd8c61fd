//! The engine's announcements of what its prefix cache holds.

use lagoonlift_types::RequestId;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes of a prompt that its prefix hash covers.
const PREFIX_BYTES: usize = 1024;
/// Events that are kept; a reader that asks for older ones sees a gap.
const KEPT_EVENTS: usize = 1024;

/// One announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEvent {
    /// Rises by one with each event of this engine's run.
    sequence: u64,
    /// First 16 hexadecimal digits of the BLAKE3 hash of the prompt's first KiB.
    prefix: String,
    /// Whether the prefix is held now.
    held: bool,
}

/// Which events a reader wants.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct EventsQuery {
    /// The last sequence that it has seen.
    #[serde(default)]
    after: u64,
}

/// What a reader gets.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EventsReply {
    /// Changes with each run of the engine; the cache is then empty.
    run: RequestId,
    events: Vec<CacheEvent>,
}

/// The events of one engine. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct CacheEvents {
    run: RequestId,
    events: Arc<Mutex<Vec<CacheEvent>>>,
}

impl Default for CacheEvents {
    fn default() -> Self {
        Self {
            run: RequestId::new(),
            events: Arc::default(),
        }
    }
}

impl CacheEvents {
    /// Announces that the beginning of `prompt` is held now.
    pub(crate) fn announce(&self, prompt: &str) {
        let bytes = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let prefix = blake3::hash(bytes).to_hex()[..16].to_owned();
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = events.last().map_or(0, |event| event.sequence) + 1;
        events.push(CacheEvent {
            sequence,
            prefix,
            held: true,
        });
        if events.len() > KEPT_EVENTS {
            events.remove(0);
        }
    }

    pub(crate) fn after(&self, query: EventsQuery) -> EventsReply {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        EventsReply {
            run: self.run,
            events: events
                .iter()
                .filter(|event| event.sequence > query.after)
                .cloned()
                .collect(),
        }
    }
}
