//! When an attempt may be repeated, and how soon.
//!
//! Repeats help when one upstream fails and harm when all do. They are
//! therefore paid from a budget that grows only with live traffic: an outage
//! can't multiply the load by more than the budget's share.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request or repeat counts.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Slots that the span is divided into.
const SLOTS_PER_WINDOW: u32 = 10;

/// Wait before the first repeat, at most.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Wait before any repeat, at most.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What is known about whether a request ran, over all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEvidence {
    /// No byte reached an upstream, or the upstream said that it ran nothing.
    #[default]
    NotRun,
    /// It was sent, and nothing came back.
    MayHaveRun,
    /// Something came back.
    Ran,
}

/// How many repeats the budget permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats for each live request.
    pub retry_ratio: f64,
    /// Repeats in each span that are permitted whatever the traffic.
    pub min_retries: u64,
}

/// Permits repeats as a share of the requests of the last ten seconds.
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

    /// Counts a request that was sent for the first time.
    pub fn count_request(&mut self, now: Instant) {
        self.slot(now).requests += 1;
    }

    /// Takes one repeat from the budget; `false` when it is used up.
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

/// Returns how long to wait before repeat `number` (from 1); `jitter` is a
/// random number from 0 to 1, so that callers of a failed upstream don't come
/// back together.
pub fn backoff(retry_number: u32, jitter: f64) -> Duration {
    let doublings = retry_number.saturating_sub(1).min(16);
    let max_delay = INITIAL_BACKOFF * 2_u32.pow(doublings);
    max_delay.min(MAX_BACKOFF).mul_f64(jitter.clamp(0.0, 1.0))
}
