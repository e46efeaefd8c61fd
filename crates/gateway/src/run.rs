//! Runs one admitted request: chooses upstreams, makes attempts and retries as far
//! as the route and the retry budget allow, and returns an upstream's response or
//! one of the gateway's own.

mod choice;
mod decode;
mod other_host;
mod prefill;
mod quarantine;
mod summary;
mod version;

use self::decode::SentDecode;
use self::prefill::SentPrefill;
use self::quarantine::ClaimedProbe;
pub(crate) use self::summary::AttemptSummary;
use crate::admit::Admitted;
use crate::clock;
use crate::crash_monitor::CrashCheck;
use crate::kv_cache::HeldKvCache;
use crate::reply::{GatewayReply, Refusal};
use crate::send::{Attempt, BodyError, SendOutcome, UpstreamResponse, send};
use crate::state::GatewayState;
use bytes::Bytes;
use http::response::Parts;
use lagoonlift_adapter::upstream::UpstreamTask;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    AttemptHistory, LateRequest, NextStep, RefusalCause, RequiredVersion, SendResult, SuspectKey,
    UpstreamRecord, retry_after,
};
use rand::RngExt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Number of prefills that are tried before one attempt. A prompt that needs several
/// attempts may be prefilled more often.
const PREFILLS_PER_ATTEMPT: usize = 2;

/// Time after which a caller may come back whom a stopping host refuses: others serve.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Result of a request.
pub(crate) enum RunOutcome {
    /// Complete response of an upstream, either a success or a failure.
    Complete(Box<Parts>, Bytes),
    /// Head of an upstream's stream; its body is still to be relayed.
    Stream(Box<UpstreamResponse>),
    /// The gateway's own response; no upstream's response is forwarded.
    Reply(GatewayReply),
}

/// State of an admitted request across its attempts.
pub(crate) struct RequestRun {
    pub(crate) state: Rc<GatewayState>,
    pub(crate) admitted: Rc<Admitted>,
    pub(crate) history: AttemptHistory,
    /// What the request may crash upstreams with: the blocks that other prompts may share,
    /// and the request itself.
    pub(crate) suspects: Vec<SuspectKey>,
    /// Entry of the latest attempt's upstream when the attempt was sent. A crashed
    /// upstream may be listed again before its crash is noticed.
    sent_to: Option<(UpstreamKey, UpstreamRecord)>,
    /// Check whether that upstream has crashed, if the attempt ended early.
    crash_check: Option<CrashCheck>,
    claimed_probe: Option<ClaimedProbe>,
    /// Upstreams of earlier attempts and of failed prefills.
    pub(crate) tried: Vec<UpstreamKey>,
    kv_cache: Option<HeldKvCache>,
    /// Software version that the upstreams must have.
    required_version: RequiredVersion,
    /// Whether the version is recorded that has begun the stream.
    has_recorded_version: bool,
    /// Last event that the caller has received, if an interrupted stream is resumed.
    pub(crate) resume_after: Option<u64>,
    /// Upstream that still runs the request but is silent, while another one is looked
    /// for. No attempt is made on it.
    pub(crate) silent_upstream: Option<UpstreamKey>,
    /// Whether an attempt or a prefill couldn't reach its upstream.
    had_path_failure: bool,
    /// Hosts by way of which the request was sent.
    tried_hosts: Vec<SocketAddr>,
    /// Time after which the latest of them that refused wants the caller to come back.
    other_hosts_wait: Option<Duration>,
    /// Upstream of the attempt that is awaited, so that it is counted if its future is
    /// dropped, and whether the attempt may have reached it.
    attempt_in_progress: Option<(UpstreamKey, Rc<Cell<bool>>)>,
    /// What was known of the latest attempt's decode engine, until its first event.
    sent_decode: Option<SentDecode>,
    /// Prefills that have not ended.
    prefills: Vec<SentPrefill>,
    /// Engines that refused to run the whole prompt while a prefill was silent.
    refused_meanwhile: Vec<UpstreamKey>,
    /// Latest 5xx response of an upstream, which is forwarded if no later attempt
    /// succeeds.
    last_failure: Option<(Box<Parts>, Bytes)>,
    has_timed_out: bool,
    summary: AttemptSummary,
}

