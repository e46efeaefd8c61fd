//! Relays one answer of a plain service to its caller.
//!
//! A service can't resume, so an answer that has begun is never repeated. Work
//! that may not be repeated is finished even when its caller leaves: cutting it
//! would only make its outcome unknown.

use crate::admission::Placement;
use crate::context::EntryContext;
use crate::delivery::{AnswerSender, CallerLeft, outcome_value};
use crate::history::{AttemptHistory, evidence_of};
use crate::link::UpstreamClient;
use crate::plain::PlainJob;
use crate::refusal::unauthorized_reply;
use crate::retry::RunEvidence;
use crate::slot::{UpstreamSlot, place};
use bytes::Bytes;
use lagoonlift_callers::{OUTCOME_HEADER, OutcomeReply};
use lagoonlift_policy::AttemptEnd;
use lagoonlift_types::{Outcome, OutcomeKind, UsageFigures};
use lagoonlift_upstreams::{
    ConnectionUse, SendError, ServiceAnswer, ServiceCall, ServiceClient, StreamError,
};
use std::sync::Arc;
use tokio::time::Instant;

/// Relays one answer of a plain service.
pub(crate) struct PlainRelay {
    context: Arc<EntryContext>,
    job: PlainJob,
    sender: AnswerSender,
    history: AttemptHistory,
}

/// How a request ended.
enum PlainEnd {
    Answered(OutcomeKind),
    Refused(OutcomeReply),
    /// The answer had begun and broke off.
    Cut(StreamError),
    CallerLeft,
}

impl PlainRelay {
    pub(crate) fn new(context: Arc<EntryContext>, job: PlainJob, sender: AnswerSender) -> Self {
        Self {
            context,
            job,
            sender,
            history: AttemptHistory::new(),
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        let caller = self.sender.caller();
        let is_idempotent = self.job.facts.idempotent;
        let end = tokio::select! {
            biased;
            () = caller.cancelled(), if is_idempotent => PlainEnd::CallerLeft,
            end = self.run_attempts() => end,
        };
        match end {
            PlainEnd::Answered(kind) => self.count(kind),
            PlainEnd::Refused(reply) => {
                self.end_claim(&reply.outcome).await;
                self.count(reply.outcome.kind());
                self.sender.fail(reply).await;
            }
            PlainEnd::Cut(error) => {
                // The body has no place for an error: the connection is broken
                // off, so that the caller doesn't take the part for the whole.
                tracing::debug!(%error, "a service's answer broke off");
                self.end_claim(&Outcome::Failed).await;
                self.count(OutcomeKind::Failed);
                self.sender.cut().await;
            }
            PlainEnd::CallerLeft => self.count(OutcomeKind::Failed),
        }
    }

    async fn run_attempts(&mut self) -> PlainEnd {
        loop {
            let slot = match self.next_slot().await {
                Ok(slot) => slot,
                Err(reply) => return PlainEnd::Refused(reply),
            };
            if !self.is_still_admitted() {
                return PlainEnd::Refused(unauthorized_reply());
            }
            let error = match self.attempt(&slot).await {
                Ok(answer) => return self.relay(answer, slot).await,
                Err(error) => error,
            };
            slot.finish(attempt_end(&error));
            if let Err(reply) = self.prepare_repeat(&error).await {
                return PlainEnd::Refused(reply);
            }
        }
    }

    fn is_still_admitted(&self) -> bool {
        let directory = self.context.directory.load();
        let admits = |key| directory.admits(key, &self.job.workspace);
        let is_admitted = self.job.key.as_ref().is_none_or(admits);
        self.history.evidence() != RunEvidence::NotRun || is_admitted
    }

    async fn next_slot(&mut self) -> Result<UpstreamSlot, OutcomeReply> {
        // A route has one service, so there is none to go to instead.
        let avoid = self.history.avoided();
        match place(&self.context.admission, self.job.facts.clone(), avoid).await {
            Placement::Dispatch(slot) => Ok(slot),
            Placement::Refuse {
                reason,
                retry_after,
            } => Err(self.history.give_up(reason, retry_after)),
        }
    }

    async fn attempt(&mut self, slot: &UpstreamSlot) -> Result<ServiceAnswer, SendError> {
        let attempt = self.history.begin();
        if attempt == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, attempt == 1);
        let link = Arc::clone(slot.link());
        let UpstreamClient::Service(client) = &link.client else {
            // The policy places routes on services only.
            return Err(SendError::NotSent("the upstream is no service".to_owned()));
        };
        if let Some(claim) = &mut self.job.claim {
            claim.note_sending();
        }
        let answer = self.send(client).await;
        if let Err(SendError::Silent(_)) = &answer {
            link.connections().evict();
            instruments.count_eviction();
        }
        answer
    }

