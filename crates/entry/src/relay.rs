//! Relays one chat response from engines to its caller, over as many attempts
//! as are needed and permitted.
//!
//! An idempotent request resumes at another engine after the last token
//! delivered. A non-idempotent request is sent once; it is retried only if the
//! attempt certainly ran nothing.

use crate::admission::{Placement, PlacementRequest};
use crate::chat::ChatJob;
use crate::chat_response::{ChatResponse, ChunkError};
use crate::context::EntryContext;
use crate::history::{AttemptHistory, run_evidence};
use crate::refusal::unauthorized_reply;
use crate::response_channel::ResponseSender;
use crate::retry::RunEvidence;
use crate::slot::{UpstreamSlot, notify, place};
use crate::upstream_handle::{UpstreamClient, UpstreamHandle};
use lagoonlift_callers::{ChatUsage, OutcomeReply};
use lagoonlift_policy::{AttemptEnd, EntryEvent};
use lagoonlift_types::{Outcome, RequestId, UsageFigures};
use lagoonlift_upstreams::{
    ChatCall, ConnectionUse, EngineEvent, EngineStream, SendError, StreamError,
};
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

/// Why an attempt ended without a complete response.
enum AttemptFailure {
    Send(SendError),
    Stream(StreamError),
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
            let upstream = slot.upstream();
            let failure = match self.attempt(slot).await {
                Ok(()) => return RelayEnd::Answered,
                Err(AttemptFailure::CallerDisconnected) => return RelayEnd::CallerDisconnected,
                Err(failure) => failure,
            };
            self.history.record_failed_upstream(upstream);
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
        let attempt = self.history.next_attempt();
        if attempt == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, attempt == 1);
        self.response.start_attempt();
        let upstream_handle = Arc::clone(slot.upstream_handle());
        let result = self.send_and_relay(&upstream_handle, &slot).await;
        let end = match &result {
            Ok(()) => AttemptEnd::Completed {
                output_tokens: self.response.delivered(),
            },
            Err(failure) => self.attempt_end(failure, &upstream_handle),
        };
        slot.finish(end);
        result?;
        self.finish().await
    }

    async fn send_and_relay(
        &mut self,
        upstream_handle: &UpstreamHandle,
        slot: &UpstreamSlot,
    ) -> Result<(), AttemptFailure> {
        let UpstreamClient::Engine(client) = &upstream_handle.client else {
            // The policy places requests for models only on engines.
            let error = SendError::NotSent("the upstream isn't an engine".to_owned());
            return Err(AttemptFailure::Send(error));
        };
        if let Some(claim) = &mut self.job.claim {
            claim.mark_sending();
        }
        let sent = client.send_chat(self.engine_call(slot)).await;
        let mut stream = sent.map_err(AttemptFailure::Send)?;
        self.relay_stream(&mut stream).await
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
                upstream_handle.connections().evict_idle();
                self.context.instruments.count_eviction();
                spawn_cancellation(
                    Arc::clone(upstream_handle),
                    self.job.placement_request.request,
                );
                AttemptEnd::UpstreamFailed
            }
            AttemptFailure::Send(_) | AttemptFailure::Stream(_) => AttemptEnd::UpstreamFailed,
        }
    }

    fn engine_call(&self, slot: &UpstreamSlot) -> ChatCall {
        ChatCall {
            request: self.job.placement_request.request,
            attempt: self.history.attempts(),
            priority: slot.priority(),
            body: self.job.engine_body(self.response.delivered()),
            connection: match self.job.placement_request.idempotent {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            },
            header_timeout: self.context.tuning.first_token_timeout,
        }
    }

    async fn relay_stream(&mut self, stream: &mut EngineStream) -> Result<(), AttemptFailure> {
        let mut read_timeout = self.context.tuning.first_token_timeout;
        loop {
            let event = stream
                .next(read_timeout)
                .await
                .map_err(AttemptFailure::Stream)?;
            self.history.record_evidence(RunEvidence::Ran);
            match event {
                EngineEvent::Chunk(text) if self.response.handle_chunk(&text).await? => {
                    self.record_token_time();
                }
                EngineEvent::Chunk(_) => {}
                EngineEvent::End => return Ok(()),
            }
            read_timeout = self.context.tuning.token_gap_timeout;
        }
    }

    fn record_token_time(&mut self) {
        let now = Instant::now();
        let instruments = &self.context.instruments;
        match self.last_token_at.replace(now) {
            Some(last) => instruments.record_token_gap(&self.job.labels, now - last),
            None => {
                instruments.record_first_token(&self.job.labels, now - self.job.arrived);
                let request = self.job.placement_request.request;
                notify(&self.context.admission, EntryEvent::FirstToken { request });
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