impl RequestRun {
    pub(crate) fn new(state: Rc<GatewayState>, admitted: Rc<Admitted>) -> Self {
        let route = &admitted.route;
        let history = match &admitted.hop {
            // The host that sent the request here has counted it.
            Some(terms) => {
                let runs = terms.runs.min(route.max_upstreams);
                let history = AttemptHistory::new(route.retry_safety, runs);
                match terms.is_retry {
                    true => history.with_earlier_arrival(),
                    false => history,
                }
            }
            None => {
                state.with_retry_budget(&admitted.service, |retry_budget| {
                    retry_budget.record_request(clock::now())
                });
                AttemptHistory::new(route.retry_safety, route.max_upstreams)
            }
        };
        let prompt = &admitted.outgoing.request.prompt;
        let mut suspects = SuspectKey::for_shared_blocks(prompt);
        suspects.push(admitted.outgoing.key);
        let required_version = admitted.required_version;
        Self {
            state,
            admitted,
            history,
            suspects,
            sent_to: None,
            crash_check: None,
            claimed_probe: None,
            tried: Vec::new(),
            kv_cache: None,
            required_version,
            has_recorded_version: false,
            resume_after: None,
            silent_upstream: None,
            had_path_failure: false,
            tried_hosts: Vec::new(),
            other_hosts_wait: None,
            attempt_in_progress: None,
            sent_decode: None,
            prefills: Vec::new(),
            refused_meanwhile: Vec::new(),
            last_failure: None,
            has_timed_out: false,
            summary: AttemptSummary::default(),
        }
    }

    /// Returns the summary of the attempts so far.
    pub(crate) fn summary(&self) -> AttemptSummary {
        self.summary.clone()
    }

    fn address_of(&self, upstream: UpstreamKey) -> Option<SocketAddr> {
        let table = self.state.table.borrow();
        table.get(upstream).map(|one| one.record.address)
    }

    fn entry_of(&self, upstream: UpstreamKey) -> Option<(UpstreamKey, UpstreamRecord)> {
        let table = self.state.table.borrow();
        let one = table.get(upstream)?;
        Some((upstream, one.record.clone()))
    }

    /// Returns the software version of the latest attempt's upstream.
    fn version_name(&self) -> Option<String> {
        let (_, record) = self.sent_to.as_ref()?;
        record.version.as_ref().map(|version| version.0.clone())
    }

    pub(crate) fn name_of(&self, upstream: UpstreamKey) -> Option<String> {
        let table = self.state.table.borrow();
        table.get(upstream).map(|one| one.record.id.0.clone())
    }

    /// Makes attempts until a complete response has been read, the head of a stream
    /// has arrived, or no further attempt is allowed. After a stream that breaks, it
    /// is called again to retry or resume the request.
    pub(crate) async fn next_outcome(&mut self) -> RunOutcome {
        loop {
            let step = match self.try_next().await {
                Ok(outcome) => return outcome,
                Err(step) => step,
            };
            match step {
                NextStep::Retry => {}
                _ => {
                    self.end_crash_check().await;
                    return self.give_up("the upstream failed");
                }
            }
        }
    }

    /// Makes one attempt: by way of another host if this one is cut off, or can't choose an
    /// upstream while connections to them fail.
    async fn try_next(&mut self) -> Result<RunOutcome, NextStep> {
        if self.is_cut_off() {
            if let Some(result) = self.run_elsewhere().await {
                return result;
            }
            if let Some(refusal) = self.refused_elsewhere() {
                return Ok(self.end_without_retry(refusal));
            }
        }
        match self.prepare_attempt().await {
            Ok(attempt) => self.send(attempt).await,
            Err(refusal) => {
                let result = match self.may_be_out_of_reach(&refusal) {
                    true => self.run_elsewhere().await,
                    false => None,
                };
                result.unwrap_or_else(|| Ok(self.end_without_retry(refusal)))
            }
        }
    }

