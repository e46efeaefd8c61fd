//! Runs one admitted request: chooses upstreams, sends, sends again where that
//! is allowed, and returns the answer or the reason why there is none.

use crate::admit::Admitted;
use crate::clock;
use crate::connection::{PeerKey, call};
use crate::host::Host;
use crate::reply::Refusal;
use crate::send::{Answer, SendOrder, SendOutcome, send};
use bytes::Bytes;
use http::response::Parts;
use lagoonlift_adapter::runner::{
    PromptHandle, UpstreamTask, decode_prompt_handle, release_request,
};
use lagoonlift_policy::dispatch::{AttemptLedger, NextStep, PromptPlan, SendResult};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// When a caller may come back if no upstream had a free place.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// When a caller may come back if no upstream is there at all.
const ABSENT_RETRY: Duration = Duration::from_millis(500);

/// Share of the time left that a prompt's reading is waited for, so that
/// another engine can still read it.
const READ_SHARE: f64 = 0.45;

/// Sends of one prompt's memory; after that the prompt is read anew.
const MEMORY_SENDS: u32 = 2;

/// Time for freeing memory that nobody will take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// How a request ended.
pub(crate) enum RunEnd {
    /// An upstream's whole answer, success or failure.
    Whole(Box<Parts>, Bytes),
    /// The head of an upstream's stream.
    Stream(Box<Answer>),
    /// No answer.
    Refused(Refusal),
}

/// A request on its way to an answer.
pub(crate) struct Run {
    pub(crate) host: Rc<Host>,
    pub(crate) admitted: Rc<Admitted>,
    pub(crate) ledger: AttemptLedger,
    pub(crate) tried: Vec<UpstreamKey>,
    memory: Option<PromptMemory>,
    /// Event after which a broken stream goes on.
    pub(crate) resume_after: Option<u64>,
    last_failure: Option<(Box<Parts>, Bytes)>,
    timed_out: bool,
}

/// Memory of a prompt that was read; freed when it is dropped untaken.
struct PromptMemory {
    host: Rc<Host>,
    handle: PromptHandle,
    reader: UpstreamKey,
    sends: u32,
    is_taken: bool,
}

impl Drop for PromptMemory {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let pool = self.host.pool.clone();
        let peer = PeerKey::Upstream(self.reader);
        let holder = self.handle.holder;
        let request = release_request(&self.handle);
        tokio::task::spawn_local(async move {
            if let Err(error) = call(&pool, peer, holder, request, RELEASE_TIMEOUT).await {
                tracing::debug!(%holder, %error, "memory of a prompt was not freed");
            }
        });
    }
}

impl Run {
    pub(crate) fn new(host: Rc<Host>, admitted: Rc<Admitted>) -> Self {
        let route = &admitted.route;
        host.with_allowance(&admitted.service, |allowance| allowance.earn());
        let ledger = AttemptLedger::new(route.repeat, route.max_upstreams);
        Self {
            host,
            admitted,
            ledger,
            tried: Vec::new(),
            memory: None,
            resume_after: None,
            last_failure: None,
            timed_out: false,
        }
    }

    /// Sends until there is an answer or nothing more may be sent.
    pub(crate) async fn finish(&mut self) -> RunEnd {
        loop {
            if clock::now() >= self.admitted.until {
                self.timed_out = true;
                return self.give_up("timed out");
            }
            let Some(order) = self.next_order().await else {
                return self.give_up("no upstream is free");
            };
            let Some(order) = self.take_allowance(order) else {
                return self.give_up("no repeat is left");
            };
            let step = match self.send(order).await {
                Ok(end) => return end,
                Err(step) => step,
            };
            match step {
                NextStep::SendAgain => {}
                _ => return self.give_up("the upstream failed"),
            }
        }
    }

