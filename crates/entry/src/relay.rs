//! Relays one chat response from engines to its caller, over as many attempts
//! as are needed and permitted.
//!
//! An idempotent request resumes at another engine after the last token
//! delivered. A non-idempotent request is sent once; it is retried only if the
//! attempt certainly ran nothing.
//!
//! A silent engine may be sound and go on, and nothing may be able to replace it.
//! It is therefore kept until another engine has accepted the request. Only the
//! end of its connection or the request's deadline ends its attempt otherwise.

mod replacement;

use self::replacement::Replacement;
use crate::admission::{Placement, PlacementRequest};
use crate::chat::ChatJob;
use crate::chat_response::{ChatResponse, ChunkError};
use crate::context::EntryContext;
use crate::engine_attempt::{AttemptFailure, EngineAttempt, NO_LIMIT};
use crate::history::{AttemptHistory, run_evidence};
use crate::refusal::unauthorized_reply;
use crate::response_channel::ResponseSender;
use crate::retry::RunEvidence;
use crate::slot::{UpstreamSlot, place};
use crate::upstream_handle::{UpstreamClient, UpstreamHandle};
use lagoonlift_callers::{ChatUsage, OutcomeReply};
use lagoonlift_policy::AttemptEnd;
use lagoonlift_types::{Outcome, RequestId, UsageFigures};
use lagoonlift_upstreams::{ChatCall, ConnectionUse, EngineEvent, SendError, StreamError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for an engine to confirm a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Relays one chat response.
pub(crate) struct ChatRelay {
    context: Arc<EntryContext>,
    job: ChatJob,
    response: ChatResponse,
    history: AttemptHistory,
    last_token_at: Option<Instant>,
}

/// How a request ended.
enum RelayEnd {
    Answered,
    Refused(OutcomeReply),
    CallerDisconnected,
}

impl From<ChunkError> for AttemptFailure {
    fn from(failure: ChunkError) -> Self {
        match failure {
            ChunkError::Stream(error) => Self::Stream(error),
            ChunkError::CallerDisconnected => Self::CallerDisconnected,
        }
    }
}

impl ChatRelay {
    pub(crate) fn new(context: Arc<EntryContext>, job: ChatJob, sender: ResponseSender) -> Self {
        Self {
            context,
            response: ChatResponse::new(job.spec.clone(), sender),
            job,
            history: AttemptHistory::new(),
            last_token_at: None,
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        let disconnect_token = self.response.disconnect_token();
        let end = tokio::select! {
            biased;
            () = disconnect_token.cancelled() => RelayEnd::CallerDisconnected,
            end = self.run_attempts() => end,
        };
        match end {
            RelayEnd::Answered => {}
            RelayEnd::Refused(reply) => self.refuse(reply).await,
            RelayEnd::CallerDisconnected => {
                self.settle_partial_usage().await;
                self.count_outcome(&Outcome::Failed);
            }
        }
    }

    async fn run_attempts(&mut self) -> RelayEnd {
        loop {
            let slot = match self.next_slot().await {
                Ok(slot) => slot,
                Err(reply) => return RelayEnd::Refused(reply),
            };
            if !self.is_still_authorized() {
                return RelayEnd::Refused(unauthorized_reply());
            }
            let failure = match self.attempt(slot).await {
                Ok(()) => return RelayEnd::Answered,
                Err(AttemptFailure::CallerDisconnected) => return RelayEnd::CallerDisconnected,
                Err(failure) => failure,
            };
            if let Err(reply) = self.prepare_retry(&failure).await {
                return RelayEnd::Refused(reply);
            }
        }
    }

    /// Returns whether the request may still be sent: its key may have been
    /// withdrawn while it was queued. A request that has already run continues.
    fn is_still_authorized(&self) -> bool {
        let directory = self.context.directory.load();
        let is_authorized =
            directory.authorizes(&self.job.key, &self.job.placement_request.workspace);
        self.history.evidence() != RunEvidence::NotRun || is_authorized
    }

    async fn next_slot(&mut self) -> Result<UpstreamSlot, OutcomeReply> {
        let avoid = self.history.upstreams_to_avoid();
        match place(
            &self.context.admission,
            self.remaining_placement_request(),
            avoid,
        )
        .await
        {
            Placement::Dispatch(slot) => Ok(slot),
            Placement::Refuse {
                reason,
                retry_after,
            } => Err(self.history.final_reply(reason, retry_after)),
        }
    }

    /// Returns the placement request for the rest of the response, after the
    /// tokens received so far.
    fn remaining_placement_request(&self) -> PlacementRequest {
        let delivered = self.response.delivered();
        let placement_request = self.job.placement_request.clone();
        PlacementRequest {
            prompt_tokens: placement_request.prompt_tokens + delivered,
            max_output_tokens: placement_request
                .max_output_tokens
                .saturating_sub(delivered),
            ..placement_request
        }
    }

    async fn attempt(&mut self, slot: UpstreamSlot) -> Result<(), AttemptFailure> {
        self.response.start_attempt();
        if let Some(claim) = &mut self.job.claim {
            claim.mark_sending();
        }
        let mut attempt = self.new_attempt(slot, NO_LIMIT);
        let result = self.relay_stream(&mut attempt).await;
        let end = match &result {
            Ok(()) => AttemptEnd::Completed {
                output_tokens: self.response.delivered(),
            },
            Err(failure) => {
                self.history.record_failed_upstream(attempt.upstream());
                self.attempt_end(failure, attempt.upstream_handle())
            }
        };
        attempt.finish(end);
        result?;
        self.finish().await
    }

    fn new_attempt(&mut self, slot: UpstreamSlot, header_timeout: Duration) -> EngineAttempt {
        let attempt = self.history.next_attempt();
        if attempt == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, attempt == 1);
        let call = self.engine_call(&slot, header_timeout);
        EngineAttempt::new(slot, call)
    }

    fn attempt_end(
        &self,
        failure: &AttemptFailure,
        upstream_handle: &Arc<UpstreamHandle>,
    ) -> AttemptEnd {
        match failure {
            AttemptFailure::CallerDisconnected => AttemptEnd::Cancelled,
            AttemptFailure::Send(SendError::Busy { .. }) => AttemptEnd::Busy,
            AttemptFailure::Send(SendError::Timeout(_))
            | AttemptFailure::Stream(StreamError::Timeout(_)) => {
                self.give_up(upstream_handle);
                AttemptEnd::UpstreamFailed
            }
            AttemptFailure::Send(_) | AttemptFailure::Stream(_) => AttemptEnd::UpstreamFailed,
        }
    }

    /// Frees a silent upstream of the request, whose connections may have stopped
    /// working.
    fn give_up(&self, upstream_handle: &Arc<UpstreamHandle>) {
        upstream_handle.connections().evict_idle();
        self.context.instruments.count_eviction();
        spawn_cancellation(
            Arc::clone(upstream_handle),
            self.job.placement_request.request,
        );
    }

    fn engine_call(&self, slot: &UpstreamSlot, header_timeout: Duration) -> ChatCall {
        ChatCall {
            request: self.job.placement_request.request,
            attempt: self.history.attempts(),
            priority: slot.priority(),
            body: self.job.engine_body(self.response.delivered()),
            connection: match self.job.placement_request.idempotent {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            },
            header_timeout,
        }
    }

    async fn relay_stream(&mut self, attempt: &mut EngineAttempt) -> Result<(), AttemptFailure> {
        loop {
            let event = self.next_event(attempt).await?;
            self.history.record_evidence(RunEvidence::Ran);
            match event {
                EngineEvent::Chunk(text) if self.response.handle_chunk(&text).await? => {
                    self.record_token_time(attempt);
                }
                EngineEvent::Chunk(_) => {}
                EngineEvent::End => return Ok(()),
            }
        }
    }

    /// Waits for the next event. While the engine is silent, another one is looked
    /// for, which takes the place of `attempt` once it has accepted the request.
    async fn next_event(
        &mut self,
        attempt: &mut EngineAttempt,
    ) -> Result<EngineEvent, AttemptFailure> {
        let mut give_up_at = self.give_up_at();
        let mut was_silent = false;
        loop {
            let silence_limit = self.silence_limit(attempt);
            let silent_at = give_up_at.min(Instant::now() + silence_limit);
            if let Some(event) = attempt.next_by(silent_at).await {
                return event;
            }
            if Instant::now() >= give_up_at {
                let error = StreamError::Timeout(silence_limit);
                return Err(AttemptFailure::Stream(error));
            }
            if !was_silent {
                was_silent = true;
                attempt.slot().report_silence();
            }
            match self.look_for_replacement(attempt).await {
                Replacement::Accepted(other) => {
                    self.continue_with(attempt, *other);
                    give_up_at = self.give_up_at();
                    was_silent = false;
                }
                Replacement::Unavailable(reason) => self.log_silence(attempt, reason),
                Replacement::Needless(event) => {
                    let result = match &event {
                        Ok(_) => "went on",
                        Err(_) => "ended",
                    };
                    self.log_silence(attempt, result);
                    return event;
                }
            }
        }
    }

    /// Returns the time at which a silent engine is given up even if nothing can
    /// replace it. A response that is late already gets some more time.
    fn give_up_at(&self) -> Instant {
        let earliest = Instant::now() + self.context.tuning.first_token_timeout;
        earliest.max(self.job.placement_request.deadline)
    }

    fn silence_limit(&self, attempt: &EngineAttempt) -> Duration {
        match attempt.has_begun() {
            true => self.context.tuning.token_gap_timeout,
            false => self.context.tuning.first_token_timeout,
        }
    }

    fn record_token_time(&mut self, attempt: &EngineAttempt) {
        let now = Instant::now();
        let instruments = &self.context.instruments;
        match self.last_token_at.replace(now) {
            Some(last) => instruments.record_token_gap(&self.job.labels, now - last),
            None => {
                instruments.record_first_token(&self.job.labels, now - self.job.arrived);
                attempt.slot().report_first_token();
            }
        }
    }

    /// Sends the end of the response, after its usage has been recorded.
    async fn finish(&mut self) -> Result<(), AttemptFailure> {
        let usage = self.response.usage();
        self.settle_usage(&usage).await;
        self.end_claim(&Outcome::Answered).await;
        self.count_outcome(&Outcome::Answered);
        let finished = self.response.finish(usage).await;
        // The request is already counted and billed, so a caller that
        // disconnects now doesn't change its outcome.
        finished.or(Ok(()))
    }

    async fn settle_usage(&mut self, usage: &ChatUsage) {
        if let Some(charge) = self.job.charge.take() {
            charge.settle(usage.prompt_tokens, usage.completion_tokens);
        }
        let figures = UsageFigures {
            requests: 1,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
        };
        let placement_request = &self.job.placement_request;
        self.context
            .record_usage(
                placement_request.request,
                &placement_request.workspace,
                &self.job.class,
                figures,
            )
            .await;
    }

    /// Records the usage of an incomplete response.
    async fn settle_partial_usage(&mut self) {
        if self.response.delivered() > 0 {
            let usage = self.response.usage();
            self.settle_usage(&usage).await;
        }
    }

    async fn prepare_retry(&mut self, failure: &AttemptFailure) -> Result<(), OutcomeReply> {
        let error = match failure {
            AttemptFailure::Send(error) => Some(error),
            AttemptFailure::Stream(_) | AttemptFailure::CallerDisconnected => None,
        };
        self.history
            .record_evidence(error.map_or(RunEvidence::MayHaveRun, run_evidence));
        if let (RunEvidence::NotRun, Some(claim)) = (self.history.evidence(), &mut self.job.claim) {
            claim.mark_not_run();
        }
        let is_resume = self.response.delivered() > 0;
        let wait = match error {
            // A request that one engine rejects as invalid is rejected by every
            // engine.
            Some(SendError::Status { status, .. }) if status.is_client_error() => None,
            _ => {
                let placement_request = &self.job.placement_request;
                self.history
                    .retry_delay(&self.context, placement_request, is_resume)
            }
        };
        let wait = wait.ok_or_else(|| self.history.final_reply_after(error))?;
        if is_resume {
            self.context.instruments.count_resume(&self.job.labels);
        }
        tokio::time::sleep(wait).await;
        Ok(())
    }

    async fn end_claim(&mut self, outcome: &Outcome) {
        if let Some(claim) = self.job.claim.take() {
            claim.end(outcome).await;
        }
    }

    async fn refuse(mut self, reply: OutcomeReply) {
        self.settle_partial_usage().await;
        self.end_claim(&reply.outcome).await;
        self.count_outcome(&reply.outcome);
        self.response.fail(reply).await;
    }

    fn count_outcome(&self, outcome: &Outcome) {
        let job = &self.job;
        self.context.count_end(
            &job.placement_request,
            &job.labels,
            outcome.kind(),
            job.arrived,
        );
    }
}

/// Cancels a request at an engine after its connection was abandoned.
fn spawn_cancellation(upstream_handle: Arc<UpstreamHandle>, request: RequestId) {
    tokio::spawn(async move {
        let UpstreamClient::Engine(client) = &upstream_handle.client else {
            return;
        };
        if let Err(error) = client.cancel(request, CANCEL_TIMEOUT).await {
            tracing::debug!(%request, %error, "can't cancel the request at the engine");
        }
    });
}