    /// Chooses the next attempt, and spends a retry if it is one. The error is the response
    /// to a request that has not run.
    pub(crate) async fn prepare_attempt(&mut self) -> Result<Attempt, Refusal> {
        self.end_crash_check().await;
        if clock::now() >= self.admitted.deadline {
            self.has_timed_out = true;
            return Err(self.refusal("timed out", RefusalCause::NoCapacity));
        }
        self.pass_stop()?;
        self.pass_quarantine().await?;
        self.confirm_required_version().await;
        let attempt = match self.is_prompt() {
            true => self.prompt_attempt().await,
            false => match self.plain_attempt() {
                Ok(attempt) => self.confirm_attempt(attempt).await,
                Err(refusal) => Err(refusal),
            },
        };
        if attempt.is_err() {
            self.drop_prefills("the request is refused");
        }
        attempt
    }

    /// Returns the attempt if it may be made, and spends a retry if it is one. A prefill
    /// before it may have taken some time.
    async fn confirm_attempt(&mut self, attempt: Attempt) -> Result<Attempt, Refusal> {
        self.pass_quarantine().await?;
        // The request may have been queued when the stop began.
        self.pass_stop()?;
        self.spend_retry(attempt)
            .ok_or_else(|| self.refusal("no repeat is left", RefusalCause::NoCapacity))
    }

    /// Refuses a request that can't end before this host does, if it is stopping.
    fn pass_stop(&self) -> Result<(), Refusal> {
        let Some(stops_by) = self.state.stops_by() else {
            return Ok(());
        };
        let route = &self.admitted.route;
        let request = LateRequest {
            route: &route.name,
            allowed: clock::time_until(self.admitted.deadline),
            may_repeat: route.retry_safety.is_retryable(),
        };
        let stop_admission = self.state.stop_admission.borrow();
        match stop_admission.may_begin(clock::now(), stops_by, request) {
            true => Ok(()),
            false => Err(Refusal::new("the host stops", STOP_RETRY_AFTER)),
        }
    }

    /// Spends a retry from the budget if the attempt is a retry. Returns `None` if
    /// the budget is exhausted.
    fn spend_retry(&self, attempt: Attempt) -> Option<Attempt> {
        let is_retry = self.is_retry(&attempt.task);
        let is_allowed = !is_retry
            || self
                .state
                .with_retry_budget(&self.admitted.service, |retry_budget| {
                    retry_budget.try_spend(clock::now())
                });
        is_allowed.then_some(attempt)
    }

    /// Returns whether the next send counts as a retry if it is for `task`.
    fn is_retry(&self, task: &UpstreamTask) -> bool {
        match task {
            UpstreamTask::Prefill { .. } => self.history.next_prefill_is_retry(),
            UpstreamTask::Run | UpstreamTask::DecodeFrom(_) => self.history.next_is_retry(),
        }
    }

    /// Returns a retry to the budget after a send that did not reach its upstream.
    /// `was_retry` says whether it was one.
    fn refund_retry(&self, was_retry: bool) {
        if was_retry {
            self.state
                .with_retry_budget(&self.admitted.service, |retry_budget| retry_budget.refund());
        }
    }

