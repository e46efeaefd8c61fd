//! The retry budget and the backoff between attempts.
//!
//! Retries help when one upstream fails and do harm when all fail. They are
//! therefore limited by a budget that grows only with live traffic: an outage
//! can't increase the load by more than the budget's ratio.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a request or retry counts.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Number of slots that the window is divided into.
const SLOTS_PER_WINDOW: u32 = 10;

/// Maximum delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What is known about whether a request ran, over all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEvidence {
    /// No byte reached an upstream, or the upstream reported that it ran
    /// nothing.
    #[default]
    NotRun,
    /// The request was sent, and no response arrived.
    MayHaveRun,
    /// At least part of a response arrived.
    Ran,
}

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Permitted retries per live request.
    pub retry_ratio: f64,
    /// Retries that each window permits regardless of traffic.
    pub min_retries: u64,
}

/// Permits retries in proportion to the requests of the last ten seconds.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    slots: VecDeque<BudgetSlot>,
}

#[derive(Clone, Copy, Debug)]
struct BudgetSlot {
    start: Instant,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget that has seen no traffic.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&mut self, now: Instant) {
        self.slot(now).requests += 1;
    }

    /// Takes one retry from the budget; returns `false` if the budget is
    /// exhausted.
    pub fn try_take_retry(&mut self, now: Instant) -> bool {
        self.slot(now);
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = self.limits.min_retries as f64 + self.limits.retry_ratio * requests as f64;
        let is_permitted = (retries as f64) < allowed;
        if is_permitted {
            self.slot(now).retries += 1;
        }
        is_permitted
    }

    fn slot(&mut self, now: Instant) -> &mut BudgetSlot {
        let slot_length = BUDGET_WINDOW / SLOTS_PER_WINDOW;
        let is_expired = |slot: &BudgetSlot| now.duration_since(slot.start) >= BUDGET_WINDOW;
        while self.slots.front().is_some_and(is_expired) {
            self.slots.pop_front();
        }
        let is_current = |slot: &BudgetSlot| now.duration_since(slot.start) < slot_length;
        if !self.slots.back().is_some_and(is_current) {
            self.slots.push_back(BudgetSlot {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}

/// Returns the delay before retry `retry_number` (from 1). `jitter` is a random
/// number from 0 to 1, which keeps the callers of a failed upstream from
/// retrying at the same moment.
pub fn backoff(retry_number: u32, jitter: f64) -> Duration {
    let doublings = retry_number.saturating_sub(1).min(16);
    let max_delay = INITIAL_BACKOFF * 2_u32.pow(doublings);
    max_delay.min(MAX_BACKOFF).mul_f64(jitter.clamp(0.0, 1.0))
}
