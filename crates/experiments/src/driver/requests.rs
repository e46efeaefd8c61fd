//! Requests of a run, from arrival to their end.

use crate::contender::Contender;
use crate::driver::{Run, SERIES_INTERVAL};
use crate::measures::{RequestEnd, RequestMeasure};
use crate::schedule::Occurrence;
use crate::series::SeriesPoint;
use crate::traffic::Arrival;
use lagoonlift_policy::{
    AttemptEnd, EngineRates, EntryAction, EntryEvent, RequestFacts, Target, Timestamp, UpstreamKey,
};
use lagoonlift_standins::model::{EngineJob, JobPhase};
use lagoonlift_types::{RequestId, TOKENS_PER_PIECE};
use std::time::Duration;

/// Time to move a token's KV cache between two engines.
const KV_MOVE_PER_TOKEN: Duration = Duration::from_micros(5);
/// Attempts after which a request is given up.
const MAX_ATTEMPTS: usize = 8;

/// What became of a request so far.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    pub(super) host: usize,
    prompt_is_read: bool,
    priority: u8,
    engine: Option<usize>,
    avoid: Vec<usize>,
    refused: bool,
    lost: bool,
    first_token_at: Option<Timestamp>,
    pub(super) completed_at: Option<Timestamp>,
    pub(super) on_cheap: bool,
}

impl RequestState {
    fn end(&self, arrival: &Arrival) -> RequestEnd {
        let deadline = arrival.at + arrival.kind.deadline;
        match self.completed_at {
            Some(at) if at <= deadline => RequestEnd::InTime,
            Some(_) => RequestEnd::Late,
            None if self.refused => RequestEnd::Refused,
            None if self.lost => RequestEnd::Lost,
            None => RequestEnd::Late,
        }
    }

    pub(super) fn measure(&self, arrival: &Arrival) -> RequestMeasure {
        let (prefill, decode) = arrival.work(EngineRates::default());
        let generating = match (self.first_token_at, self.completed_at) {
            (Some(first), Some(last)) => Some(last.since(first)),
            _ => None,
        };
        RequestMeasure {
            workspace: arrival.workspace,
            urgency: arrival.kind.urgency,
            tokens: arrival.prompt_tokens + arrival.output_tokens,
            output_tokens: arrival.output_tokens,
            work: prefill + decode,
            end: self.end(arrival),
            first_token: self.first_token_at.map(|at| at.since(arrival.at)),
            generating,
            on_cheap: self.on_cheap,
        }
    }

    /// Adds the request's pieces to the interval in which it arrived.
    pub(super) fn add_to_series(&self, arrival: &Arrival, series: &mut [SeriesPoint]) {
        let index = arrival.at.0 / SERIES_INTERVAL.as_micros() as u64;
        let Some(point) = series.get_mut(index as usize) else {
            return;
        };
        let tokens = arrival.prompt_tokens + arrival.output_tokens;
        let pieces = tokens as f64 / TOKENS_PER_PIECE as f64;
        point.offered_pieces += pieces;
        if self.end(arrival) == RequestEnd::InTime {
            point.goodput_pieces += pieces;
        }
    }
}

/// Returns the identifier of the request with this index.
fn request_id(index: usize) -> Option<RequestId> {
    format!("{index:032x}").parse().ok()
}

/// Returns the index of the request with this identifier.
fn request_index(request: RequestId) -> Option<usize> {
    let text = request.to_string();
    usize::from_str_radix(text.get(24..)?, 16).ok()
}

impl Run {
    pub(super) fn arrive(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let host = arrival.balance % self.hosts.len();
        self.requests[index].host = host;
        self.demand.add(&arrival);
        if let Some(facts) = self.facts(index) {
            self.inbox.push_back((host, EntryEvent::Arrived(facts)));
        }
    }

