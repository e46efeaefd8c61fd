//! Runs one admitted request: chooses upstreams, sends, sends again where that
//! is allowed, and returns the answer or the reason why there is none.

mod read_ahead;

use crate::admit::Admitted;
use crate::clock;
use crate::host::Host;
use crate::prompt_memory::PromptMemory;
use crate::reply::Refusal;
use crate::send::{Answer, SendOrder, SendOutcome, send};
use bytes::Bytes;
use http::response::Parts;
use lagoonlift_adapter::upstream::UpstreamTask;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    AttemptHistory, FleetView, NextStep, Placement, PromptPlan, PromptRefusal, RefusalCause,
    SendResult, retry_after,
};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Engines that are asked to read one prompt.
const READ_TRIES: u32 = 2;

/// Sends of one prompt's memory; after that the prompt is read anew.
const MEMORY_SENDS: u32 = 2;

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
    pub(crate) ledger: AttemptHistory,
    pub(crate) tried: Vec<UpstreamKey>,
    memory: Option<PromptMemory>,
    /// Event after which a broken stream goes on.
    pub(crate) resume_after: Option<u64>,
    last_failure: Option<(Box<Parts>, Bytes)>,
    timed_out: bool,
    path: RunPath,
}

/// Where a request went, for its log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunPath {
    /// Engine that read the prompt ahead.
    pub(crate) reader: Option<String>,
    /// How long that took.
    pub(crate) read_time: Option<Duration>,
    /// Upstream of the last send.
    pub(crate) upstream: Option<String>,
    /// Sends so far.
    pub(crate) sends: u32,
}

impl Run {
    pub(crate) fn new(host: Rc<Host>, admitted: Rc<Admitted>) -> Self {
        let route = &admitted.route;
        host.with_allowance(&admitted.service, |allowance| {
            allowance.record_request(clock::now())
        });
        let ledger = AttemptHistory::new(route.retry_safety, route.max_upstreams);
        Self {
            host,
            admitted,
            ledger,
            tried: Vec::new(),
            memory: None,
            resume_after: None,
            last_failure: None,
            timed_out: false,
            path: RunPath::default(),
        }
    }

    /// Returns where the request went.
    pub(crate) fn path(&self) -> RunPath {
        self.path.clone()
    }

    fn address_of(&self, upstream: UpstreamKey) -> Option<SocketAddr> {
        let table = self.host.table.borrow();
        table.get(upstream).map(|one| one.record.address)
    }

    fn name_of(&self, upstream: UpstreamKey) -> Option<String> {
        let table = self.host.table.borrow();
        table.get(upstream).map(|one| one.record.id.0.clone())
    }

    /// Sends until there is an answer or nothing more may be sent.
    pub(crate) async fn finish(&mut self) -> RunEnd {
        loop {
            if clock::now() >= self.admitted.until {
                self.timed_out = true;
                return self.give_up("timed out");
            }
            let order = match self.next_order().await {
                Ok(order) => order,
                Err(refusal) => return self.refuse(refusal),
            };
            let Some(order) = self.take_allowance(order) else {
                return self.give_up("no repeat is left");
            };
            let step = match self.send(order).await {
                Ok(end) => return end,
                Err(step) => step,
            };
            match step {
                NextStep::Retry => {}
                _ => return self.give_up("the upstream failed"),
            }
        }
    }

    /// Chooses the next send; reads the prompt ahead where that is the plan.
    async fn next_order(&mut self) -> Result<SendOrder, Refusal> {
        if !self.is_prompt() {
            return self.plain_order();
        }
        if let Some(order) = self.memory_order() {
            return Ok(order);
        }
        for _ in 0..READ_TRIES {
            match self.prompt_plan()? {
                PromptPlan::SingleEngine(upstream) => return Ok(self.whole_order(upstream)),
                PromptPlan::Disaggregated {
                    prefill_engine,
                    copy_blocks_from,
                } => {
                    self.read_ahead(prefill_engine, copy_blocks_from).await;
                }
            }
            if let Some(order) = self.memory_order() {
                return Ok(order);
            }
        }
        Err(self.not_run("the prompt was not read", RefusalCause::NoCapacity))
    }

    fn is_prompt(&self) -> bool {
        let request = &self.admitted.outgoing.request;
        self.admitted.route.has_prompt && request.prompt.prompt_tokens > 0
    }