    /// Makes one attempt. The error is the next step after an attempt that gave no
    /// response to forward.
    pub(crate) async fn send(&mut self, attempt: Attempt) -> Result<RunOutcome, NextStep> {
        let upstream = attempt.upstream;
        let uses_kv_cache = matches!(attempt.task, UpstreamTask::DecodeFrom(_));
        let is_retry = self.is_retry(&attempt.task);
        self.sent_to = self.entry_of(upstream);
        self.sent_decode = uses_kv_cache.then(|| self.sent_decode(upstream)).flatten();
        self.attempt_in_progress = Some((upstream, Rc::clone(&attempt.is_sent)));
        let outcome = send(&self.state, &self.admitted.outgoing, attempt).await;
        let is_full = uses_kv_cache && self.is_refused_as_full(upstream, &outcome);
        if !is_full {
            self.tried.push(upstream);
        }
        self.summary.sends += 1;
        self.summary.upstream = self.name_of(upstream);
        self.summary.version = self.version_name();
        match uses_kv_cache {
            true if is_full => self.record_full_engine(),
            true => self.record_possible_transfer(&outcome),
            false => {}
        }
        let result = match outcome {
            SendOutcome::Responded(response) => match self.process_response(response).await {
                Ok(run_outcome) => {
                    self.attempt_in_progress = None;
                    self.drop_prefills("another engine accepted the prompt");
                    return Ok(run_outcome);
                }
                Err(result) => result,
            },
            SendOutcome::Withheld(_) | SendOutcome::NotSent(_) | SendOutcome::NotOpened(..) => {
                self.refund_retry(is_retry);
                self.had_path_failure = true;
                SendResult::NotSent
            }
            SendOutcome::NotRun => {
                if !self.prefills.is_empty() {
                    self.refused_meanwhile.push(upstream);
                }
                SendResult::NotRun
            }
            SendOutcome::TimedOut => {
                self.has_timed_out = true;
                SendResult::Unknown
            }
            SendOutcome::Lost(_) => {
                self.record_interruption(upstream);
                SendResult::Unknown
            }
        };
        self.attempt_in_progress = None;
        Err(self.history.record_send(result))
    }

    /// Records the attempt or the prefills that were in progress when the future was
    /// dropped that awaited them. They may have run if they were sent.
    pub(crate) fn record_cancelled_send(&mut self) {
        self.drop_prefills("the request is not needed");
        let Some((upstream, is_sent)) = self.attempt_in_progress.take() else {
            return;
        };
        self.tried.push(upstream);
        if !is_sent.get() {
            self.refund_retry(self.history.next_is_retry());
            self.history.record_send(SendResult::NotSent);
            return;
        }
        self.history.record_send(SendResult::Unknown);
        if let Some(kv_cache) = self.kv_cache.as_mut() {
            kv_cache.may_be_transferred = true;
        }
        self.kv_cache = None;
    }

    /// Releases the KV cache of a prefill that no decode engine continues from.
    pub(crate) fn release_kv_cache(&mut self) {
        self.kv_cache = None;
    }

    /// Records whether the decode engine may have fetched the KV cache. Any attempt that
    /// was sent counts as a transfer, also if it was lost, timed out or failed, unless
    /// the engine states that it did not run the request.
    fn record_possible_transfer(&mut self, outcome: &SendOutcome) {
        let may_be_transferred = match outcome {
            SendOutcome::Withheld(_) | SendOutcome::NotSent(_) | SendOutcome::NotOpened(..) => {
                return;
            }
            SendOutcome::NotRun => false,
            _ => true,
        };
        let Some(kv_cache) = self.kv_cache.as_mut() else {
            return;
        };
        if let Some(engine) = self
            .state
            .table
            .borrow_mut()
            .get_mut(kv_cache.prefill_engine)
        {
            engine.record_kv_transfer(clock::now(), may_be_transferred);
        }
        if may_be_transferred {
            kv_cache.may_be_transferred = true;
            self.kv_cache = None;
        }
    }

