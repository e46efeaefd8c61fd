//! Relays one answer from engines to its caller, over as many attempts as it
//! takes and may take.
//!
//! Idempotent requests go on at another engine, from the last token delivered.
//! Requests that may not be repeated are sent once; only an attempt that
//! certainly ran nothing is followed by another.

use crate::admission::{Placement, PlacementRequest};
use crate::answer::{ChatAnswer, ChunkFailure};
use crate::chat::ChatJob;
use crate::context::EntryContext;
use crate::delivery::AnswerSender;
use crate::history::{AttemptHistory, evidence_of};
use crate::link::{UpstreamClient, UpstreamLink};
use crate::refusal::unauthorized_reply;
use crate::retry::RunEvidence;
use crate::slot::{UpstreamSlot, notify, place};
use lagoonlift_callers::{ChatUsage, OutcomeReply};
use lagoonlift_policy::{AttemptEnd, EntryEvent};
use lagoonlift_types::{Outcome, RequestId, UsageFigures};
use lagoonlift_upstreams::{
    ChatCall, ConnectionUse, EngineEvent, EngineStream, SendError, StreamError,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for an engine to confirm a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Relays one answer.
pub(crate) struct ChatRelay {
    context: Arc<EntryContext>,
    job: ChatJob,
    answer: ChatAnswer,
    history: AttemptHistory,
    last_token_at: Option<Instant>,
}

/// How a request ended.
enum RelayEnd {
    Answered,
    Refused(OutcomeReply),
    CallerLeft,
}

/// Why an attempt ended without a whole answer.
enum AttemptFailure {
    Send(SendError),
    Stream(StreamError),
    CallerLeft,
}

impl From<ChunkFailure> for AttemptFailure {
    fn from(failure: ChunkFailure) -> Self {
        match failure {
            ChunkFailure::Stream(error) => Self::Stream(error),
            ChunkFailure::CallerLeft => Self::CallerLeft,
        }
    }
}

impl ChatRelay {
    pub(crate) fn new(context: Arc<EntryContext>, job: ChatJob, sender: AnswerSender) -> Self {
        Self {
            context,
            answer: ChatAnswer::new(job.shape.clone(), sender),
            job,
            history: AttemptHistory::new(),
            last_token_at: None,
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        let caller = self.answer.caller();
        let end = tokio::select! {
            biased;
            () = caller.cancelled() => RelayEnd::CallerLeft,
            end = self.run_attempts() => end,
        };
        match end {
            RelayEnd::Answered => {}
            RelayEnd::Refused(reply) => self.refuse(reply).await,
            RelayEnd::CallerLeft => {
                self.record_partial().await;
                self.count(&Outcome::Failed);
            }
        }
    }

    async fn run_attempts(&mut self) -> RelayEnd {
        loop {
            let slot = match self.next_slot().await {
                Ok(slot) => slot,
                Err(reply) => return RelayEnd::Refused(reply),
            };
            if !self.is_still_admitted() {
                return RelayEnd::Refused(unauthorized_reply());
            }
            let upstream = slot.upstream();
            let failure = match self.attempt(slot).await {
                Ok(()) => return RelayEnd::Answered,
                Err(AttemptFailure::CallerLeft) => return RelayEnd::CallerLeft,
                Err(failure) => failure,
            };
            self.history.avoid(upstream);
            if let Err(reply) = self.prepare_repeat(&failure).await {
                return RelayEnd::Refused(reply);
            }
        }
    }

    /// A key may have been withdrawn while the request was queued. Work that
    /// has run goes on.
    fn is_still_admitted(&self) -> bool {
        let directory = self.context.directory.load();
        let is_admitted = directory.admits(&self.job.key, &self.job.facts.workspace);
        self.history.evidence() != RunEvidence::NotRun || is_admitted
    }

    async fn next_slot(&mut self) -> Result<UpstreamSlot, OutcomeReply> {
        let avoid = self.history.avoided();
        match place(&self.context.admission, self.facts(), avoid).await {
            Placement::Dispatch(slot) => Ok(slot),
            Placement::Refuse {
                reason,
                retry_after,
            } => Err(self.history.give_up(reason, retry_after)),
        }
    }

    fn facts(&self) -> PlacementRequest {
        let delivered = self.answer.delivered();
        let facts = self.job.facts.clone();
        PlacementRequest {
            prompt_tokens: facts.prompt_tokens + delivered,
            max_output_tokens: facts.max_output_tokens.saturating_sub(delivered),
            ..facts
        }
    }

    async fn attempt(&mut self, slot: UpstreamSlot) -> Result<(), AttemptFailure> {
        let attempt = self.history.begin();
        if attempt == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, attempt == 1);
        self.answer.begin_attempt();
        let link = Arc::clone(slot.link());
        let result = self.send_and_relay(&link, &slot).await;
        let end = match &result {
            Ok(()) => AttemptEnd::Completed {
                output_tokens: self.answer.delivered(),
            },
            Err(failure) => self.attempt_end(failure, &link),
        };
        slot.finish(end);
        result?;
        self.finish().await
    }

    async fn send_and_relay(
        &mut self,
        link: &UpstreamLink,
        slot: &UpstreamSlot,
    ) -> Result<(), AttemptFailure> {
        let UpstreamClient::Engine(client) = &link.client else {
            // The policy places models on engines only.
            let error = SendError::NotSent("the upstream is no engine".to_owned());
            return Err(AttemptFailure::Send(error));
        };
        if let Some(claim) = &mut self.job.claim {
            claim.note_sending();
        }
        let sent = client.send_chat(self.call(slot)).await;
        let mut stream = sent.map_err(AttemptFailure::Send)?;
        self.relay_stream(&mut stream).await
    }

    fn attempt_end(&self, failure: &AttemptFailure, link: &Arc<UpstreamLink>) -> AttemptEnd {
        match failure {
            AttemptFailure::CallerLeft => AttemptEnd::Cancelled,
            AttemptFailure::Send(SendError::Busy { .. }) => AttemptEnd::Busy,
            AttemptFailure::Send(SendError::Silent(_))
            | AttemptFailure::Stream(StreamError::Silent(_)) => {
                link.connections().evict();
                self.context.instruments.count_eviction();
                spawn_cancel(Arc::clone(link), self.job.facts.request);
                AttemptEnd::UpstreamFailed
            }
            AttemptFailure::Send(_) | AttemptFailure::Stream(_) => AttemptEnd::UpstreamFailed,
        }
    }

    fn call(&self, slot: &UpstreamSlot) -> ChatCall {
        ChatCall {
            request: self.job.facts.request,
            attempt: self.history.attempts(),
            priority: slot.priority(),
            body: self.job.engine_body(self.answer.delivered()),
            connection: match self.job.facts.idempotent {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            },
            head_limit: self.context.tuning.first_token_limit,
        }
    }

    async fn relay_stream(&mut self, stream: &mut EngineStream) -> Result<(), AttemptFailure> {
        let mut limit = self.context.tuning.first_token_limit;
        loop {
            let event = stream.next(limit).await.map_err(AttemptFailure::Stream)?;
            self.history.note(RunEvidence::Ran);
            match event {
                EngineEvent::Chunk(text) if self.answer.take_chunk(&text).await? => {
                    self.time_token();
                }
                EngineEvent::Chunk(_) => {}
                EngineEvent::End => return Ok(()),
            }
            limit = self.context.tuning.token_gap_limit;
        }
    }

    fn time_token(&mut self) {
        let now = Instant::now();
        let instruments = &self.context.instruments;
        match self.last_token_at.replace(now) {
            Some(last) => instruments.time_token_gap(&self.job.labels, now - last),
            None => {
                instruments.time_first_token(&self.job.labels, now - self.job.arrived);
                let request = self.job.facts.request;
                notify(&self.context.admission, EntryEvent::FirstToken { request });
            }
        }
    }

    /// Sends what ends the answer, after its usage has been recorded.
    async fn finish(&mut self) -> Result<(), AttemptFailure> {
        let usage = self.answer.usage();
        self.record(&usage).await;
        self.end_claim(&Outcome::Answered).await;
        self.count(&Outcome::Answered);
        let finished = self.answer.finish(usage).await;
        // Counted and billed: a caller that leaves now changes nothing.
        finished.or(Ok(()))
    }

    async fn record(&mut self, usage: &ChatUsage) {
        if let Some(charge) = self.job.charge.take() {
            charge.settle(usage.prompt_tokens, usage.completion_tokens);
        }
        let figures = UsageFigures {
            requests: 1,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
        };
        let facts = &self.job.facts;
        self.context
            .record_usage(facts.request, &facts.workspace, &self.job.class, figures)
            .await;
    }

    /// Records the tokens of an answer that wasn't finished.
    async fn record_partial(&mut self) {
        if self.answer.delivered() > 0 {
            let usage = self.answer.usage();
            self.record(&usage).await;
        }
    }

    async fn prepare_repeat(&mut self, failure: &AttemptFailure) -> Result<(), OutcomeReply> {
        let error = match failure {
            AttemptFailure::Send(error) => Some(error),
            AttemptFailure::Stream(_) | AttemptFailure::CallerLeft => None,
        };
        self.history
            .note(error.map_or(RunEvidence::MayHaveRun, evidence_of));
        if let (RunEvidence::NotRun, Some(claim)) = (self.history.evidence(), &mut self.job.claim) {
            claim.note_not_run();
        }
        let is_resume = self.answer.delivered() > 0;
        let wait = match error {
            // A request that one engine finds wrong, every engine finds wrong.
            Some(SendError::Status { status, .. }) if status.is_client_error() => None,
            _ => {
                let facts = &self.job.facts;
                self.history.next_wait(&self.context, facts, is_resume)
            }
        };
        let wait = wait.ok_or_else(|| self.history.give_up_after(error))?;
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
        self.record_partial().await;
        self.end_claim(&reply.outcome).await;
        self.count(&reply.outcome);
        self.answer.fail(reply).await;
    }

    fn count(&self, outcome: &Outcome) {
        let job = &self.job;
        self.context
            .count_end(&job.facts, &job.labels, outcome.kind(), job.arrived);
    }
}

/// Tells an engine to stop a request whose connection is given up.
fn spawn_cancel(link: Arc<UpstreamLink>, request: RequestId) {
    tokio::spawn(async move {
        let UpstreamClient::Engine(client) = &link.client else {
            return;
        };
        if let Err(error) = client.cancel(request, CANCEL_LIMIT).await {
            tracing::debug!(%request, %error, "the engine can't be told to cancel");
        }
    });
}
