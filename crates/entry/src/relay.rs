//! Relays one answer from engines to its caller, over as many attempts as it
//! takes and may take.
//!
//! Idempotent requests go on at another engine, from the last token delivered.
//! Requests that may not be repeated are sent once; only an attempt that
//! certainly ran nothing is followed by another.

use crate::admission::{Placement, PlacementRequest};
use crate::chat::ChatJob;
use crate::context::EntryContext;
use crate::cursor::{CursorStep, TokenCursor};
use crate::delivery::{AnswerSender, CallerLeft};
use crate::link::{UpstreamClient, UpstreamLink};
use crate::retry::{RunEvidence, backoff};
use crate::slot::{UpstreamSlot, notify, place};
use bytes::Bytes;
use lagoonlift_callers::{
    AnswerBuilder, ChatChunk, ChatUsage, DONE_EVENT, OutcomeReply, json_event,
};
use lagoonlift_policy::{AttemptEnd, EntryEvent, UpstreamKey};
use lagoonlift_types::{NotRunReason, Outcome, UsageFigures};
use lagoonlift_upstreams::{
    ChatCall, ConnectionUse, EngineClient, EngineEvent, EngineStream, SendError, StreamError,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When a caller may come back after every attempt failed.
const FAILED_RETRY: Duration = Duration::from_secs(1);

/// Longest wait for an engine to confirm a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Relays one answer.
pub(crate) struct ChatRelay {
    context: Arc<EntryContext>,
    job: ChatJob,
    sender: AnswerSender,
    cursor: TokenCursor,
    builder: AnswerBuilder,
    last_chunk: Option<ChatChunk>,
    engine_usage: Option<ChatUsage>,
    evidence: RunEvidence,
    avoid: Vec<UpstreamKey>,
    attempts: u32,
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

impl From<CallerLeft> for AttemptFailure {
    fn from(_: CallerLeft) -> Self {
        Self::CallerLeft
    }
}

impl ChatRelay {
    pub(crate) fn new(context: Arc<EntryContext>, job: ChatJob, sender: AnswerSender) -> Self {
        Self {
            context,
            job,
            sender,
            cursor: TokenCursor::new(),
            builder: AnswerBuilder::new(),
            last_chunk: None,
            engine_usage: None,
            evidence: RunEvidence::NotRun,
            avoid: Vec::new(),
            attempts: 0,
            last_token_at: None,
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        let caller = self.sender.caller();
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
            self.avoid.push(upstream);
            if let Err(reply) = self.prepare_repeat(&failure).await {
                return RelayEnd::Refused(reply);
            }
        }
    }

    /// A key may have been withdrawn while the request was queued. Work that
    /// has run goes on.
    fn is_still_admitted(&self) -> bool {
        let directory = self.context.directory.load();
        let is_admitted = directory.admits(&self.job.key, &self.job.workspace);
        self.evidence != RunEvidence::NotRun || is_admitted
    }

    async fn next_slot(&mut self) -> Result<UpstreamSlot, OutcomeReply> {
        let avoid = (self.attempts > 0).then(|| self.avoid.clone());
        match place(&self.context.admission, self.facts(), avoid).await {
            Placement::Dispatch(slot) => Ok(slot),
            Placement::Refuse {
                reason,
                retry_after,
            } => Err(self.give_up(reason, retry_after)),
        }
    }

    fn facts(&self) -> PlacementRequest {
        let delivered = self.cursor.delivered();
        PlacementRequest {
            prompt_tokens: self.job.facts.prompt_tokens + delivered,
            max_output_tokens: self.job.facts.max_output_tokens.saturating_sub(delivered),
            ..self.job.facts.clone()
        }
    }

    async fn attempt(&mut self, slot: UpstreamSlot) -> Result<(), AttemptFailure> {
        self.attempts += 1;
        self.count_attempt();
        self.cursor.begin_attempt();
        let link = Arc::clone(slot.link());
        let UpstreamClient::Engine(client) = &link.client else {
            // The policy places models on engines only.
            return Err(AttemptFailure::Send(SendError::NotSent(
                "the upstream is no engine".to_owned(),
            )));
        };
        if let Some(claim) = &mut self.job.claim {
            claim.note_sending();
        }
        let result = match client.send_chat(self.call(&slot)).await {
            Ok(mut stream) => self.relay_stream(&mut stream).await,
            Err(error) => Err(AttemptFailure::Send(error)),
        };
        let end = match &result {
            Ok(()) => AttemptEnd::Completed {
                output_tokens: self.cursor.delivered(),
            },
            Err(failure) => self.attempt_end(failure, &link),
        };
        slot.finish(end);
        match result {
            Ok(()) => self.finish().await,
            Err(failure) => Err(failure),
        }
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
            attempt: self.attempts,
            priority: slot.priority(),
            body: self.job.engine_body(self.cursor.delivered()),
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
            self.evidence = RunEvidence::Ran;
            match event {
                EngineEvent::Chunk(text) => self.take_chunk(&text).await?,
                EngineEvent::End => return Ok(()),
            }
            limit = self.context.tuning.token_gap_limit;
        }
    }

    async fn take_chunk(&mut self, text: &Bytes) -> Result<(), AttemptFailure> {
        let malformed = |detail| AttemptFailure::Stream(StreamError::Malformed(detail));
        let mut chunk: ChatChunk =
            serde_json::from_slice(text).map_err(|error| malformed(error.to_string()))?;
        if !self.job.owns_chunk(&chunk) {
            return Err(malformed("a chunk of another request".to_owned()));
        }
        chunk.id = self.job.answer_id();
        if let Some(usage) = chunk.usage.take() {
            self.engine_usage = Some(usage);
        }
        match ChunkKind::of(&chunk) {
            ChunkKind::Last => {
                self.last_chunk = Some(chunk);
                Ok(())
            }
            ChunkKind::Empty => Ok(()),
            ChunkKind::Opening if self.attempts > 1 => Ok(()),
            ChunkKind::Opening => Ok(self.deliver(chunk).await?),
            ChunkKind::Token => match self.cursor.accept(chunk.token_index) {
                CursorStep::Deliver => {
                    self.time_token();
                    Ok(self.deliver(chunk).await?)
                }
                CursorStep::Drop => Ok(()),
                CursorStep::Gap => Err(malformed("tokens are missing".to_owned())),
            },
        }
    }

    async fn deliver(&mut self, chunk: ChatChunk) -> Result<(), CallerLeft> {
        match self.job.wants_stream {
            false => {
                self.builder.push(chunk);
                Ok(())
            }
            true => {
                self.sender.begin_events();
                self.send_event(&chunk).await
            }
        }
    }

    async fn send_event(&mut self, chunk: &ChatChunk) -> Result<(), CallerLeft> {
        // Text that was parsed from JSON can be written as JSON.
        let event = json_event(chunk).map_err(|_| CallerLeft)?;
        self.sender.send(event).await
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
        let usage = self.usage();
        self.record(&usage).await;
        self.end_claim(&Outcome::Answered).await;
        self.count(&Outcome::Answered);
        match self.job.wants_stream {
            true => self.finish_stream(usage).await?,
            false => self.finish_whole(usage).await?,
        }
        Ok(())
    }

    async fn finish_stream(&mut self, usage: ChatUsage) -> Result<(), CallerLeft> {
        self.sender.begin_events();
        if let Some(chunk) = self.last_chunk.take() {
            self.send_event(&chunk).await?;
        }
        if self.job.wants_usage {
            let chunk = ChatChunk {
                id: self.job.answer_id(),
                choices: Vec::new(),
                usage: Some(usage),
                token_index: None,
                extra: self.job.usage_chunk_fields(),
            };
            self.send_event(&chunk).await?;
        }
        self.sender.send(DONE_EVENT).await
    }

    async fn finish_whole(&mut self, usage: ChatUsage) -> Result<(), CallerLeft> {
        if let Some(chunk) = self.last_chunk.take() {
            self.builder.push(chunk);
        }
        let builder = std::mem::take(&mut self.builder);
        let answer = builder.finish(self.job.answer_id(), usage);
        // Text that was parsed from JSON can be written as JSON.
        let text = serde_json::to_vec(&answer).map_err(|_| CallerLeft)?;
        self.sender.begin_json();
        self.sender.send(text.into()).await
    }

    fn usage(&self) -> ChatUsage {
        let read = self.engine_usage.as_ref().map(|usage| usage.prompt_tokens);
        let prompt_tokens = read.unwrap_or(self.job.facts.prompt_tokens);
        ChatUsage::new(prompt_tokens, self.cursor.delivered())
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
        let job = &self.job;
        self.context
            .record_usage(job.facts.request, &job.workspace, &job.class, figures)
            .await;
    }

    /// Records the tokens of an answer that wasn't finished.
    async fn record_partial(&mut self) {
        if self.cursor.delivered() > 0 {
            let usage = self.usage();
            self.record(&usage).await;
        }
    }

    async fn prepare_repeat(&mut self, failure: &AttemptFailure) -> Result<(), OutcomeReply> {
        self.evidence = self.evidence.max(evidence_of(failure));
        if let (RunEvidence::NotRun, Some(claim)) = (self.evidence, &mut self.job.claim) {
            claim.note_not_run();
        }
        let reason = match failure {
            AttemptFailure::Send(SendError::Busy { .. }) => NotRunReason::Overloaded,
            _ => NotRunReason::NoUpstream,
        };
        let retry_after = match failure {
            AttemptFailure::Send(SendError::Busy { retry_after }) => *retry_after,
            _ => None,
        };
        let retry_after = retry_after.unwrap_or(FAILED_RETRY);
        let is_resume = self.cursor.delivered() > 0;
        let wait = match is_resume {
            true => Duration::ZERO,
            false => backoff(self.attempts, rand::random()),
        };
        let may_repeat = self.job.facts.idempotent || self.evidence == RunEvidence::NotRun;
        let is_in_time = Instant::now() + wait < self.job.facts.deadline;
        let permitted = may_repeat
            && is_repeatable(failure)
            && is_in_time
            && self.attempts < self.context.tuning.max_attempts
            && self.context.take_repeat(is_resume);
        if !permitted {
            return Err(self.give_up(reason, retry_after));
        }
        if is_resume {
            self.context.instruments.count_resume(&self.job.labels);
        }
        tokio::time::sleep(wait).await;
        Ok(())
    }

    fn give_up(&self, reason: NotRunReason, retry_after: Duration) -> OutcomeReply {
        match self.evidence {
            RunEvidence::NotRun => {
                OutcomeReply::not_run(reason, Some(retry_after), not_run_message(reason))
            }
            RunEvidence::MayHaveRun => OutcomeReply::new(
                Outcome::Unknown,
                "the upstream didn't answer; the request may have run",
            ),
            RunEvidence::Ran => OutcomeReply::new(Outcome::Failed, "the request ran and failed"),
        }
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
        self.sender.fail(reply).await;
    }

    fn count_attempt(&self) {
        if self.attempts == 1 {
            self.context.count_request();
        }
        let instruments = &self.context.instruments;
        instruments.count_attempt(&self.job.labels, self.attempts == 1);
    }

    fn count(&self, outcome: &Outcome) {
        let took = self.job.arrived.elapsed();
        let instruments = &self.context.instruments;
        instruments.count_outcome(&self.job.labels, outcome.kind(), took);
    }
}

/// What a chunk is for.
enum ChunkKind {
    /// Carries a token.
    Token,
    /// Comes before the first token.
    Opening,
    /// Says why the answer ended.
    Last,
    /// Says nothing about the answer.
    Empty,
}

impl ChunkKind {
    fn of(chunk: &ChatChunk) -> Self {
        let Some(choice) = chunk.choices.first() else {
            return Self::Empty;
        };
        let has_content = choice
            .delta
            .as_ref()
            .is_some_and(|delta| delta.content.as_ref().is_some_and(|text| !text.is_empty()));
        match chunk.token_index {
            Some(_) => Self::Token,
            None if has_content => Self::Token,
            None if choice.finish_reason.is_some() => Self::Last,
            None => Self::Opening,
        }
    }
}

/// Returns what a failed attempt shows about whether it ran.
fn evidence_of(failure: &AttemptFailure) -> RunEvidence {
    match failure {
        AttemptFailure::Send(error) => match error {
            SendError::NotSent(_) | SendError::Busy { .. } => RunEvidence::NotRun,
            SendError::Broken(_) | SendError::Silent(_) => RunEvidence::MayHaveRun,
            SendError::Status { .. } => RunEvidence::Ran,
        },
        AttemptFailure::Stream(_) => RunEvidence::MayHaveRun,
        AttemptFailure::CallerLeft => RunEvidence::NotRun,
    }
}

/// Returns whether another engine may do better: a request that one engine
/// finds wrong, every engine will find wrong.
fn is_repeatable(failure: &AttemptFailure) -> bool {
    match failure {
        AttemptFailure::Send(SendError::Status { status, .. }) => status.is_server_error(),
        AttemptFailure::Send(_) | AttemptFailure::Stream(_) => true,
        AttemptFailure::CallerLeft => false,
    }
}

fn not_run_message(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Overloaded => "the system is overloaded; the request was not run",
        NotRunReason::ShuttingDown => "this host is stopping; the request was not run",
        _ => "no upstream can take the request now; it was not run",
    }
}

pub(crate) fn unauthorized_reply() -> OutcomeReply {
    OutcomeReply::not_run(
        NotRunReason::Unauthorized,
        None,
        "the key is missing, unknown or withdrawn",
    )
}

/// Tells an engine to stop a request whose connection is given up.
fn spawn_cancel(link: Arc<UpstreamLink>, request: lagoonlift_types::RequestId) {
    tokio::spawn(async move {
        if let UpstreamClient::Engine(client) = &link.client {
            cancel(client, request).await;
        }
    });
}

async fn cancel(client: &EngineClient, request: lagoonlift_types::RequestId) {
    if let Err(error) = client.cancel(request, CANCEL_LIMIT).await {
        tracing::debug!(%request, %error, "the engine can't be told to cancel");
    }
}
