//! Reports that engines return as JSON.

use lagoonlift_types::{ModelName, UpstreamRole};
use serde::Deserialize;
use std::collections::BTreeSet;

/// The load of an engine, `age_ms` before the report was sent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EngineLoad {
    /// Prompt tokens that wait for prefill.
    pub prefill_backlog_tokens: u64,
    /// Number of streams for which the engine is generating tokens.
    pub active_streams: u32,
    /// Share of the KV cache that is in use, from 0 to 1.
    pub kv_used: f32,
    /// Current role of the engine.
    pub role: UpstreamRole,
    /// Models that the engine has loaded.
    pub models: BTreeSet<ModelName>,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age_ms: u64,
}

/// Recent changes of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Identifier of the engine's run. It changes when the engine restarts,
    /// after which the cache is empty.
    pub run: String,
    /// The events, oldest first. The engine keeps a limited number, so the
    /// oldest requested ones may be missing.
    pub events: Vec<CacheEvent>,
}

/// A prefix block that entered or left an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, which increases by one with each event of a run.
    pub sequence: u64,
    /// First 16 hexadecimal digits of the hash of the prefix block.
    pub prefix: String,
    /// Whether the cache now contains the prefix block.
    pub held: bool,
}