    /// Calls `choose` with what a choice is made from.
    fn choose<T>(
        &self,
        tried: &[UpstreamKey],
        choose: impl FnOnce(&Placement, FleetView<'_>) -> T,
    ) -> T {
        let view = FleetView {
            table: &self.host.table.borrow(),
            peers: &self.host.peer_loads.borrow(),
            service: &self.admitted.service,
            tried,
            changing_role: &self.host.changing.borrow(),
            now: clock::now(),
            tie_breaker: rand::rng().random(),
        };
        choose(&self.host.placement.borrow(), view)
    }

    fn plain_order(&self) -> Result<SendOrder, Refusal> {
        let untried = self.choose(&self.tried, |placement, view| {
            placement.choose_upstream(view)
        });
        let any = || self.choose(&[], |placement, view| placement.choose_upstream(view));
        let upstream = untried
            .or_else(any)
            .ok_or_else(|| self.not_run("no upstream is there", RefusalCause::NoUpstream))?;
        Ok(self.order(upstream, UpstreamTask::Run, 0))
    }

    fn prompt_plan(&self) -> Result<PromptPlan, Refusal> {
        let prompt = &self.admitted.outgoing.request.prompt;
        let goal = self.admitted.route.latency_goal;
        let time_left = clock::time_until(self.admitted.until);
        let plan = self.choose(&self.tried, |placement, view| {
            placement.plan_prompt(view, prompt, goal, time_left)
        });
        plan.map_err(|refusal| match refusal {
            PromptRefusal::NoEngine => self.not_run("no engine is there", RefusalCause::NoUpstream),
            PromptRefusal::Busy(wait) => {
                self.not_run("all engines are busy reading", RefusalCause::Overload(wait))
            }
        })
    }

    fn whole_order(&self, upstream: UpstreamKey) -> SendOrder {
        let tokens = self.admitted.outgoing.request.prompt.prompt_tokens;
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
        let upstream = self.choose(&self.tried, |placement, view| {
            placement.choose_decode_engine(view, reader)
        })?;
        Some(self.order(upstream, UpstreamTask::DecodeFrom(handle), 0))
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

    /// Takes a repeat from the allowance if the send is one.
    fn take_allowance(&self, order: SendOrder) -> Option<SendOrder> {
        let is_repeat = self.ledger.next_is_retry();
        let is_allowed = !is_repeat
            || self
                .host
                .with_allowance(&self.admitted.service, |allowance| {
                    allowance.try_spend(clock::now())
                });
        is_allowed.then_some(order)
    }

    fn put_back(&self) {
        if self.ledger.next_is_retry() {
            self.host
                .with_allowance(&self.admitted.service, |allowance| allowance.refund());
        }
    }

    async fn send(&mut self, order: SendOrder) -> Result<RunEnd, NextStep> {
        let upstream = order.upstream;
        let takes_memory = matches!(order.task, UpstreamTask::DecodeFrom(_));
        let outcome = send(&self.host, &self.admitted.outgoing, order).await;
        self.tried.push(upstream);
        self.path.sends += 1;
        self.path.upstream = self.name_of(upstream);
        if takes_memory {
            self.note_memory(&outcome);
        }
        let result = match outcome {
            SendOutcome::Answered(answer) => match self.take_answer(answer).await {
                Ok(end) => return Ok(end),
                Err(result) => result,
            },
            SendOutcome::NotSent(detail) | SendOutcome::NotOpened(detail) => {
                tracing::debug!(detail, "not sent");
                self.put_back();
                SendResult::NotSent
            }
            SendOutcome::NotRun => SendResult::NotRun,
            SendOutcome::TimedOut => {
                self.timed_out = true;
                SendResult::Unknown
            }
            SendOutcome::Lost(_) => SendResult::Unknown,
        };
        Err(self.ledger.record_send(result))
    }

    /// Takes in what a send from memory shows of the memory.
    fn note_memory(&mut self, outcome: &SendOutcome) {
        let was_taken = match outcome {
            SendOutcome::NotSent(_) | SendOutcome::NotOpened(_) => return,
            SendOutcome::NotRun => false,
            _ => true,
        };
        let Some(memory) = self.memory.as_mut() else {
            return;
        };
        if let Some(reader) = self.host.table.borrow_mut().get_mut(memory.reader) {
            reader.record_kv_transfer(clock::now(), was_taken);
        }
        if was_taken {
            memory.is_taken = true;
            self.memory = None;
        }
    }

    /// Takes in an answer whose head is sound; an `Err` says what it proves if
    /// it can't be passed on, or needn't be yet.
    async fn take_answer(&mut self, answer: Box<Answer>) -> Result<RunEnd, SendResult> {
        let status = answer.head.status;
        let is_signed = answer.head.is_signed;
        match is_signed {
            true if status.is_success() && self.admitted.route.retry_safety.is_stream() => {
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

    /// Ends the request with an upstream's failure if there is one, or says that
    /// it has not run, if that is certain.
    fn refuse(&mut self, refusal: Refusal) -> RunEnd {
        if let Some((parts, body)) = self.last_failure.take() {
            return RunEnd::Whole(parts, body);
        }
        RunEnd::Refused(match self.ledger.step_without_retry() {
            NextStep::Refuse => refusal,
            _ if self.timed_out => Refusal::timed_out(refusal.reason),
            _ => Refusal::unknown(refusal.reason),
        })
    }

    fn give_up(&mut self, reason: &'static str) -> RunEnd {
        let refusal = self.not_run(reason, RefusalCause::NoCapacity);
        self.refuse(refusal)
    }

    /// Returns the refusal that tells the caller when to come back.
    fn not_run(&self, reason: &'static str, cause: RefusalCause) -> Refusal {
        let time_left = clock::time_until(self.admitted.until);
        let wait = retry_after(cause, time_left, rand::rng().random());
        Refusal::not_run(reason, wait)
    }
}
