//! Runs the prefill of a prompt on one engine, so that another engine can continue
//! from its KV cache.
//!
//! A silent engine may be sound and go on, and nothing may be able to replace it: the
//! retry budget may be used up, or the other engines silent, busy or gone. A silent
//! prefill is therefore kept until another engine has accepted the prompt. Of several
//! prefills, the first one to succeed wins. A run of the whole prompt that has been sent
//! isn't given up for a prefill, since it may have begun.

use super::{PREFILLS_PER_ATTEMPT, RequestRun};
use crate::admit::Admitted;
use crate::clock;
use crate::kv_cache::HeldKvCache;
use crate::reply::Refusal;
use crate::send::{Attempt, SendOutcome, send};
use crate::state::GatewayState;
use crate::upstream_health::record_silence;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, select_all};
use lagoonlift_adapter::upstream::{UpstreamTask, decode_kv_cache_handle};
use lagoonlift_policy::dispatch::{PromptPlan, RefusalCause, SendResult};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time for which a silent prefill is awaited if nothing replaces it. A sound engine may be
/// silent for about a second; a caller that is refused after that can still come back.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// A prefill that was sent and whose end is awaited.
pub(super) struct SentPrefill {
    engine: UpstreamKey,
    is_retry: bool,
    /// Backlog of the engine when the prefill was sent, including the prompt.
    tokens_to_prefill: u64,
    sent_at: Timestamp,
    /// Time from which on the prefill is silent and another engine is looked for.
    silent_from: Timestamp,
    is_silent: bool,
    end: LocalBoxFuture<'static, Result<PrefilledPrompt, SendResult>>,
}

/// The result of a prefill.
struct PrefilledPrompt {
    kv_cache: HeldKvCache,
    latency: Duration,
}

impl RequestRun {
    /// Chooses the next attempt to run a prompt, after a prefill on another engine if the
    /// placement plans one.
    pub(super) async fn prompt_attempt(&mut self) -> Result<Attempt, Refusal> {
        if let Some(attempt) = self.decode_attempt().await? {
            return self.confirm_attempt(attempt).await;
        }
        for _ in self.prefills.len()..PREFILLS_PER_ATTEMPT {
            match self.prompt_plan() {
                Err(refusal) if self.prefills.is_empty() => return Err(refusal),
                Err(_) => break,
                Ok(PromptPlan::SingleEngine(upstream)) => {
                    let attempt = self.single_engine_attempt(upstream);
                    match self.confirm_attempt(attempt).await {
                        Err(_) if !self.prefills.is_empty() => break,
                        result => return result,
                    }
                }
                Ok(PromptPlan::Disaggregated {
                    prefill_engine,
                    copy_blocks_from,
                }) => self.send_prefill(prefill_engine, copy_blocks_from),
            }
            self.await_prefill_or_silence().await;
            if let Some(attempt) = self.decode_attempt().await? {
                return self.confirm_attempt(attempt).await;
            }
            self.pass_quarantine().await?;
        }
        self.await_silent_prefills().await;
        match self.decode_attempt().await? {
            Some(attempt) => self.confirm_attempt(attempt).await,
            None => Err(self.refusal("the prompt was not read", RefusalCause::NoCapacity)),
        }
    }

    /// Sends the prefill to `prefill_engine`, which may copy shared prefix blocks from the
    /// engine `prefix_source`. Does nothing if it would be a retry and none is left.
    fn send_prefill(&mut self, prefill_engine: UpstreamKey, prefix_source: Option<UpstreamKey>) {
        let tokens = self.admitted.outgoing.request.prompt.prompt_tokens;
        let task = UpstreamTask::Prefill {
            prefix_source: prefix_source.and_then(|holder| self.address_of(holder)),
        };
        let attempt = self.attempt(prefill_engine, task, u64::from(tokens));
        let tokens_to_prefill = self.prefill_backlog(prefill_engine) + u64::from(tokens);
        let silent_from = self.prefill_deadline(tokens_to_prefill);
        let is_retry = self.is_retry(&attempt.task);
        let Some(attempt) = self.spend_retry(attempt) else {
            self.tried.push(prefill_engine);
            return;
        };
        let end = run_prefill(Rc::clone(&self.state), Rc::clone(&self.admitted), attempt);
        self.prefills.push(SentPrefill {
            engine: prefill_engine,
            is_retry,
            tokens_to_prefill,
            sent_at: clock::now(),
            silent_from,
            is_silent: false,
            end: end.boxed_local(),
        });
    }

    /// Waits until a prefill has succeeded, or until all others have failed or are silent.
    async fn await_prefill_or_silence(&mut self) {
        let is_awaited = |prefill: &&SentPrefill| !prefill.is_silent;
        while self.kv_cache.is_none()
            && let Some(prefill) = self.prefills.iter().find(is_awaited)
        {
            let silent_from = prefill.silent_from;
            if !self.await_prefill(silent_from).await {
                self.record_silence(silent_from);
            }
        }
    }

    /// Waits until a prefill has succeeded or all have failed, as long as a sound engine
    /// may be silent.
    async fn await_silent_prefills(&mut self) {
        let Some(first) = self.prefills.first() else {
            return;
        };
        let until = self.admitted.deadline.min(first.silent_from + MAX_SILENCE);
        while self.kv_cache.is_none() && self.await_prefill(until).await {}
    }