    /// Chooses the next send; reads the prompt ahead where that is the plan.
    async fn next_order(&mut self) -> Option<SendOrder> {
        if !self.is_prompt() {
            return self.plain_order();
        }
        if let Some(order) = self.memory_order() {
            return Some(order);
        }
        for _ in 0..2 {
            match self.prompt_plan()? {
                PromptPlan::Whole(upstream) => return Some(self.whole_order(upstream)),
                PromptPlan::ReadAhead(reader) => self.read_ahead(reader).await,
            }
            if let Some(order) = self.memory_order() {
                return Some(order);
            }
        }
        self.decoder_order()
    }

    fn is_prompt(&self) -> bool {
        let request = &self.admitted.outgoing.request;
        self.admitted.route.has_prompt && request.prompt.tokens_in > 0
    }

    fn plain_order(&self) -> Option<SendOrder> {
        let table = self.host.table.borrow();
        let service = &self.admitted.service;
        let (now, tie) = (clock::now(), rand::rng().random());
        let placement = &self.host.placement;
        let untried = placement.plain(&table, service, &self.tried, now, tie);
        let upstream = untried.or_else(|| placement.plain(&table, service, &[], now, tie))?;
        Some(self.order(upstream, UpstreamTask::Run, 0))
    }

    fn prompt_plan(&self) -> Option<PromptPlan> {
        let table = self.host.table.borrow();
        let prompt = &self.admitted.outgoing.request.prompt;
        let service = &self.admitted.service;
        let placement = &self.host.placement;
        placement.prompt(&table, service, prompt, &self.tried, clock::now())
    }

    /// Sends the prompt whole to an engine that generates, tried or not.
    fn decoder_order(&self) -> Option<SendOrder> {
        self.plain_order()
    }

    fn whole_order(&self, upstream: UpstreamKey) -> SendOrder {
        let tokens = self.admitted.outgoing.request.prompt.tokens_in;
        self.order(upstream, UpstreamTask::Run, u64::from(tokens))
    }

    fn memory_order(&mut self) -> Option<SendOrder> {
        let memory = self.memory.as_mut()?;
        if memory.sends >= MEMORY_SENDS {
            self.memory = None;
            return None;
        }
        memory.sends += 1;
        let (reader, handle) = (memory.reader, memory.handle.clone());
        let table = self.host.table.borrow();
        let service = &self.admitted.service;
        let (now, tie) = (clock::now(), rand::rng().random());
        let placement = &self.host.placement;
        let upstream = placement.generator(&table, service, reader, &self.tried, now, tie)?;
        Some(self.order(upstream, UpstreamTask::RunFrom(handle), 0))
    }

    fn order(&self, upstream: UpstreamKey, task: UpstreamTask, reading_tokens: u64) -> SendOrder {
        SendOrder {
            upstream,
            task,
            resume_after: self.resume_after,
            reading_tokens,
            caller_until: self.admitted.until,
            until: self.admitted.until,
        }
    }

    /// Has a prompt read; on success its memory is at hand afterwards.
    async fn read_ahead(&mut self, reader: UpstreamKey) {
        let tokens = self.admitted.outgoing.request.prompt.tokens_in;
        let mut order = self.order(reader, UpstreamTask::ReadPrompt, u64::from(tokens));
        order.until = self.read_until();
        let Some(order) = self.take_allowance(order) else {
            self.tried.push(reader);
            return;
        };
        let outcome = send(&self.host, &self.admitted.outgoing, order).await;
        let result = match outcome {
            SendOutcome::Answered(answer) if answer.head.status.is_success() => {
                match self.take_memory(reader, answer).await {
                    true => return self.ledger.note_read(),
                    false => SendResult::Unknown,
                }
            }
            SendOutcome::NotSent(_) => {
                self.put_back();
                SendResult::NotSent
            }
            SendOutcome::NotRun => SendResult::NotRun,
            _ => SendResult::Unknown,
        };
        self.tried.push(reader);
        self.ledger.note_failed_read(result);
    }

    fn read_until(&self) -> Timestamp {
        let now = clock::now();
        now + self.admitted.until.since(now).mul_f64(READ_SHARE)
    }

