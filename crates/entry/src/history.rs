//! The attempts at one request, and whether it may be retried.
//!
//! A retry is safe in only two cases: the request's class is idempotent, or no
//! attempt so far can have run. The retry budget, the number of attempts and
//! the deadline must permit it as well.

use crate::admission::PlacementRequest;
use crate::context::EntryContext;
use crate::refusal::failure_reply;
use crate::retry::{RunEvidence, backoff};
use lagoonlift_callers::OutcomeReply;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_types::NotRunReason;
use lagoonlift_upstreams::SendError;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` value when all attempts failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The attempts at one request.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    attempts: u32,
    evidence: RunEvidence,
    failed_upstreams: Vec<UpstreamKey>,
}

impl AttemptHistory {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Starts another attempt; returns its number, from 1.
    pub(crate) fn next_attempt(&mut self) -> u32 {
        self.attempts += 1;
        self.attempts
    }

    /// Returns the number of attempts started.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns what is known about whether the request ran.
    pub(crate) fn evidence(&self) -> RunEvidence {
        self.evidence
    }

    /// Records what an attempt shows about whether the request ran.
    pub(crate) fn record_evidence(&mut self, evidence: RunEvidence) {
        self.evidence = self.evidence.max(evidence);
    }

    /// Records an upstream that failed the request.
    pub(crate) fn record_failed_upstream(&mut self, upstream: UpstreamKey) {
        self.failed_upstreams.push(upstream);
    }

    /// Returns the upstreams that failed the request; `None` before the first
    /// attempt.
    pub(crate) fn upstreams_to_avoid(&self) -> Option<Vec<UpstreamKey>> {
        (self.attempts > 0).then(|| self.failed_upstreams.clone())
    }

    /// Returns the delay before a retry and takes the retry from the budget;
    /// returns `None` if no retry is permitted. A resumption isn't delayed,
    /// because a streaming caller has already received part of the response.
    /// Resumptions of responses that aren't streamed aren't delayed either.
    pub(crate) fn retry_delay(
        &self,
        context: &EntryContext,
        placement_request: &PlacementRequest,
        is_resume: bool,
    ) -> Option<Duration> {
        let delay = self.permitted_delay(context, placement_request, is_resume)?;
        context.try_take_retry(is_resume).then_some(delay)
    }

    /// Returns the delay before an attempt that should replace a silent one;
    /// returns `None` if no retry is permitted. The silent attempt may have run, so
    /// only an idempotent request is replaced. The retry is taken from the budget
    /// only when it is sent, because the silent attempt may go on before.
    pub(crate) fn replacement_delay(
        &self,
        context: &EntryContext,
        placement_request: &PlacementRequest,
        is_resume: bool,
    ) -> Option<Duration> {
        let delay = self.permitted_delay(context, placement_request, is_resume)?;
        let is_permitted = placement_request.idempotent && context.has_retry(is_resume);
        is_permitted.then_some(delay)
    }

    fn permitted_delay(
        &self,
        context: &EntryContext,
        placement_request: &PlacementRequest,
        is_resume: bool,
    ) -> Option<Duration> {
        let delay = match is_resume {
            true => Duration::ZERO,
            false => backoff(self.attempts, rand::random()),
        };
        let may_retry = placement_request.idempotent || self.evidence == RunEvidence::NotRun;
        let is_permitted = may_retry
            && Instant::now() + delay < placement_request.deadline
            && self.attempts < context.tuning.max_attempts;
        is_permitted.then_some(delay)
    }

    /// Returns the reply to the caller when no other attempt follows.
    pub(crate) fn final_reply(&self, reason: NotRunReason, retry_after: Duration) -> OutcomeReply {
        failure_reply(self.evidence, reason, retry_after)
    }

    /// As [`AttemptHistory::final_reply`], after a failed attempt; `error` says
    /// why sending failed.
    pub(crate) fn final_reply_after(&self, error: Option<&SendError>) -> OutcomeReply {
        let (reason, retry_after) = match error {
            Some(SendError::Busy { retry_after }) => (NotRunReason::Overloaded, *retry_after),
            _ => (NotRunReason::NoUpstream, None),
        };
        self.final_reply(reason, retry_after.unwrap_or(FAILED_RETRY_AFTER))
    }
}

/// Returns what a failure to send shows about whether the request ran. Any error
/// status other than busy counts as [`RunEvidence::Ran`], including one by which
/// the upstream rejects the request as invalid.
pub(crate) fn run_evidence(error: &SendError) -> RunEvidence {
    match error {
        SendError::NotSent(_) | SendError::Busy { .. } => RunEvidence::NotRun,
        SendError::ConnectionLost(_) | SendError::Timeout(_) => RunEvidence::MayHaveRun,
        SendError::Status { .. } => RunEvidence::Ran,
    }
}
