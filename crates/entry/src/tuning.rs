//! Timeouts and retry limits, with their default values.

use crate::retry::RetryBudgetLimits;
use std::time::Duration;

/// Timeouts and retry limits of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryTuning {
    /// Timeout for a caller to send a request's head, from its first byte.
    pub header_timeout: Duration,
    /// Time after which a caller's idle connection is closed. It is longer than
    /// the pools of usual callers keep a connection.
    pub idle_timeout: Duration,
    /// Timeout for each chunk of a request body.
    pub body_chunk_timeout: Duration,
    /// Timeout for a whole request body.
    pub body_timeout: Duration,
    /// Timeout for a caller that doesn't read its response.
    pub caller_stall_timeout: Duration,
    /// Timeout for an engine's first token.
    pub first_token_timeout: Duration,
    /// Timeout between two tokens; after it, the connection counts as dead.
    pub token_gap_timeout: Duration,
    /// Timeout for a plain service's response head and for each chunk of its
    /// body.
    pub service_timeout: Duration,
    /// Timeout for the second copy of a usage record.
    pub usage_copy_timeout: Duration,
    /// Timeout for making or ending a claim.
    pub claim_timeout: Duration,
    /// Maximum number of attempts at one request.
    pub max_attempts: u32,
    /// Budget for retries that start over.
    pub restart_budget: RetryBudgetLimits,
    /// Budget for retries that resume after the tokens received so far.
    pub resume_budget: RetryBudgetLimits,
    /// Minimum interval between two load polls of one engine. The actual interval
    /// is longer if the maximum number of polls per second requires it.
    pub poll_interval: Duration,
    /// Timeout for a load report.
    pub poll_timeout: Duration,
}

impl Default for EntryTuning {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
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
