//! Simulation of requests, from arrival to their outcome.

use crate::contender::Contender;
use crate::driver::{SERIES_INTERVAL, Simulation};
use crate::measures::{RequestMeasure, RequestOutcome};
use crate::schedule::SimulationEvent;
use crate::series::SeriesPoint;
use crate::traffic::Arrival;
use lagoonlift_policy::{
    AttemptEnd, EngineRates, EntryAction, EntryEvent, RequestFacts, Target, Timestamp, UpstreamKey,
};
use lagoonlift_standins::model::{EngineJob, JobPhase};
use lagoonlift_types::{RequestId, TOKENS_PER_PIECE};
use std::time::Duration;

/// Time to transfer the KV cache of one token between two engines.
const KV_TRANSFER_TIME_PER_TOKEN: Duration = Duration::from_micros(5);
/// Failed attempts after which a request counts as refused.
const MAX_ATTEMPTS: usize = 8;

/// Progress of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    /// Index of the entry host.
    pub(super) host: usize,
    is_prefilled: bool,
    priority: u8,
    /// Index of the engine of the current attempt.
    engine: Option<usize>,
    /// Engines on which attempts failed.
    failed_engines: Vec<usize>,
    /// Whether the entry host refused it or all its attempts failed.
    is_refused: bool,
    /// Whether it was interrupted and can't be retried.
    is_lost: bool,
    first_token_at: Option<Timestamp>,
    pub(super) completed_at: Option<Timestamp>,
    pub(super) on_reclaimable: bool,
}

impl RequestState {
    fn outcome(&self, arrival: &Arrival) -> RequestOutcome {
        let deadline = arrival.at + arrival.kind.deadline;
        match self.completed_at {
            Some(at) if at <= deadline => RequestOutcome::InTime,
            Some(_) => RequestOutcome::Late,
            None if self.is_refused => RequestOutcome::Refused,
            None if self.is_lost => RequestOutcome::Lost,
            None => RequestOutcome::Late,
        }
    }

    pub(super) fn measure(&self, arrival: &Arrival) -> RequestMeasure {
        let (prefill, decode) = arrival.work(EngineRates::default());
        let decode_time = match (self.first_token_at, self.completed_at) {
            (Some(first), Some(last)) => Some(last.since(first)),
            _ => None,
        };
        RequestMeasure {
            workspace: arrival.workspace,
            urgency: arrival.kind.urgency,
            tokens: arrival.prompt_tokens + arrival.output_tokens,
            output_tokens: arrival.output_tokens,
            work: prefill + decode,
            outcome: self.outcome(arrival),
            first_token: self.first_token_at.map(|at| at.since(arrival.at)),
            decode_time,
            on_reclaimable: self.on_reclaimable,
        }
    }

    /// Adds the request's pieces to the point of the interval in which it
    /// arrived.
    pub(super) fn add_to_series(&self, arrival: &Arrival, series: &mut [SeriesPoint]) {
        let index = arrival.at.0 / SERIES_INTERVAL.as_micros() as u64;
        let Some(point) = series.get_mut(index as usize) else {
            return;
        };
        let tokens = arrival.prompt_tokens + arrival.output_tokens;
        let pieces = tokens as f64 / TOKENS_PER_PIECE as f64;
        point.offered_pieces += pieces;
        if self.outcome(arrival) == RequestOutcome::InTime {
            point.goodput_pieces += pieces;
        }
    }
}

/// Returns the identifier of the request with this index, which is the index in
/// hexadecimal digits.
fn request_id(index: usize) -> Option<RequestId> {
    format!("{index:032x}").parse().ok()
}

/// Returns the index of the request with this identifier, from the last 8 of its
/// 32 hexadecimal digits.
fn request_index(request: RequestId) -> Option<usize> {
    let text = request.to_string();
    usize::from_str_radix(text.get(24..)?, 16).ok()
}

impl Simulation {
    pub(super) fn handle_arrival(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let host = arrival.balancer_draw % self.hosts.len();
        self.requests[index].host = host;
        self.arrived_tokens.add(&arrival);
        if let Some(facts) = self.request_facts(index) {
            self.pending_events
                .push_back((host, EntryEvent::Arrived(facts)));
        }
    }

    fn request_facts(&self, index: usize) -> Option<RequestFacts> {
        let arrival = &self.arrivals[index];
        let host = &self.hosts[self.requests[index].host];
        let model = &self.models[usize::from(arrival.kind.uses_small_pool)];
        Some(RequestFacts {
            request: request_id(index)?,
            workspace: host.workspace_keys[arrival.workspace],
            urgency: arrival.kind.urgency,
            target: Target::Model(model.clone()),
            prompt_tokens: arrival.prompt_tokens,
            max_output_tokens: match self.key.contender {
                Contender::Oracle => arrival.output_tokens,
                _ => arrival.kind.max_output_tokens,
            },
            deadline: arrival.at + arrival.kind.deadline,
            idempotent: arrival.kind.idempotent,
            prefix: arrival.prefix.map(|(prefix, _)| prefix),
        })
    }