    fn facts(&self, index: usize) -> Option<RequestFacts> {
        let arrival = &self.arrivals[index];
        let host = &self.hosts[self.requests[index].host];
        let model = &self.models[usize::from(arrival.kind.small_pool)];
        Some(RequestFacts {
            request: request_id(index)?,
            workspace: host.workspaces[arrival.workspace],
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

    pub(super) fn carry_out(&mut self, host: usize, action: EntryAction) {
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
                let is_read = index.is_some_and(|index| self.requests[index].prompt_is_read);
                let phase = match is_read {
                    true => JobPhase::DecodeOnly,
                    false => JobPhase::PrefillDecode,
                };
                self.submit(host, request, upstream, priority, phase);
            }
            EntryAction::Refuse { request, .. } => {
                if let Some(index) = request_index(request) {
                    self.requests[index].refused = true;
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
        let Some((index, engine)) = request_index(request).zip(self.hosts[host].engine(upstream))
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
                    _ => self.now + KV_MOVE_PER_TOKEN * tokens,
                };
                let occurrence = Occurrence::KvArrival {
                    request: index,
                    engine,
                };
                self.schedule.add(at, occurrence);
            }
            JobPhase::PrefillDecode | JobPhase::PrefillOnly => self.start_job(index, engine, phase),
        }
    }

    pub(super) fn continue_answer(&mut self, index: usize, engine: usize) {
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
        let slot = &mut self.engines[engine];
        let accepted = match slot.is_gone() {
            true => false,
            false => slot.model.submit(self.now, job).is_ok(),
        };
        match accepted {
            true => self.schedule_engine(engine),
            false => self.retry(index, engine, AttemptEnd::Busy),
        }
    }

    /// Ends an attempt that its engine cut short.
    pub(super) fn fail_attempt(&mut self, index: usize, engine: usize) {
        match self.arrivals[index].kind.idempotent {
            true => self.retry(index, engine, AttemptEnd::UpstreamFailed),
            false => {
                self.requests[index].lost = true;
                self.end_attempt(index, engine, AttemptEnd::UpstreamFailed);
            }
        }
    }

    fn retry(&mut self, index: usize, engine: usize, end: AttemptEnd) {
        self.end_attempt(index, engine, end);
        let state = &mut self.requests[index];
        state.prompt_is_read = false;
        state.first_token_at = None;
        state.avoid.push(engine);
        if state.avoid.len() >= MAX_ATTEMPTS {
            state.refused = true;
            return;
        }
        let host = state.host;
        let avoid = state.avoid.iter().map(|e| self.hosts[host].upstreams[*e]);
        let avoid = avoid.collect();
        if let Some(facts) = self.facts(index) {
            let event = EntryEvent::Retry { facts, avoid };
            self.inbox.push_back((host, event));
        }
    }

    pub(super) fn end_attempt(&mut self, index: usize, engine: usize, end: AttemptEnd) {
        let state = &mut self.requests[index];
        state.engine = None;
        let host = state.host;
        let upstream = self.hosts[host].upstreams[engine];
        if let Some(request) = request_id(index) {
            let event = EntryEvent::Ended {
                request,
                upstream,
                end,
            };
            self.inbox.push_back((host, event));
        }
    }

    pub(super) fn note_move(&mut self, index: usize, engine: usize) {
        let state = &mut self.requests[index];
        state.engine = Some(engine);
        let host = state.host;
        let upstream = self.hosts[host].upstreams[engine];
        if let Some(request) = request_id(index) {
            let event = EntryEvent::Migrated { request, upstream };
            self.inbox.push_back((host, event));
        }
    }

    pub(super) fn finish_prompt(&mut self, index: usize, engine: usize) {
        let state = &mut self.requests[index];
        state.prompt_is_read = true;
        let host = state.host;
        let upstream = self.hosts[host].upstreams[engine];
        if let Some(request) = request_id(index) {
            let event = EntryEvent::Prefilled { request, upstream };
            self.inbox.push_back((host, event));
        }
    }

    pub(super) fn note_first_token(&mut self, index: usize) {
        let state = &mut self.requests[index];
        state.first_token_at = Some(self.now);
        let host = state.host;
        if let Some(request) = request_id(index) {
            let event = EntryEvent::FirstToken { request };
            self.inbox.push_back((host, event));
        }
    }
}