    /// Waits until a prefill has ended. Returns whether one did before `until`.
    async fn await_prefill(&mut self, until: Timestamp) -> bool {
        if self.prefills.is_empty() {
            return false;
        }
        let ends = select_all(self.prefills.iter_mut().map(|prefill| &mut prefill.end));
        let Ok((result, position, _)) = timeout(clock::time_until(until), ends).await else {
            return false;
        };
        let prefill = self.prefills.remove(position);
        self.record_prefill_end(prefill, result);
        true
    }

    /// Records that the prefills that should have ended at `silent_from` are silent.
    fn record_silence(&mut self, silent_from: Timestamp) {
        for prefill in &mut self.prefills {
            if !prefill.is_silent && prefill.silent_from <= silent_from {
                prefill.is_silent = true;
                self.tried.push(prefill.engine);
                self.history.record_silent_prefill();
                record_silence(&self.state, prefill.engine);
            }
        }
    }

    fn record_prefill_end(
        &mut self,
        prefill: SentPrefill,
        result: Result<PrefilledPrompt, SendResult>,
    ) {
        match result {
            Ok(prefilled) => {
                self.end_silence(&prefill, "went on");
                self.history.record_prefill();
                if !prefill.is_silent {
                    let mut placement = self.state.placement.borrow_mut();
                    placement.record_prefill(prefill.tokens_to_prefill, prefilled.latency);
                    drop(placement);
                    let tokens = prefill.tokens_to_prefill as f64;
                    self.state
                        .record_work(prefill.engine, tokens, prefilled.latency);
                }
                self.summary.prefill_engine = self.name_of(prefill.engine);
                self.summary.prefill_time = Some(prefilled.latency);
                self.kv_cache = Some(prefilled.kv_cache);
                // Decode engines that refused the whole prompt may continue from its KV
                // cache.
                let refused = std::mem::take(&mut self.refused_meanwhile);
                self.tried
                    .retain(|one| *one != prefill.engine && !refused.contains(one));
                self.drop_prefills("another engine was faster");
            }
            Err(result) => {
                self.end_silence(&prefill, "failed");
                if result == SendResult::NotSent {
                    self.refund_retry(prefill.is_retry);
                    self.had_path_failure = true;
                }
                if !prefill.is_silent {
                    self.tried.push(prefill.engine);
                }
                self.history.record_prefill_failure(result);
            }
        }
    }

    /// Gives up all prefills. `reason` says why. The KV cache of one that has succeeded
    /// meanwhile is released.
    pub(super) fn drop_prefills(&mut self, reason: &str) {
        for mut prefill in std::mem::take(&mut self.prefills) {
            self.end_silence(&prefill, reason);
            if !prefill.is_silent {
                self.tried.push(prefill.engine);
            }
            drop((&mut prefill.end).now_or_never());
            self.history.record_prefill_failure(SendResult::Unknown);
        }
    }

    /// Records how the silence of a prefill ended, if it was silent.
    fn end_silence(&mut self, prefill: &SentPrefill, result: &str) {
        if !prefill.is_silent {
            return;
        }
        self.history.record_silence_end();
        tracing::info!(
            request = self.admitted.outgoing.request.id,
            upstream = self.name_of(prefill.engine),
            result,
            after_ms = clock::now().since(prefill.sent_at).as_millis() as u64,
            "prefill was silent"
        );
    }

    /// Returns the backlog of an engine in prompt tokens, over all hosts and without
    /// the prompt of this request.
    fn prefill_backlog(&self, engine: UpstreamKey) -> u64 {
        let table = self.state.table.borrow();
        let peers = self.state.peer_loads.borrow();
        table
            .get(engine)
            .map_or(0, |one| one.prefill_backlog(&peers))
    }

    /// Returns the time until which only this prefill is awaited. `tokens_to_prefill` is
    /// the engine's backlog including this prompt.
    fn prefill_deadline(&self, tokens_to_prefill: u64) -> Timestamp {
        let now = clock::now();
        let time_left = self.admitted.deadline.since(now);
        let placement = self.state.placement.borrow();
        now + placement.prefill_limit(tokens_to_prefill, time_left)
    }
}

/// Sends a prefill and reads the handle of the KV cache. The error says what is known of a
/// prefill without a valid handle.
async fn run_prefill(
    state: Rc<GatewayState>,
    admitted: Rc<Admitted>,
    attempt: Attempt,
) -> Result<PrefilledPrompt, SendResult> {
    let (engine, deadline) = (attempt.upstream, attempt.deadline);
    let sent_at = clock::now();
    let response = match send(&state, &admitted.outgoing, attempt).await {
        SendOutcome::Responded(response) if response.head.status.is_success() => response,
        SendOutcome::Withheld(_) | SendOutcome::NotSent(_) | SendOutcome::NotOpened(..) => {
            return Err(SendResult::NotSent);
        }
        SendOutcome::NotRun => return Err(SendResult::NotRun),
        SendOutcome::Responded(_) | SendOutcome::Lost(_) | SendOutcome::TimedOut => {
            return Err(SendResult::Unknown);
        }
    };
    let latency = clock::now().since(sent_at);
    let holder = {
        let table = state.table.borrow();
        table.get(engine).map(|one| one.record.address)
    };
    let body = response.read_handle(deadline).await;
    let handle = match (holder, &body) {
        (Some(holder), Ok(body)) => decode_kv_cache_handle(holder, body),
        _ => None,
    };
    match handle {
        Some(handle) => Ok(PrefilledPrompt {
            kv_cache: HeldKvCache::new(&state, engine, handle),
            latency,
        }),
        None => Err(SendResult::Unknown),
    }
}
