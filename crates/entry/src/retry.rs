//! The retry budget and the backoff between attempts.
//!
//! Retries help when one upstream fails and do harm when all fail. They are
//! therefore limited by a budget that grows only with first attempts: an outage
//! can't increase the load by more than the budget's ratio.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a request or retry counts.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Number of intervals that the window is divided into.
const INTERVALS_PER_WINDOW: u32 = 10;

/// Maximum delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What is known about whether a request ran, over all its attempts. It isn't
/// related to the evidence that recorded decisions carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEvidence {
    /// No byte reached an upstream, or the upstream reported that it ran
    /// nothing.
    #[default]
    NotRun,
    /// The request was sent, and no response arrived.
    MayHaveRun,
    /// At least part of a response arrived. An error status other than busy
    /// counts too, even if the upstream rejected the request as invalid.
    Ran,
}

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Permitted retries per request, which counts once, at its first attempt.
    pub retry_ratio: f64,
    /// Retries that each window permits regardless of traffic.
    pub min_retries: u64,
}

/// Permits retries in proportion to the requests of the last ten seconds.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    intervals: VecDeque<BudgetInterval>,
}

#[derive(Clone, Copy, Debug)]
struct BudgetInterval {
    start: Instant,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget that has seen no traffic.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            intervals: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&mut self, now: Instant) {
        self.current_interval(now).requests += 1;
    }

    /// Takes one retry from the budget; returns `false` if the budget is
    /// exhausted.
    pub fn try_take_retry(&mut self, now: Instant) -> bool {
        let is_permitted = self.has_retry(now);
        if is_permitted {
            self.current_interval(now).retries += 1;
        }
        is_permitted
    }

    /// Returns whether the budget permits a retry.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.current_interval(now);
        let requests: u64 = self
            .intervals
            .iter()
            .map(|interval| interval.requests)
            .sum();
        let retries: u64 = self.intervals.iter().map(|interval| interval.retries).sum();
        let allowed = self.limits.min_retries as f64 + self.limits.retry_ratio * requests as f64;
        (retries as f64) < allowed
    }

    /// Returns the current interval, after removing expired ones.
    fn current_interval(&mut self, now: Instant) -> &mut BudgetInterval {
        let interval_length = BUDGET_WINDOW / INTERVALS_PER_WINDOW;
        let is_expired =
            |interval: &BudgetInterval| now.duration_since(interval.start) >= BUDGET_WINDOW;
        while self.intervals.front().is_some_and(is_expired) {
            self.intervals.pop_front();
        }
        let is_current =
            |interval: &BudgetInterval| now.duration_since(interval.start) < interval_length;
        if !self.intervals.back().is_some_and(is_current) {
            self.intervals.push_back(BudgetInterval {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
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
