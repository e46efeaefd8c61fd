//! Tuning parameters of the entry policy.

use std::time::Duration;

/// Limits and estimates that the entry policy decides with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryLimits {
    /// Prefill backlog at which an engine gets no more requests, in prompt tokens.
    pub max_prompt_backlog_tokens: u64,
    /// Number of streams at which an engine gets no more requests.
    pub max_streams: u32,
    /// Maximum number of in-flight requests from this process to a plain service.
    pub max_service_requests: u32,
    /// Prompt tokens that an engine prefills per second.
    pub prefill_tokens_per_second: f64,
    /// Expected time between two tokens of a stream.
    pub token_gap: Duration,
    /// Maximum number of tokens queued for one target in this process.
    pub max_queue_tokens: u64,
    /// Maximum number of requests queued for one target in this process.
    pub max_queue_requests: usize,
    /// Maximum lead of a workspace over the least-served one, in served tokens
    /// divided by weight. Among workspaces within this lead, urgency decides.
    pub max_lead_tokens: u64,
    /// Age above which a load report is ignored.
    pub stale_after: Duration,
    /// Number of entry processes that send requests to the same engines,
    /// including this one.
    pub entry_processes: u32,
    /// Share of the stream capacity of the reserved engines that can absorb the
    /// requests of one data centre's reclaimable engines when all of these are
    /// reclaimed, 0 to 1.
    pub absorbable_share: f64,
    /// Load up to which an upstream in the own data centre is chosen without
    /// considering other data centres, as a share of its limit.
    pub local_load_share: f64,
    /// Load below which a decode engine also prefills prompts when all prefill
    /// engines are full, as a share of its limit.
    pub overflow_load_share: f64,
    /// Extra load, as a share of the limit, that an engine which holds the prefix
    /// may have compared with the best alternative and still be chosen.
    pub affinity_slack: f64,
    /// Maximum number of prefixes whose holders are recorded.
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
