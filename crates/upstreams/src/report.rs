//! What engines say of themselves.

use lagoonlift_types::{ModelName, UpstreamRole};
use serde::Deserialize;
use std::collections::BTreeSet;

/// An engine's load, some time after it was true.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EngineLoad {
    /// Tokens of prompts that wait to be read.
    pub prefill_backlog_tokens: u64,
    /// Streams that are generating.
    pub active_streams: u32,
    /// Share of KV memory in use, 0 to 1.
    pub kv_used: f32,
    /// The role that the engine has now.
    pub role: UpstreamRole,
    /// Models that are loaded.
    pub models: BTreeSet<ModelName>,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
}

/// Announcements of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Changes with each run of the engine; the cache is then empty.
    pub run: String,
    /// The announcements, oldest first; older ones may be missing.
    pub events: Vec<CacheEvent>,
}

/// One announcement.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each announcement of a run.
    pub sequence: u64,
    /// First 16 hexadecimal digits of the hash of the prompt's beginning.
    pub prefix: String,
    /// Whether the prefix is held now.
    pub held: bool,
}
