//! Sends a prefilled prompt to a decode engine, once one has room.

use super::RequestRun;
use crate::clock;
use crate::in_flight::UpstreamWork;
use crate::reply::Refusal;
use crate::send::{Attempt, SendOutcome};
use lagoonlift_adapter::upstream::UpstreamTask;
use lagoonlift_policy::dispatch::{DecodeChoice, PrefilledRequest, RefusalCause};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;
use tokio::time::sleep;

/// Number of attempts to continue from one KV cache, without those that a full engine
/// refused. After that, the prefill is repeated.
const KV_CACHE_ATTEMPTS: u32 = 2;

/// Interval between two looks for a decode engine with room, drawn anew each time. It is
/// shorter than the age of the loads that peers report.
const LOOK_INTERVAL: Range<Duration> = Duration::from_millis(14)..Duration::from_millis(30);

/// Longest wait for a decode engine, as a multiple of the latency goal. A response that is
/// later than this is worth little.
const MAX_WAIT_IN_GOALS: u32 = 4;

/// Time that is left to a decode engine of the KV cache's life and of the caller's patience.
const DECODE_MARGIN: Duration = Duration::from_millis(250);

/// Life of a KV cache at its prefill engine if the configuration states none.
const DEFAULT_KV_CACHE_LIFE: Duration = Duration::from_secs(1);

/// A request that was sent to a decode engine and whose first event is awaited.
pub(super) struct SentDecode {
    engine: UpstreamKey,
    /// Requests of all hosts in flight on the engine, including this one.
    requests: u32,
    slots: u32,
    sent_at: Timestamp,
}

impl RequestRun {
    /// Returns an attempt to continue from the KV cache on a decode engine, once one has
    /// room; `None` if there is no KV cache, it has used up its attempts, or no engine is
    /// there. The error is the response if none has room in time.
    pub(super) async fn decode_attempt(&mut self) -> Result<Option<Attempt>, Refusal> {
        let until = self.decode_wait_end();
        loop {
            match self.choose_decode() {
                None => return Ok(None),
                Some(DecodeChoice::NoEngine) => {
                    self.count_kv_cache_attempt();
                    return Ok(None);
                }
                Some(DecodeChoice::Engine(engine)) => return Ok(self.decode_on(engine)),
                Some(DecodeChoice::Full) if clock::now() >= until => break,
                Some(DecodeChoice::Full) => {}
            }
            let interval = rand::rng().random_range(LOOK_INTERVAL);
            sleep(interval.min(clock::time_until(until))).await;
        }
        let waited = self.kv_cache.take().map_or(Duration::ZERO, |kv_cache| {
            clock::now().since(kv_cache.prefilled_at)
        });
        self.state.metrics.count_decode_refusal();
        tracing::info!(
            request = self.admitted.outgoing.request.id,
            waited_ms = waited.as_millis() as u64,
            "no decode engine had room in time"
        );
        Err(self.refusal("no decode engine has room", RefusalCause::Overload(waited)))
    }

    /// Returns the time until which the request waits for a decode engine.
    fn decode_wait_end(&self) -> Timestamp {
        let now = clock::now();
        let Some(kv_cache) = &self.kv_cache else {
            return now;
        };
        let life = self
            .engine_spec(|engine| engine.kv_handle_ttl)
            .unwrap_or(DEFAULT_KV_CACHE_LIFE);
        let longest = self.admitted.route.latency_goal * MAX_WAIT_IN_GOALS;
        let wait = longest.min(life.saturating_sub(DECODE_MARGIN));
        let latest = now + clock::time_until(self.admitted.deadline).saturating_sub(DECODE_MARGIN);
        latest.min(kv_cache.prefilled_at + wait)
    }

    /// Chooses the decode engine for the KV cache. Returns `None` without a KV cache, or if
    /// it has used up its attempts.
    fn choose_decode(&mut self) -> Option<DecodeChoice> {
        let kv_cache = self.kv_cache.as_ref()?;
        if kv_cache.attempts >= KV_CACHE_ATTEMPTS {
            self.kv_cache = None;
            return None;
        }
        let request = PrefilledRequest {
            prefill_engine: kv_cache.prefill_engine,
            waited: clock::now().since(kv_cache.prefilled_at),
            kv_tokens: self.admitted.outgoing.request.prompt.kv_tokens(),
            is_retry: self.history.next_is_retry(),
        };
        Some(self.choose(&self.tried, |placement, view| {
            placement.place_decode(view, request)
        }))
    }

    /// Returns the attempt to continue from the KV cache on `engine`.
    fn decode_on(&mut self, engine: UpstreamKey) -> Option<Attempt> {
        self.count_kv_cache_attempt();
        let kv_cache = self.kv_cache.as_mut()?;
        kv_cache.waiting = None;
        let waited = clock::now().since(kv_cache.prefilled_at);
        self.state.metrics.record_decode_wait(waited);
        let task = UpstreamTask::DecodeFrom(kv_cache.handle.clone());
        Some(self.attempt(engine, task, 0))
    }

    fn count_kv_cache_attempt(&mut self) {
        if let Some(kv_cache) = self.kv_cache.as_mut() {
            kv_cache.attempts += 1;
        }
    }

    /// Returns what is known of `engine` when the request is sent to it.
    pub(super) fn sent_decode(&self, engine: UpstreamKey) -> Option<SentDecode> {
        let table = self.state.table.borrow();
        let peers = self.state.peer_loads.borrow();
        let one = table.get(engine)?;
        Some(SentDecode {
            engine,
            requests: one.requests_in_flight(&peers) + 1,
            slots: one.record.slots,
            sent_at: clock::now(),
        })
    }

    /// Records that the first event of the latest attempt has arrived.
    pub(crate) fn record_first_event(&mut self) {
        if let Some(sent) = self.sent_decode.take() {
            let latency = clock::now().since(sent.sent_at);
            let mut placement = self.state.placement.borrow_mut();
            placement.record_decode(sent.requests, sent.slots, latency);
            drop(placement);
            let turns = f64::from(sent.requests) / f64::from(sent.slots.max(1));
            self.state.record_work(sent.engine, turns.max(1.0), latency);
        }
    }

    /// Returns whether an attempt was refused because its engine is full.
    pub(super) fn is_refused_as_full(&self, engine: UpstreamKey, outcome: &SendOutcome) -> bool {
        let table = self.state.table.borrow();
        let is_full = table
            .get(engine)
            .is_some_and(|one| one.is_full(clock::now()));
        is_full && matches!(outcome, SendOutcome::NotRun)
    }

    /// Records that a full engine refused to continue from the KV cache, which is as good
    /// as before. The engine may be tried again when it has room.
    pub(super) fn record_full_engine(&mut self) {
        if let Some(kv_cache) = self.kv_cache.as_mut() {
            kv_cache.attempts -= 1;
            let work = UpstreamWork::new(&self.state, kv_cache.prefill_engine, 0);
            kv_cache.waiting = Some(work);
        }
    }
}
