//! Decides whether a request may be retried, and how it ends otherwise.
//!
//! Callers rely on the response "not run" when they repeat a booking. It is
//! therefore sent only if it is certain that no attempt has run. A request that
//! may have run ends with an unknown outcome, unless its [`RetrySafety`] allows
//! another attempt.

use super::RetrySafety;

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// No byte reached the upstream: the connection was not established.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// The request was sent, and no complete response arrived.
    Unknown,
    /// The upstream ran the request and responded with a failure.
    Failed,
}

/// The next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Respond that the request has not run and will not run.
    Refuse,
    /// Respond that the outcome is unknown.
    Unknown,
    /// Forward the upstream's failure response to the caller.
    ForwardFailure,
}

/// The results of all attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    retry_safety: RetrySafety,
    max_runs: u32,
    runs: u32,
    /// Sends that reached an upstream, except the first accepted prefill.
    arrivals: u32,
    attempts: u32,
    has_free_prefill: bool,
}

/// Limit on the attempts of one request, for the case that every upstream
/// refuses it.
const MAX_ATTEMPTS: u32 = 4;

impl AttemptHistory {
    /// Creates the history of a request that has not been sent and may run on at
    /// most `max_upstreams` upstreams.
    pub fn new(retry_safety: RetrySafety, max_upstreams: u32) -> Self {
        Self {
            retry_safety,
            max_runs: max_upstreams.max(1),
            runs: 0,
            arrivals: 0,
            attempts: 0,
            has_free_prefill: true,
        }
    }

    /// Returns whether the next attempt counts as a retry.
    pub fn next_is_retry(&self) -> bool {
        self.arrivals > 0
    }

    /// Returns whether it is certain that the request has not run.
    pub fn has_not_run(&self) -> bool {
        self.runs == 0
    }

    /// Records the result of an attempt and returns the next step, provided that
    /// the deadline and the retry budget allow it. Otherwise
    /// [`AttemptHistory::step_without_retry`] gives the next step.
    pub fn record_send(&mut self, result: SendResult) -> NextStep {
        self.attempts += 1;
        match result {
            SendResult::NotSent => {}
            SendResult::NotRun => self.arrivals += 1,
            SendResult::Unknown | SendResult::Failed => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
        let can_run_again =
            self.runs == 0 || (self.retry_safety.is_retryable() && self.runs < self.max_runs);
        match result {
            _ if can_run_again && self.attempts < MAX_ATTEMPTS => NextStep::Retry,
            SendResult::Failed => NextStep::ForwardFailure,
            _ => self.step_without_retry(),
        }
    }

    /// Records that an upstream accepted a prefill of the prompt. The first one
    /// does not count as an attempt.
    pub fn record_prefill(&mut self) {
        match self.has_free_prefill {
            true => self.has_free_prefill = false,
            false => self.arrivals += 1,
        }
    }

    /// Records that a prefill failed. A prefill does not count as a run of the
    /// request.
    pub fn record_prefill_failure(&mut self, result: SendResult) {
        if result != SendResult::NotSent {
            self.arrivals += 1;
        }
    }

    /// Returns how the request ends if it is not retried.
    pub fn step_without_retry(&self) -> NextStep {
        match self.has_not_run() {
            true => NextStep::Refuse,
            false => NextStep::Unknown,
        }
    }
}