    async fn take_memory(&mut self, reader: UpstreamKey, answer: Box<Answer>) -> bool {
        let holder = {
            let table = self.host.table.borrow();
            table.get(reader).map(|one| one.record.address)
        };
        let body = answer.read_whole().await;
        let handle = match (holder, &body) {
            (Some(holder), Ok((_, body))) => decode_prompt_handle(holder, body),
            _ => None,
        };
        self.memory = handle.map(|handle| PromptMemory {
            host: Rc::clone(&self.host),
            handle,
            reader,
            sends: 0,
            is_taken: false,
        });
        self.memory.is_some()
    }

    /// Takes a repeat from the allowance if the send is one.
    fn take_allowance(&self, order: SendOrder) -> Option<SendOrder> {
        let is_repeat = self.ledger.next_is_repeat();
        let is_allowed = !is_repeat
            || self
                .host
                .with_allowance(&self.admitted.service, |allowance| allowance.take());
        is_allowed.then_some(order)
    }

    fn put_back(&self) {
        if self.ledger.next_is_repeat() {
            self.host
                .with_allowance(&self.admitted.service, |allowance| allowance.put_back());
        }
    }

    async fn send(&mut self, order: SendOrder) -> Result<RunEnd, NextStep> {
        let upstream = order.upstream;
        let takes_memory = matches!(order.task, UpstreamTask::RunFrom(_));
        let outcome = send(&self.host, &self.admitted.outgoing, order).await;
        self.tried.push(upstream);
        let reached = !matches!(outcome, SendOutcome::NotSent(_) | SendOutcome::NotRun);
        if let (true, true, Some(memory)) = (takes_memory, reached, self.memory.as_mut()) {
            memory.is_taken = true;
            self.memory = None;
        }
        let result = match outcome {
            SendOutcome::Answered(answer) => match self.take_answer(answer).await {
                Ok(end) => return Ok(end),
                Err(result) => result,
            },
            SendOutcome::NotSent(detail) => {
                tracing::debug!(detail, "not sent");
                self.put_back();
                SendResult::NotSent
            }
            SendOutcome::NotRun => SendResult::NotRun,
            SendOutcome::TimedOut => {
                self.timed_out = true;
                SendResult::Unknown
            }
            SendOutcome::Lost(detail) => {
                tracing::info!(
                    request = self.admitted.outgoing.request.id,
                    detail,
                    "answer lost"
                );
                SendResult::Unknown
            }
        };
        Err(self.ledger.note(result))
    }

    /// Takes in an answer whose head is sound; an `Err` says what it proves if
    /// it can't be passed on, or needn't be yet.
    async fn take_answer(&mut self, answer: Box<Answer>) -> Result<RunEnd, SendResult> {
        let status = answer.head.status;
        let is_signed = answer.head.is_signed;
        match is_signed {
            true if status.is_success() && self.admitted.route.repeat.is_stream() => {
                return Ok(RunEnd::Stream(answer));
            }
            true => {}
            false => return Err(SendResult::Unknown),
        }
        let (parts, body) = match answer.read_whole().await {
            Ok((parts, body)) => (Box::new(parts), body),
            Err(detail) => {
                let request = &self.admitted.outgoing.request.id;
                tracing::info!(request, detail, "answer broke off");
                return Err(SendResult::Unknown);
            }
        };
        let workspace = self.admitted.outgoing.workspace.as_deref();
        self.host.count_usage(clock::now(), workspace);
        match status.is_server_error() {
            false => Ok(RunEnd::Whole(parts, body)),
            true => {
                self.last_failure = Some((parts, body));
                Err(SendResult::Failed)
            }
        }
    }

    fn give_up(&mut self, reason: &'static str) -> RunEnd {
        if let Some((parts, body)) = self.last_failure.take() {
            return RunEnd::Whole(parts, body);
        }
        let retry_after = match self.tried.is_empty() {
            true => ABSENT_RETRY,
            false => FULL_RETRY,
        };
        RunEnd::Refused(match self.ledger.give_up() {
            NextStep::Refuse => Refusal::not_run(reason, retry_after),
            _ if self.timed_out => Refusal::timed_out(reason),
            _ => Refusal::unknown(reason),
        })
    }
}
