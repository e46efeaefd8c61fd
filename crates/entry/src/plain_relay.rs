//! Relays one response of a plain service to its caller.
//!
//! A service can't resume, so a response that has started is never retried. A
//! silent service may go on, so its call is kept until the deadline; if the
//! request may be repeated, a second call is made, and the first answer counts.
//! A non-idempotent request is completed even if its caller disconnects: aborting
//! it would only make its outcome unknown.

use crate::admission::Placement;
use crate::context::EntryContext;
use crate::history::{AttemptHistory, run_evidence};
use crate::plain::PlainJob;
use crate::refusal::unauthorized_reply;
use crate::response_channel::{CallerDisconnected, ResponseSender, outcome_header_value};
use crate::retry::RunEvidence;
use crate::slot::{UpstreamSlot, place, place_replacement};
use crate::upstream_handle::UpstreamClient;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::StatusCode;
use lagoonlift_callers::{OUTCOME_HEADER, OutcomeReply};
use lagoonlift_policy::AttemptEnd;
use lagoonlift_types::{Outcome, OutcomeKind, UsageFigures};
use lagoonlift_upstreams::{ConnectionUse, SendError, ServiceCall, ServiceResponse, StreamError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest time for which a request may be at a silent service a second time.
const MAX_OVERLAP: Duration = Duration::from_secs(1);

/// A response whose head has arrived, with its slot at the service.
type Answer = (ServiceResponse, UpstreamSlot);

/// A call whose response is waited for.
type SentCall = BoxFuture<'static, Result<ServiceResponse, SendError>>;

/// Result of a second call to a silent service.
enum Repetition {
    /// The second call was answered.
    Answered(Answer),
    /// The first call was answered, or failed.
    Needless(Result<ServiceResponse, SendError>),
    /// The first call is still waited for.
    Failed,
}

/// Relays one response of a plain service.
pub(crate) struct PlainRelay {
    context: Arc<EntryContext>,
    job: PlainJob,
    sender: ResponseSender,
    history: AttemptHistory,
}

/// How a request ended.
enum PlainEnd {
    Answered(OutcomeKind),
    Refused(OutcomeReply),
    /// The response had started and was interrupted.
    Interrupted(StreamError),
    CallerDisconnected,
}

impl PlainRelay {
    pub(crate) fn new(context: Arc<EntryContext>, job: PlainJob, sender: ResponseSender) -> Self {
        Self {
            context,
            job,
            sender,
            history: AttemptHistory::new(),
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        let disconnect_token = self.sender.disconnect_token();
        let is_idempotent = self.job.placement_request.idempotent;
        let end = tokio::select! {
            biased;
            () = disconnect_token.cancelled(), if is_idempotent => PlainEnd::CallerDisconnected,
            end = self.run_attempts() => end,
        };
        match end {
            PlainEnd::Answered(kind) => self.count_outcome(kind),
            PlainEnd::Refused(reply) => {
                self.end_claim(&reply.outcome).await;
                self.count_outcome(reply.outcome.kind());
                self.sender.fail(reply).await;
            }
            PlainEnd::Interrupted(error) => {
                // A body has no place for an error, so the connection is
                // aborted. Otherwise the caller would take the partial body for
                // a complete one.
                tracing::debug!(%error, "the service's response was interrupted");
                self.end_claim(&Outcome::Failed).await;
                self.count_outcome(OutcomeKind::Failed);
                self.sender.abort().await;
            }
            PlainEnd::CallerDisconnected => self.count_outcome(OutcomeKind::Failed),
        }
    }

    async fn run_attempts(&mut self) -> PlainEnd {
        loop {
            let slot = match self.next_slot().await {
                Ok(slot) => slot,
                Err(reply) => return PlainEnd::Refused(reply),
            };
            if !self.is_still_authorized() {
                return PlainEnd::Refused(unauthorized_reply());
            }
            let error = match self.attempt(slot).await {
                Ok((response, slot)) => return self.relay(response, slot).await,
                Err(error) => error,
            };
            if let Err(reply) = self.prepare_retry(&error).await {
                return PlainEnd::Refused(reply);
            }
        }
    }

    fn is_still_authorized(&self) -> bool {
        let directory = self.context.directory.load();
        let authorizes = |key| directory.authorizes(key, &self.job.workspace);
        let is_authorized = self.job.key.as_ref().is_none_or(authorizes);
        self.history.evidence() != RunEvidence::NotRun || is_authorized
    }

    async fn next_slot(&mut self) -> Result<UpstreamSlot, OutcomeReply> {
        // A route has a single service, so no upstream is avoided and the list
        // stays empty.
        let avoid = self.history.upstreams_to_avoid();
        match place(
            &self.context.admission,
            self.job.placement_request.clone(),
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

    /// Sends the request and waits for the head of a response until the deadline.
    async fn attempt(&mut self, slot: UpstreamSlot) -> Result<Answer, SendError> {
        if let Some(claim) = &mut self.job.claim {
            claim.mark_sending();
        }
        let deadline = self.job.placement_request.deadline;
        let mut sent = self.send(deadline.saturating_duration_since(Instant::now()), &slot);
        let silence_limit = self.context.tuning.service_timeout;
        loop {
            match timeout(silence_limit, &mut sent).await {
                Ok(Ok(response)) => return Ok((response, slot)),
                Ok(Err(error)) => return Err(self.end_attempt(slot, error)),
                Err(_) => {}
            }
            match self.repeat(&mut sent).await {
                Repetition::Answered(answer) => {
                    drop(sent);
                    self.evict_idle(&slot);
                    slot.finish(AttemptEnd::UpstreamFailed);
                    return Ok(answer);
                }
                Repetition::Needless(Ok(response)) => return Ok((response, slot)),
                Repetition::Needless(Err(error)) => return Err(self.end_attempt(slot, error)),
                Repetition::Failed => {}
            }
        }
    }

    /// Sends the request again while the service is silent on the first connection.
    async fn repeat(&mut self, silent: &mut SentCall) -> Repetition {
        let placement_request = self.job.placement_request.clone();
        let delay = self
            .history
            .replacement_delay(&self.context, &placement_request, false);
        let Some(delay) = delay else {
            return Repetition::Failed;
        };
        let context = Arc::clone(&self.context);
        let avoid = self.history.upstreams_to_avoid();
        let placement = async move {
            tokio::time::sleep(delay).await;
            place_replacement(&context.admission, placement_request, avoid, None).await
        };
        let slot = tokio::select! {
            biased;
            response = &mut *silent => return Repetition::Needless(response),
            slot = placement => slot,
        };
        let Some(slot) = slot.filter(|_| self.context.try_take_retry(false)) else {
            return Repetition::Failed;
        };
        let mut sent = self.send(MAX_OVERLAP, &slot);
        self.history.record_evidence(RunEvidence::MayHaveRun);
        let response = tokio::select! {
            biased;
            response = &mut *silent => return Repetition::Needless(response),
            response = &mut sent => response,
        };
        match response {
            Ok(response) if is_answer(response.status()) => Repetition::Answered((response, slot)),
            Ok(_) => Repetition::Failed,
            Err(error) => {
                self.history.record_evidence(run_evidence(&error));
                // The first call goes on, so nothing is known about the service.
                slot.finish(AttemptEnd::Cancelled);
                Repetition::Failed
            }
        }
    }

    fn end_attempt(&self, slot: UpstreamSlot, error: SendError) -> SendError {
        if let SendError::Timeout(_) = &error {
            self.evict_idle(&slot);
        }
        slot.finish(attempt_end(&error));
        error
    }

    fn evict_idle(&self, slot: &UpstreamSlot) {
        slot.upstream_handle().connections().evict_idle();
        self.context.instruments.count_eviction();
    }

    /// Creates the next call to the service, which is sent when it is waited for.
    fn send(&mut self, header_timeout: Duration, slot: &UpstreamSlot) -> SentCall {
        let attempt = self.history.next_attempt();
        if attempt == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, attempt == 1);
        let job = &self.job;
        let call = ServiceCall {
            request: job.placement_request.request,
            attempt,
            method: job.method.clone(),
            path: job.service_path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
            connection: match job.placement_request.idempotent {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            },
            header_timeout,
        };
        let upstream_handle = Arc::clone(slot.upstream_handle());
        let sent = async move {
            match &upstream_handle.client {
                UpstreamClient::Service(client) => client.send(call).await,
                // The policy places requests of routes only on services.
                UpstreamClient::Engine(_) => Err(SendError::NotSent(
                    "the upstream isn't a plain service".to_owned(),
                )),
            }
        };
        sent.boxed()
    }

    async fn relay(&mut self, mut response: ServiceResponse, slot: UpstreamSlot) -> PlainEnd {
        let kind = match response.status().is_server_error() {
            true => OutcomeKind::Failed,
            false => OutcomeKind::Answered,
        };
        let mut headers = response.headers();
        headers.insert(OUTCOME_HEADER, outcome_header_value(kind));
        self.sender.start(response.status(), headers);
        let relayed = self.relay_chunks(&mut response, kind).await;
        let end = match &relayed {
            Ok(()) => AttemptEnd::Completed { output_tokens: 0 },
            Err(PlainEnd::Interrupted(_)) => AttemptEnd::UpstreamFailed,
            Err(_) => AttemptEnd::Cancelled,
        };
        slot.finish(end);
        match relayed {
            Ok(()) => PlainEnd::Answered(kind),
            Err(end) => end,
        }
    }

    /// Sends each chunk when the next one has arrived, so that the last chunk
    /// is held back until the usage is recorded.
    async fn relay_chunks(
        &mut self,
        response: &mut ServiceResponse,
        kind: OutcomeKind,
    ) -> Result<(), PlainEnd> {
        let deadline = self.job.placement_request.deadline;
        let mut last_chunk: Option<Bytes> = None;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            // Nothing can replace the response, so it is given up only after the
            // deadline.
            let read_timeout = self.context.tuning.service_timeout.max(time_left);
            let chunk = response.next(read_timeout).await;
            let Some(chunk) = chunk.map_err(PlainEnd::Interrupted)? else {
                break;
            };
            if let Some(chunk) = last_chunk.replace(chunk) {
                self.send_chunk(chunk).await?;
            }
        }
        self.settle_usage().await;
        self.end_claim(match kind {
            OutcomeKind::Answered => &Outcome::Answered,
            _ => &Outcome::Failed,
        })
        .await;
        match last_chunk {
            Some(chunk) => self.send_chunk(chunk).await,
            None => Ok(()),
        }
    }

    async fn send_chunk(&mut self, chunk: Bytes) -> Result<(), PlainEnd> {
        let sent = self.sender.send(chunk).await;
        match sent {
            Ok(()) => Ok(()),
            // The service's response is still read to its end, but discarded.
            Err(CallerDisconnected) if !self.job.placement_request.idempotent => Ok(()),
            Err(CallerDisconnected) => Err(PlainEnd::CallerDisconnected),
        }
    }

    async fn settle_usage(&mut self) {
        if let Some(charge) = self.job.charge.take() {
            charge.settle(0, 0);
        }
        let figures = UsageFigures {
            requests: 1,
            ..UsageFigures::default()
        };
        let job = &self.job;
        self.context
            .record_usage(
                job.placement_request.request,
                &job.workspace,
                &job.class,
                figures,
            )
            .await;
    }

    async fn prepare_retry(&mut self, error: &SendError) -> Result<(), OutcomeReply> {
        self.history.record_evidence(run_evidence(error));
        if let (RunEvidence::NotRun, Some(claim)) = (self.history.evidence(), &mut self.job.claim) {
            claim.mark_not_run();
        }
        let wait = self
            .history
            .retry_delay(&self.context, &self.job.placement_request, false);
        let wait = wait.ok_or_else(|| self.history.final_reply_after(Some(error)))?;
        tokio::time::sleep(wait).await;
        Ok(())
    }

    async fn end_claim(&mut self, outcome: &Outcome) {
        if let Some(claim) = self.job.claim.take() {
            claim.end(outcome).await;
        }
    }

    fn count_outcome(&self, kind: OutcomeKind) {
        let job = &self.job;
        self.context
            .count_end(&job.placement_request, &job.labels, kind, job.arrived);
    }
}

/// Returns whether a response replaces one that may still arrive.
fn is_answer(status: StatusCode) -> bool {
    !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS
}

fn attempt_end(error: &SendError) -> AttemptEnd {
    match error {
        SendError::Busy { .. } => AttemptEnd::Busy,
        SendError::NotSent(_)
        | SendError::Status { .. }
        | SendError::ConnectionLost(_)
        | SendError::Timeout(_) => AttemptEnd::UpstreamFailed,
    }
}