    pub(super) fn execute_action(&mut self, host: usize, action: EntryAction) {
        match action {
            EntryAction::Prefill {
                request,
                upstream,
                priority,
            } => self.submit(host, request, upstream, priority, JobPhase::PrefillOnly),
            EntryAction::Dispatch {
                request,
                upstream,
                priority,
            } => {
                let index = request_index(request);
                let is_prefilled = index.is_some_and(|index| self.requests[index].is_prefilled);
                let phase = match is_prefilled {
                    true => JobPhase::DecodeOnly,
                    false => JobPhase::PrefillDecode,
                };
                self.submit(host, request, upstream, priority, phase);
            }
            EntryAction::Refuse { request, .. } => {
                if let Some(index) = request_index(request) {
                    self.requests[index].is_refused = true;
                }
            }
        }
    }

    fn submit(
        &mut self,
        host: usize,
        request: RequestId,
        upstream: UpstreamKey,
        priority: u8,
        phase: JobPhase,
    ) {
        let Some((index, engine)) =
            request_index(request).zip(self.hosts[host].engine_index(upstream))
        else {
            return;
        };
        let state = &mut self.requests[index];
        state.engine = Some(engine);
        state.priority = priority;
        match phase {
            JobPhase::DecodeOnly => {
                let tokens = self.arrivals[index].prompt_tokens as u32;
                let at = match self.key.contender {
                    Contender::Oracle => self.now,
                    _ => self.now + KV_TRANSFER_TIME_PER_TOKEN * tokens,
                };
                let event = SimulationEvent::KvArrival {
                    request: index,
                    engine,
                };
                self.schedule.add(at, event);
            }
            JobPhase::PrefillDecode | JobPhase::PrefillOnly => self.start_job(index, engine, phase),
        }
    }

    /// Starts decode on `engine`, unless the attempt ended during the transfer of
    /// the KV cache.
    pub(super) fn start_decode(&mut self, index: usize, engine: usize) {
        if self.requests[index].engine == Some(engine) {
            self.start_job(index, engine, JobPhase::DecodeOnly);
        }
    }

    fn start_job(&mut self, index: usize, engine: usize, phase: JobPhase) {
        let arrival = &self.arrivals[index];
        let job = EngineJob {
            id: index as u64,
            phase,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            prefix: arrival.prefix,
            priority: self.requests[index].priority,
        };
        let simulated = &mut self.engines[engine];
        let is_accepted = match simulated.is_removed() {
            true => false,
            false => simulated.model.submit(self.now, job).is_ok(),
        };
        match is_accepted {
            true => self.schedule_engine(engine),
            false => self.retry(index, engine, AttemptEnd::Busy),
        }
    }

    /// Ends an attempt that its engine interrupted; idempotent requests are
    /// retried, others are lost.
    pub(super) fn fail_attempt(&mut self, index: usize, engine: usize) {
        match self.arrivals[index].kind.idempotent {
            true => self.retry(index, engine, AttemptEnd::UpstreamFailed),
            false => {
                self.requests[index].is_lost = true;
                self.end_attempt(index, engine, AttemptEnd::UpstreamFailed);
            }
        }
    }

    /// Ends a failed attempt and returns the request to its entry host, or counts
    /// it as refused after [`MAX_ATTEMPTS`] failed attempts.
    fn retry(&mut self, index: usize, engine: usize, end: AttemptEnd) {
        self.end_attempt(index, engine, end);
        let state = &mut self.requests[index];
        state.is_prefilled = false;
        state.first_token_at = None;
        state.failed_engines.push(engine);
        if state.failed_engines.len() >= MAX_ATTEMPTS {
            state.is_refused = true;
            return;
        }
        let host = state.host;
        let avoid = state
            .failed_engines
            .iter()
            .map(|e| self.hosts[host].upstream_keys[*e]);
        let avoid = avoid.collect();
        if let Some(facts) = self.request_facts(index) {
            let event = EntryEvent::Retry { facts, avoid };
            self.pending_events.push_back((host, event));
        }
    }

    pub(super) fn end_attempt(&mut self, index: usize, engine: usize, end: AttemptEnd) {
        let state = &mut self.requests[index];
        state.engine = None;
        let host = state.host;
        let upstream = self.hosts[host].upstream_keys[engine];
        if let Some(request) = request_id(index) {
            let event = EntryEvent::Ended {
                request,
                upstream,
                end,
            };
            self.pending_events.push_back((host, event));
        }
    }

    pub(super) fn record_migration(&mut self, index: usize, engine: usize) {
        let state = &mut self.requests[index];
        state.engine = Some(engine);
        let host = state.host;
        let upstream = self.hosts[host].upstream_keys[engine];
        if let Some(request) = request_id(index) {
            let event = EntryEvent::Migrated { request, upstream };
            self.pending_events.push_back((host, event));
        }
    }

    pub(super) fn record_prefill_end(&mut self, index: usize, engine: usize) {
        let state = &mut self.requests[index];
        state.is_prefilled = true;
        let host = state.host;
        let upstream = self.hosts[host].upstream_keys[engine];
        if let Some(request) = request_id(index) {
            let event = EntryEvent::Prefilled { request, upstream };
            self.pending_events.push_back((host, event));
        }
    }

    pub(super) fn record_first_token(&mut self, index: usize) {
        let state = &mut self.requests[index];
        state.first_token_at = Some(self.now);
        let host = state.host;
        if let Some(request) = request_id(index) {
            let event = EntryEvent::FirstToken { request };
            self.pending_events.push_back((host, event));
        }
    }
}
