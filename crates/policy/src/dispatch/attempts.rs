//! Decides whether a request may be retried, and how it ends otherwise.
//!
//! Callers rely on the response "not run" when they repeat a request that must not
//! run twice, such as a booking. It is therefore sent only if it is certain that no
//! attempt has run. A request that may have run ends with an unknown outcome, unless
//! its [`RetrySafety`] allows another attempt.

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

/// Proof that a request has not run and never will. Callers repeat what they are told has not
/// run, so nothing else allows that answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns the proof for a request for which no attempt has been made or begun.
    pub fn before_attempts() -> Self {
        Self(())
    }
}

/// The results of all attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    retry_safety: RetrySafety,
    max_runs: u32,
    runs: u32,
    /// Sends that reached an upstream, except the first accepted prefill. If there
    /// are any, the next send is a retry.
    arrivals: u32,
    /// Attempts other than prefills.
    attempts: u32,
    /// Whether no prefill has been accepted yet.
    awaits_first_prefill: bool,
    /// Prefills whose engines are silent and may still accept or refuse them. While there
    /// are any, the next send is a retry.
    silent_prefills: u32,
}

/// Limit on the attempts of one request, for the case that every attempt is refused,
/// fails, or does not get a connection.
const MAX_ATTEMPTS: u32 = 4;

impl AttemptHistory {
    /// Creates the history of a request that has not been sent. If the request can be
    /// retried after it may have run, it may run at most `max_upstreams` times; each
    /// possible run counts, also if several are on the same upstream.
    pub fn new(retry_safety: RetrySafety, max_upstreams: u32) -> Self {
        Self {
            retry_safety,
            max_runs: max_upstreams.max(1),
            runs: 0,
            arrivals: 0,
            attempts: 0,
            awaits_first_prefill: true,
            silent_prefills: 0,
        }
    }

    /// Returns whether the next attempt counts as a retry. See
    /// [`AttemptHistory::next_prefill_is_retry`] for prefills.
    pub fn next_is_retry(&self) -> bool {
        self.arrivals > 0 || self.silent_prefills > 0
    }

    /// Returns whether the next prefill counts as a retry: another one was accepted or is
    /// silent, or another send reached an upstream.
    pub fn next_prefill_is_retry(&self) -> bool {
        self.next_is_retry() || !self.awaits_first_prefill
    }

    /// Returns whether it is certain that the request has not run.
    pub fn has_not_run(&self) -> bool {
        self.runs == 0
    }

    /// Returns the proof that the request has not run: each attempt either reached no
    /// upstream, or its upstream stated that it has not run.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        self.has_not_run().then_some(NotRunProof(()))
    }

    /// Records the result of an attempt and returns the next step, provided that
    /// the deadline and the retry budget allow it. Otherwise the request ends with a
    /// failure response if one is available, or else with the step that
    /// [`AttemptHistory::step_without_retry`] returns.
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
        match result {
            _ if self.may_retry() => NextStep::Retry,
            SendResult::Failed => NextStep::ForwardFailure,
            _ => self.step_without_retry(),
        }
    }

    /// Returns how many upstreams may still run the request.
    pub fn runs_left(&self) -> u32 {
        match self.retry_safety.is_retryable() {
            true => self.max_runs.saturating_sub(self.runs),
            false => 1_u32.saturating_sub(self.runs),
        }
    }

    /// Makes the first send a retry, since another host has sent the request before.
    #[must_use]
    pub fn with_earlier_arrival(mut self) -> Self {
        self.arrivals += 1;
        self
    }

    /// Returns whether another attempt is allowed, provided that the deadline and the
    /// retry budget allow it.
    pub fn may_retry(&self) -> bool {
        let can_run_again =
            self.runs == 0 || (self.retry_safety.is_retryable() && self.runs < self.max_runs);
        can_run_again && self.attempts < MAX_ATTEMPTS
    }

    /// Records that an upstream accepted a prefill of the prompt. The first accepted
    /// prefill does not make the next send a retry; any further one does. No prefill
    /// counts towards `MAX_ATTEMPTS`.
    pub fn record_prefill(&mut self) {
        match self.awaits_first_prefill {
            true => self.awaits_first_prefill = false,
            false => self.arrivals += 1,
        }
    }

    /// Records that the engine of a prefill is silent. The prefill may still be accepted.
    pub fn record_silent_prefill(&mut self) {
        self.silent_prefills += 1;
    }

    /// Records that the silence of a prefill has ended. Its result is recorded next.
    pub fn record_silence_end(&mut self) {
        self.silent_prefills = self.silent_prefills.saturating_sub(1);
    }

    /// Records that a prefill failed. A prefill does not count as a run of the
    /// request.
    pub fn record_prefill_failure(&mut self, result: SendResult) {
        if result != SendResult::NotSent {
            self.arrivals += 1;
        }
    }

    /// Returns how the request ends if it is not retried and no failure response is
    /// available to forward.
    pub fn step_without_retry(&self) -> NextStep {
        match self.has_not_run() {
            true => NextStep::Refuse,
            false => NextStep::Unknown,
        }
    }
}
