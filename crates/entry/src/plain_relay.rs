//! Relays one response of a plain service to its caller.
//!
//! A service can't resume, so a response that has started is never retried. A
//! non-idempotent request is completed even if its caller disconnects: aborting
//! it would only make its outcome unknown.

use crate::admission::Placement;
use crate::context::EntryContext;
use crate::history::{AttemptHistory, run_evidence};
use crate::plain::PlainJob;
use crate::refusal::unauthorized_reply;
use crate::response_channel::{CallerDisconnected, ResponseSender, outcome_header_value};
use crate::retry::RunEvidence;
use crate::slot::{UpstreamSlot, place};
use crate::upstream_handle::UpstreamClient;
use bytes::Bytes;
use lagoonlift_callers::{OUTCOME_HEADER, OutcomeReply};
use lagoonlift_policy::AttemptEnd;
use lagoonlift_types::{Outcome, OutcomeKind, UsageFigures};
use lagoonlift_upstreams::{
    ConnectionUse, SendError, ServiceCall, ServiceClient, ServiceResponse, StreamError,
};
use std::sync::Arc;
use tokio::time::Instant;

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
            let error = match self.attempt(&slot).await {
                Ok(response) => return self.relay(response, slot).await,
                Err(error) => error,
            };
            slot.finish(attempt_end(&error));
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

    async fn attempt(&mut self, slot: &UpstreamSlot) -> Result<ServiceResponse, SendError> {
        let attempt = self.history.next_attempt();
        if attempt == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, attempt == 1);
        let upstream_handle = Arc::clone(slot.upstream_handle());
        let UpstreamClient::Service(client) = &upstream_handle.client else {
            // The policy places requests of routes only on services.
            return Err(SendError::NotSent(
                "the upstream isn't a plain service".to_owned(),
            ));
        };
        if let Some(claim) = &mut self.job.claim {
            claim.mark_sending();
        }
        let response = self.send(client).await;
        if let Err(SendError::Timeout(_)) = &response {
            upstream_handle.connections().evict_idle();
            instruments.count_eviction();
        }
        response
    }

    async fn send(&self, client: &ServiceClient) -> Result<ServiceResponse, SendError> {
        let job = &self.job;
        let time_left = job
            .placement_request
            .deadline
            .saturating_duration_since(Instant::now());
        let call = ServiceCall {
            request: job.placement_request.request,
            attempt: self.history.attempts(),
            method: job.method.clone(),
            path: job.service_path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
            connection: match job.placement_request.idempotent {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            },
            header_timeout: self.context.tuning.service_timeout.min(time_left),
        };
        client.send(call).await
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
        let read_timeout = self.context.tuning.service_timeout;
        let mut last_chunk: Option<Bytes> = None;
        while let Some(chunk) = response
            .next(read_timeout)
            .await
            .map_err(PlainEnd::Interrupted)?
        {
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

fn attempt_end(error: &SendError) -> AttemptEnd {
    match error {
        SendError::Busy { .. } => AttemptEnd::Busy,
        SendError::NotSent(_)
        | SendError::Status { .. }
        | SendError::ConnectionLost(_)
        | SendError::Timeout(_) => AttemptEnd::UpstreamFailed,
    }
}
