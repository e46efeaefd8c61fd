//! Events that report which prefixes the engine's prefix cache holds.

use lagoonlift_types::RequestId;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// Number of leading bytes of a prompt that its prefix hash covers.
const PREFIX_BYTES: usize = 1024;
/// Number of events retained. A client that asks for older events can detect the
/// gap from the sequence numbers.
const RETAINED_EVENTS: usize = 1024;

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEvent {
    /// Sequence number, which increases by one with each event of this engine run.
    sequence: u64,
    /// First 16 hexadecimal digits of the BLAKE3 hash of the prompt's first KiB.
    prefix: String,
    /// Whether the cache holds the prefix after this event.
    held: bool,
}

/// Query parameters of a request for cache events.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct EventsQuery {
    /// The last sequence number that the client has received.
    #[serde(default)]
    after: u64,
}

/// Response to a request for cache events.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EventsReply {
    /// Identifies the engine run. A new run starts with an empty cache.
    run: RequestId,
    events: Vec<CacheEvent>,
}

/// The cache events of one engine. Clones share them.
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
    /// Records that the cache now holds the prefix of `prompt`.
    pub(crate) fn record_cached(&self, prompt: &str) {
        let bytes = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let prefix = blake3::hash(bytes).to_hex()[..16].to_owned();
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = events.last().map_or(0, |event| event.sequence) + 1;
        events.push(CacheEvent {
            sequence,
            prefix,
            held: true,
        });
        if events.len() > RETAINED_EVENTS {
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