    async fn send(&self, client: &ServiceClient) -> Result<ServiceAnswer, SendError> {
        let job = &self.job;
        let left = job.facts.deadline.saturating_duration_since(Instant::now());
        let call = ServiceCall {
            request: job.facts.request,
            attempt: self.history.attempts(),
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
            connection: match job.facts.idempotent {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            },
            head_limit: self.context.tuning.service_limit.min(left),
        };
        client.send(call).await
    }

    async fn relay(&mut self, mut answer: ServiceAnswer, slot: UpstreamSlot) -> PlainEnd {
        let kind = match answer.status().is_server_error() {
            true => OutcomeKind::Failed,
            false => OutcomeKind::Answered,
        };
        let mut headers = answer.headers();
        headers.insert(OUTCOME_HEADER, outcome_value(kind));
        self.sender.begin(answer.status(), headers);
        let relayed = self.relay_parts(&mut answer, kind).await;
        let end = match &relayed {
            Ok(()) => AttemptEnd::Completed { output_tokens: 0 },
            Err(PlainEnd::Cut(_)) => AttemptEnd::UpstreamFailed,
            Err(_) => AttemptEnd::Cancelled,
        };
        slot.finish(end);
        match relayed {
            Ok(()) => PlainEnd::Answered(kind),
            Err(end) => end,
        }
    }

    /// Sends each part when the next one has come, so that the last one is
    /// held until the usage is recorded.
    async fn relay_parts(
        &mut self,
        answer: &mut ServiceAnswer,
        kind: OutcomeKind,
    ) -> Result<(), PlainEnd> {
        let limit = self.context.tuning.service_limit;
        let mut held: Option<Bytes> = None;
        while let Some(part) = answer.next(limit).await.map_err(PlainEnd::Cut)? {
            if let Some(part) = held.replace(part) {
                self.send_part(part).await?;
            }
        }
        self.record().await;
        self.end_claim(match kind {
            OutcomeKind::Answered => &Outcome::Answered,
            _ => &Outcome::Failed,
        })
        .await;
        match held {
            Some(part) => self.send_part(part).await,
            None => Ok(()),
        }
    }

    async fn send_part(&mut self, part: Bytes) -> Result<(), PlainEnd> {
        let sent = self.sender.send(part).await;
        match sent {
            Ok(()) => Ok(()),
            // The service is still read to its end, but for nobody.
            Err(CallerLeft) if !self.job.facts.idempotent => Ok(()),
            Err(CallerLeft) => Err(PlainEnd::CallerLeft),
        }
    }

    async fn record(&mut self) {
        if let Some(charge) = self.job.charge.take() {
            charge.settle(0, 0);
        }
        let figures = UsageFigures {
            requests: 1,
            ..UsageFigures::default()
        };
        let job = &self.job;
        self.context
            .record_usage(job.facts.request, &job.workspace, &job.class, figures)
            .await;
    }

    async fn prepare_repeat(&mut self, error: &SendError) -> Result<(), OutcomeReply> {
        self.history.note(evidence_of(error));
        if let (RunEvidence::NotRun, Some(claim)) = (self.history.evidence(), &mut self.job.claim) {
            claim.note_not_run();
        }
        let wait = self
            .history
            .next_wait(&self.context, &self.job.facts, false);
        let wait = wait.ok_or_else(|| self.history.give_up_after(Some(error)))?;
        tokio::time::sleep(wait).await;
        Ok(())
    }

    async fn end_claim(&mut self, outcome: &Outcome) {
        if let Some(claim) = self.job.claim.take() {
            claim.end(outcome).await;
        }
    }

    fn count(&self, kind: OutcomeKind) {
        let job = &self.job;
        self.context
            .count_end(&job.facts, &job.labels, kind, job.arrived);
    }
}

fn attempt_end(error: &SendError) -> AttemptEnd {
    match error {
        SendError::Busy { .. } => AttemptEnd::Busy,
        SendError::NotSent(_)
        | SendError::Status { .. }
        | SendError::Broken(_)
        | SendError::Silent(_) => AttemptEnd::UpstreamFailed,
    }
}
