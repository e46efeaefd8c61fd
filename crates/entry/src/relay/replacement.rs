//! Looks for an engine that replaces a silent one.
//!
//! The silent engine may go on at any moment, so its stream is read all the time.
//! A request must not run at two engines for long: the silent one is closed when
//! the head of the other one's response arrives, and the other one is given up
//! after [`MAX_OVERLAP`] without a head.

use super::{ChatRelay, spawn_cancellation};
use crate::engine_attempt::{AttemptFailure, EngineAttempt};
use crate::history::run_evidence;
use crate::retry::RunEvidence;
use crate::slot::place_replacement;
use lagoonlift_policy::AttemptEnd;
use lagoonlift_upstreams::{EngineEvent, SendError};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a request may be at a silent engine and at the one that
/// should replace it.
const MAX_OVERLAP: Duration = Duration::from_secs(1);

/// Result of the search for an engine that replaces a silent one.
pub(super) enum Replacement {
    /// The engine of this attempt has accepted the request.
    Accepted(Box<EngineAttempt>),
    /// No engine replaces the silent one now, for this reason.
    Unavailable(&'static str),
    /// The silent attempt went on or ended.
    Needless(Result<EngineEvent, AttemptFailure>),
}

impl ChatRelay {
    pub(super) async fn look_for_replacement(&mut self, silent: &mut EngineAttempt) -> Replacement {
        let is_resume = self.response.delivered() > 0;
        loop {
            let placement_request = &self.job.placement_request;
            let delay = self
                .history
                .replacement_delay(&self.context, placement_request, is_resume);
            let Some(delay) = delay else {
                return Replacement::Unavailable("no retry is permitted");
            };
            let context = Arc::clone(&self.context);
            let remaining = self.remaining_placement_request();
            let avoid = self.history.upstreams_to_avoid();
            let replaced = Some(silent.upstream());
            let placement = async move {
                tokio::time::sleep(delay).await;
                place_replacement(&context.admission, remaining, avoid, replaced).await
            };
            let slot = tokio::select! {
                biased;
                event = silent.next() => return Replacement::Needless(event),
                slot = placement => slot,
            };
            let Some(slot) = slot else {
                return Replacement::Unavailable("no other engine takes the request");
            };
            if !self.context.try_take_retry(is_resume) {
                return Replacement::Unavailable("no retry is permitted");
            }
            let mut other = self.new_attempt(slot, MAX_OVERLAP);
            let accepted = tokio::select! {
                biased;
                event = silent.next() => {
                    self.withdraw(other);
                    return Replacement::Needless(event);
                }
                accepted = other.accepted() => accepted,
            };
            match accepted {
                Ok(()) => return Replacement::Accepted(Box::new(other)),
                Err(error) => {
                    if let Some(reason) = self.end_replacement(other, &error) {
                        return Replacement::Unavailable(reason);
                    }
                }
            }
        }
    }

    /// Ends the silent attempt and continues with `other`, which has accepted the
    /// request.
    pub(super) fn continue_with(&mut self, attempt: &mut EngineAttempt, other: EngineAttempt) {
        self.log_silence(attempt, "replaced");
        if self.response.delivered() > 0 {
            self.context.instruments.count_resume(&self.job.labels);
        }
        self.history.record_evidence(RunEvidence::MayHaveRun);
        self.response.start_attempt();
        let silent = std::mem::replace(attempt, other);
        self.history.record_failed_upstream(silent.upstream());
        self.give_up(silent.upstream_handle());
        // Its silence has been reported already.
        silent.finish(AttemptEnd::Cancelled);
    }

    /// Logs how a silence of the engine ended, or why the engine is kept.
    pub(super) fn log_silence(&self, attempt: &EngineAttempt, result: &str) {
        tracing::info!(
            request = %self.job.placement_request.request,
            upstream = %attempt.upstream_handle().name,
            delivered = self.response.delivered(),
            result,
            "stream was silent"
        );
    }

    /// Records why an engine didn't replace the silent one. Returns the reason for
    /// which no other engine is asked now, if there is one.
    fn end_replacement(&mut self, other: EngineAttempt, error: &SendError) -> Option<&'static str> {
        self.history.record_evidence(run_evidence(error));
        self.history.record_failed_upstream(other.upstream());
        match error {
            SendError::Timeout(_) => {
                self.withdraw(other);
                return Some("the other engine didn't accept the request in time");
            }
            SendError::Busy { .. } => other.finish(AttemptEnd::Busy),
            SendError::NotSent(_) | SendError::Status { .. } | SendError::ConnectionLost(_) => {
                other.finish(AttemptEnd::UpstreamFailed);
            }
        }
        match error {
            // A request that one engine rejects as invalid is rejected by every
            // engine.
            SendError::Status { status, .. } if status.is_client_error() => {
                Some("another engine rejected the request")
            }
            _ => None,
        }
    }

    /// Takes the request back from an engine that hasn't accepted it, but may have
    /// run it.
    fn withdraw(&mut self, other: EngineAttempt) {
        self.history.record_evidence(RunEvidence::MayHaveRun);
        let upstream_handle = Arc::clone(other.upstream_handle());
        other.finish(AttemptEnd::Cancelled);
        spawn_cancellation(upstream_handle, self.job.placement_request.request);
    }
}
