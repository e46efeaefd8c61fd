//! Limits on waits and repeats, with the values that operation starts from.

use crate::retry::BudgetShare;
use std::time::Duration;

/// Limits on waits and repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryTuning {
    /// Longest time that a caller may take to send a request's head.
    pub head_limit: Duration,
    /// Longest time between two parts of a caller's body.
    pub body_part_limit: Duration,
    /// Longest time that a caller may take for a whole body.
    pub body_limit: Duration,
    /// Longest time that a caller may read nothing of its answer.
    pub caller_stall_limit: Duration,
    /// Longest wait for an engine's first token.
    pub first_token_limit: Duration,
    /// Longest wait between two tokens; a longer gap counts as a dead path.
    pub token_gap_limit: Duration,
    /// Longest wait for a plain service's response head, and between two parts.
    pub service_limit: Duration,
    /// Longest wait for the second copy of a usage record.
    pub usage_limit: Duration,
    /// Longest wait for a claim to be made or ended.
    pub claim_limit: Duration,
    /// Most attempts at one request.
    pub max_attempts: u32,
    /// Repeats that start over.
    pub restart_budget: BudgetShare,
    /// Repeats that go on after tokens already delivered.
    pub resume_budget: BudgetShare,
    /// Time between two load reports of one engine, at least.
    pub poll_interval: Duration,
    /// Longest wait for a load report.
    pub poll_limit: Duration,
}

impl Default for EntryTuning {
    fn default() -> Self {
        Self {
            head_limit: Duration::from_secs(10),
            body_part_limit: Duration::from_secs(5),
            body_limit: Duration::from_secs(60),
            caller_stall_limit: Duration::from_secs(30),
            first_token_limit: Duration::from_secs(10),
            token_gap_limit: Duration::from_secs(2),
            service_limit: Duration::from_secs(30),
            usage_limit: Duration::from_secs(1),
            claim_limit: Duration::from_secs(1),
            max_attempts: 4,
            restart_budget: BudgetShare {
                share: 0.2,
                floor: 10,
            },
            resume_budget: BudgetShare {
                share: 0.5,
                floor: 50,
            },
            poll_interval: Duration::from_millis(250),
            poll_limit: Duration::from_secs(1),
        }
    }
}
