//! The numbers that the entry policy weighs with.

use std::time::Duration;

/// Bounds and estimates of one entry process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryLimits {
    /// Prompt tokens an engine may have waiting before it gets no more.
    pub max_prompt_backlog_tokens: u64,
    /// Streams an engine may have before it gets no more.
    pub max_streams: u32,
    /// Requests a plain service may have from this process.
    pub max_service_requests: u32,
    /// Prompt tokens a second that an engine reads.
    pub prefill_tokens_per_second: f64,
    /// Time between two tokens of a stream.
    pub token_gap: Duration,
    /// Tokens of work that may wait for one model in this process.
    pub max_queue_tokens: u64,
    /// Requests that may wait for one target in this process.
    pub max_queue_requests: usize,
    /// Tokens, divided by its weight, that a workspace may be served ahead of
    /// the one served least; within it, urgency decides.
    pub max_lead_tokens: u64,
    /// Age at which a load report no longer counts.
    pub stale_after: Duration,
    /// Entry processes that place work on the same engines.
    pub entry_processes: u32,
    /// Share of the reserved engines' streams that may take over from one data
    /// centre's cheap engines when these vanish.
    pub absorbable_share: f64,
    /// Share of its bound up to which a nearby engine is taken before others.
    pub local_load_share: f64,
    /// Share of its bound below which an engine that generates also reads
    /// prompts, when all that only read are full.
    pub overflow_load_share: f64,
    /// Least load, as a share of the bound, that affinity may add to an engine
    /// beyond that of the best alternative.
    pub affinity_slack: f64,
    /// Prefixes that are remembered.
    pub max_prefixes: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_prompt_backlog_tokens: 8_000,
            max_streams: 64,
            max_service_requests: 64,
            prefill_tokens_per_second: 10_000.0,
            token_gap: Duration::from_millis(44),
            max_queue_tokens: 1_000_000,
            max_queue_requests: 2_000,
            max_lead_tokens: 20_000,
            stale_after: Duration::from_secs(4),
            entry_processes: 1,
            absorbable_share: 0.25,
            local_load_share: 0.5,
            overflow_load_share: 0.35,
            affinity_slack: 0.25,
            max_prefixes: 65_536,
        }
    }
}