    /// Processes a response that belongs to this request. Returns `Err` with the result
    /// of the attempt if the response is not forwarded now: it has no signature, its body was
    /// truncated, its status would promise that a request which may run once has not run, or it
    /// isn't the stream that it should go on with. A 5xx is kept in `last_failure` and forwarded
    /// later if no other attempt succeeds.
    async fn process_response(
        &mut self,
        response: Box<UpstreamResponse>,
    ) -> Result<RunOutcome, SendResult> {
        let status = response.head.status;
        let has_signature = response.head.has_signature;
        match has_signature {
            true if status.is_success() && self.admitted.route.retry_safety.is_stream() => {
                if self.resume_after.is_some() && !response.head.continues_stream() {
                    let request = &self.admitted.outgoing.request.id;
                    let status = status.as_u16();
                    tracing::info!(request, status, "the answer doesn't go on with the stream");
                    return Err(SendResult::Unknown);
                }
                return Ok(RunOutcome::Stream(response));
            }
            true => {}
            false => return Err(SendResult::Unknown),
        }
        let upstream = response.upstream();
        let is_framed = response.head.is_framed;
        let reads_as_not_run = response.head.reads_as_not_run;
        let (parts, body) = match response.read_body(self.admitted.deadline).await {
            Ok((parts, body)) => (Box::new(parts), body),
            Err(error) => {
                if let (BodyError::Truncated(_), Some(upstream)) = (&error, upstream) {
                    self.record_interruption(upstream);
                }
                let request = &self.admitted.outgoing.request.id;
                tracing::info!(request, %error, "response of the upstream was truncated");
                self.has_timed_out |= matches!(error, BodyError::TimedOut);
                return Err(SendResult::Unknown);
            }
        };
        if upstream.is_some() {
            let workspace = self.admitted.outgoing.workspace.as_deref();
            self.state.count_usage(clock::now(), workspace);
            if status.is_success() && is_framed {
                self.record_success();
            }
        }
        if reads_as_not_run && !self.admitted.route.retry_safety.is_retryable() {
            // The upstream doesn't state that it has not run the request, but callers would
            // take its status for that.
            let request = &self.admitted.outgoing.request.id;
            let status = status.as_u16();
            tracing::info!(request, status, "failure of the upstream isn't forwarded");
            return Err(SendResult::Unknown);
        }
        match status.is_server_error() {
            false => Ok(RunOutcome::Complete(parts, body)),
            true => {
                self.last_failure = Some((parts, body));
                Err(SendResult::Failed)
            }
        }
    }

    /// Ends the request with the latest 5xx response of an upstream if there is one, or else
    /// with the gateway's own response.
    fn end_without_retry(&mut self, refusal: Refusal) -> RunOutcome {
        match self.last_failure.take() {
            Some((parts, body)) => RunOutcome::Complete(parts, body),
            None => RunOutcome::Reply(self.reply(refusal)),
        }
    }

    /// Returns the response to a request that is given up: `refusal` if the request certainly
    /// has not run, or else one with the same reason that leaves the outcome unknown.
    pub(crate) fn reply(&self, refusal: Refusal) -> GatewayReply {
        match self.history.not_run_proof() {
            Some(proof) => GatewayReply::not_run(refusal, proof),
            None if self.has_timed_out => GatewayReply::timed_out(refusal.reason),
            None => GatewayReply::unknown(refusal.reason),
        }
    }

    fn give_up(&mut self, reason: &'static str) -> RunOutcome {
        let refusal = self.refusal(reason, RefusalCause::NoCapacity);
        self.end_without_retry(refusal)
    }

    /// Returns why a request is refused: because no upstream is available, or because those that would be hold off requests or take no more of
    /// them at this time.
    fn no_upstream(&self, reason: &'static str) -> Refusal {
        let table = self.state.table.borrow();
        let (service, now) = (&self.admitted.service, clock::now());
        if let Some(wait) = table.time_to_next_share(service, now) {
            let reason = "the rates of the upstreams are used up";
            return self.refusal(reason, RefusalCause::UsedUp(wait));
        }
        match table.shortest_hold_off(service, now) {
            Some(time) => self.refusal("the upstreams hold off", RefusalCause::HoldOff(time)),
            None => {
                let reason = match self.required_version {
                    RequiredVersion::Any => reason,
                    _ => "no upstream of the stream's version is there",
                };
                self.refusal(reason, RefusalCause::NoUpstream)
            }
        }
    }

    /// Returns a refusal with the delay after which the caller may retry.
    fn refusal(&self, reason: &'static str, cause: RefusalCause) -> Refusal {
        let time_left = clock::time_until(self.admitted.deadline);
        let wait = retry_after(cause, time_left, rand::rng().random());
        let is_for_lack = matches!(cause, RefusalCause::NoUpstream | RefusalCause::NoCapacity);
        Refusal {
            is_for_lack_of_upstreams: is_for_lack,
            ..Refusal::new(reason, wait)
        }
    }
}
