//! Limits on waits and repeats, with the values that operation starts from.

use crate::retry::RetryBudgetLimits;
use std::time::Duration;

/// Limits on waits and repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryTuning {
    /// Longest time that a caller may take to send a request's head.
    pub header_timeout: Duration,
    /// Longest time between two parts of a caller's body.
    pub body_chunk_timeout: Duration,
    /// Longest time that a caller may take for a whole body.
    pub body_timeout: Duration,
    /// Longest time that a caller may read nothing of its answer.
    pub caller_stall_timeout: Duration,
    /// Longest wait for an engine's first token.
    pub first_token_timeout: Duration,
    /// Longest wait between two tokens; a longer gap counts as a dead path.
    pub token_gap_timeout: Duration,
    /// Longest wait for a plain service's response head, and between two parts.
    pub service_timeout: Duration,
    /// Longest wait for the second copy of a usage record.
    pub usage_copy_timeout: Duration,
    /// Longest wait for a claim to be made or ended.
    pub claim_timeout: Duration,
    /// Most attempts at one request.
    pub max_attempts: u32,
    /// Repeats that start over.
    pub restart_budget: RetryBudgetLimits,
    /// Repeats that go on after tokens already delivered.
    pub resume_budget: RetryBudgetLimits,
    /// Time between two load reports of one engine, at least.
    pub poll_interval: Duration,
    /// Longest wait for a load report.
    pub poll_timeout: Duration,
}

impl Default for EntryTuning {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            body_chunk_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(60),
            caller_stall_timeout: Duration::from_secs(30),
            first_token_timeout: Duration::from_secs(10),
            token_gap_timeout: Duration::from_secs(2),
            service_timeout: Duration::from_secs(30),
            usage_copy_timeout: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(1),
            max_attempts: 4,
            restart_budget: RetryBudgetLimits {
                retry_ratio: 0.2,
                min_retries: 10,
            },
            resume_budget: RetryBudgetLimits {
                retry_ratio: 0.5,
                min_retries: 50,
            },
            poll_interval: Duration::from_millis(250),
            poll_timeout: Duration::from_secs(1),
        }
    }
}
