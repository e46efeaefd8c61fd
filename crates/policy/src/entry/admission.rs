//! Admission of requests, and dispatch from the queues.
//!
//! A request that would miss its deadline in the queue is refused on arrival,
//! while the caller can still send it elsewhere or retry later.

use crate::entry::placement::{Choice, Placement, Search};
use crate::entry::pools::Phase;
use crate::entry::queue::WaitingRequest;
use crate::entry::{Attempt, EntryPolicy, engine_priority};
use crate::{EntryAction, RequestFacts, Target, Timestamp, UpstreamKey, WorkspaceKey};
use lagoonlift_types::{NotRunReason, RequestId, Urgency};
use std::time::Duration;

/// Retry delay sent to the caller when no upstream can serve its request.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Minimum retry delay sent to the caller when the queue is overloaded.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl EntryPolicy {
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        facts: RequestFacts,
        actions: &mut Vec<EntryAction>,
    ) {
        let waiting = self.waiting_request(now, facts, Vec::new());
        match self.refusal(now, &waiting) {
            Some((reason, retry_after)) => actions.push(EntryAction::Refuse {
                request: waiting.facts.request,
                reason,
                retry_after,
            }),
            None => {
                let target = waiting.facts.target.clone();
                let weight = self.weight(waiting.facts.workspace);
                let queue = self.queues.entry(target.clone()).or_default();
                queue.pending.push(waiting, weight);
                self.process_queue(now, &target, actions);
            }
        }
    }

    /// Queues a retry at the front.
    ///
    /// The request was already admitted once, so it is not refused because of a
    /// full queue.
    pub(super) fn requeue(
        &mut self,
        now: Timestamp,
        facts: RequestFacts,
        avoid: Vec<UpstreamKey>,
        actions: &mut Vec<EntryAction>,
    ) {
        self.remove_attempt(now, facts.request);
        let target = facts.target.clone();
        let weight = self.weight(facts.workspace);
        let waiting = self.waiting_request(now, facts, avoid);
        let queue = self.queues.entry(target.clone()).or_default();
        queue.pending.push_front(waiting, weight);
        self.process_queue(now, &target, actions);
    }

    fn waiting_request(
        &self,
        now: Timestamp,
        facts: RequestFacts,
        avoid: Vec<UpstreamKey>,
    ) -> WaitingRequest {
        let output_tokens = self.expected_output_tokens(&facts);
        let prefill_seconds = facts.prompt_tokens as f64 / self.limits.prefill_tokens_per_second;
        let decode_time = self.limits.token_gap * output_tokens.min(u64::from(u32::MAX)) as u32;
        let service_time = Duration::from_secs_f64(prefill_seconds) + decode_time;
        let latest_start = match facts.deadline.since(now) >= service_time {
            true => facts.deadline - service_time,
            // This is always `now`: the request is too late to meet its deadline,
            // but can still be sent if an upstream has room at once.
            false => now.max(facts.deadline - service_time),
        };
        WaitingRequest {
            cost: facts.prompt_tokens + output_tokens,
            latest_start,
            facts,
            avoid,
        }
    }

    fn weight(&self, workspace: WorkspaceKey) -> u32 {
        let record = self.workspaces.get(workspace);
        record.map_or(1, |record| record.facts.weight)
    }

    /// Returns the reason and the retry delay if a new request must be refused
    /// instead of queued.
    ///
    /// A request is refused if its workspace would then have more tokens queued
    /// than the queue has free now. A single workspace therefore occupies about
    /// half of the queue at most: the last request that is accepted may exceed the
    /// half by up to half of its own cost. The rule doesn't apply while the queue
    /// is empty, nor to retries, which [`EntryPolicy::requeue`] queues.
    fn refusal(
        &mut self,
        now: Timestamp,
        waiting: &WaitingRequest,
    ) -> Option<(NotRunReason, Duration)> {
        let target = &waiting.facts.target;
        let upstream_count = self.pools.get(target).map_or(0, |pool| pool.decode_count);
        if upstream_count == 0 {
            return Some((NotRunReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER));
        }
        let queue = self.queues.get_mut(target)?;
        let own_tokens = queue.pending.workspace_tokens(waiting.facts.workspace) + waiting.cost;
        let free_tokens = self
            .limits
            .max_queue_tokens
            .saturating_sub(queue.pending.tokens());
        let is_full = !queue.pending.is_empty()
            && (own_tokens > free_tokens || queue.pending.len() >= self.limits.max_queue_requests);
        if is_full {
            return Some((NotRunReason::Overloaded, OVERLOADED_RETRY_AFTER));
        }
        let rate = queue.drain_rate.rate(now)?;
        let workspaces = queue.pending.waiting_workspaces().max(1) as f64;
        let tokens_ahead = match waiting.facts.urgency {
            Urgency::Urgent => own_tokens as f64 * workspaces,
            Urgency::Normal | Urgency::Background => {
                (own_tokens as f64 * workspaces).min((queue.pending.tokens() + waiting.cost) as f64)
            }
        };
        let wait = Duration::from_secs_f64(tokens_ahead / rate);
        let misses_latest_start = now + wait > waiting.latest_start;
        misses_latest_start.then_some((NotRunReason::Overloaded, wait.max(OVERLOADED_RETRY_AFTER)))
    }

    pub(super) fn process_all_queues(&mut self, now: Timestamp, actions: &mut Vec<EntryAction>) {
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            self.process_queue(now, &target, actions);
        }
    }

    /// Processes the queues of all targets that `upstream` serves.
    pub(super) fn process_upstream_queues(
        &mut self,
        now: Timestamp,
        upstream: UpstreamKey,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(upstream) = self.upstreams.get(upstream) else {
            return;
        };
        let facts = &upstream.facts;
        match facts.role {
            None => {
                let target = Target::Service(facts.name.clone());
                self.process_queue(now, &target, actions);
            }
            Some(_) => {
                let models: Vec<_> = facts.models.iter().cloned().collect();
                for model in models {
                    self.process_queue(now, &Target::Model(model), actions);
                }
            }
        }
    }

    /// Refuses expired requests, dispatches prefilled ones, then starts queued
    /// requests until no candidate finds an upstream with room.
    pub(super) fn process_queue(
        &mut self,
        now: Timestamp,
        target: &Target,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(queue) = self.queues.get_mut(target) else {
            return;
        };
        while let Some(expired) = queue.pending.expire(now) {
            actions.push(EntryAction::Refuse {
                request: expired.facts.request,
                reason: NotRunReason::Overloaded,
                retry_after: OVERLOADED_RETRY_AFTER,
            });
        }
        self.dispatch_prefilled(now, target, actions);
        while self.start_one(now, target, actions) {}
        if let Some(queue) = self.queues.get_mut(target) {
            queue
                .drain_rate
                .record_backlog(now, !queue.pending.is_empty());
        }
    }

    /// Starts or refuses one queued request and returns whether there was one to
    /// start or refuse.
    fn start_one(
        &mut self,
        now: Timestamp,
        target: &Target,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(queue) = self.queues.get(target) else {
            return false;
        };
        let candidates = queue.pending.candidates(self.limits.max_lead_tokens);
        let candidates: Vec<WaitingRequest> = candidates.cloned().collect();
        for waiting in candidates {
            let request = waiting.facts.request;
            match self.find_upstream(now, &waiting) {
                (_, Choice::Full) => {}
                (_, Choice::NoUpstream) => {
                    if let Some(queue) = self.queues.get_mut(target) {
                        queue.pending.discard(request);
                    }
                    actions.push(EntryAction::Refuse {
                        request,
                        reason: NotRunReason::NoUpstream,
                        retry_after: NO_UPSTREAM_RETRY_AFTER,
                    });
                    return true;
                }
                (phase, Choice::Found(upstream, _)) => {
                    self.start(now, waiting, phase, upstream, actions);
                    return true;
                }
            }
        }
        false
    }

    /// Finds an upstream for a request and the phase to send the request for.
    ///
    /// Without prefill engines, or if prefill isn't disaggregated, the upstream
    /// serves the whole request, which is [`Phase::Decode`]. Otherwise there are
    /// these cases:
    ///
    /// * No decode engine would have room for the request after its prefill: the
    ///   result is [`Choice::Full`], or [`Choice::NoUpstream`] if no decode engine
    ///   serves it.
    /// * A prefill engine has room: it serves [`Phase::Prefill`].
    /// * All prefill engines are full: if the load of the decode engine that was
    ///   found is low, a decode engine serves [`Phase::Prefill`] (see
    ///   `find_overflow`). Otherwise the result is [`Choice::Full`].
    /// * No prefill engine serves the request: a decode engine serves the whole
    ///   request.
    ///
    /// The load of the decode engine is the one in [`Choice::Found`], which is
    /// reduced for reclaimable upstreams.
    fn find_upstream(&mut self, now: Timestamp, waiting: &WaitingRequest) -> (Phase, Choice) {
        let target = &waiting.facts.target;
        let Some(pool) = self.pools.get(target) else {
            return (Phase::Decode, Choice::NoUpstream);
        };
        let uses_prefill_engines = self.is_disaggregated && pool.prefill_count > 0;
        let awaiting_decode = self
            .queues
            .get(target)
            .map_or(0, |queue| queue.awaiting_decode);
        let committed_load = f64::from(awaiting_decode * self.limits.entry_processes)
            / f64::from(self.limits.max_streams)
            / pool.decode_count.max(1) as f64;
        let decode_choice = self.search(now, &waiting.facts, &waiting.avoid, Phase::Decode, 1.0);
        match decode_choice {
            Choice::Found(_, load) if uses_prefill_engines && load + committed_load < 1.0 => {
                let prefill_choice =
                    self.search(now, &waiting.facts, &waiting.avoid, Phase::Prefill, 1.0);
                match prefill_choice {
                    Choice::NoUpstream => (Phase::Decode, decode_choice),
                    Choice::Full if load < self.limits.overflow_load_share => {
                        (Phase::Prefill, self.find_overflow(now, waiting))
                    }
                    prefill_choice => (Phase::Prefill, prefill_choice),
                }
            }
            Choice::Found(..) if uses_prefill_engines => (Phase::Prefill, Choice::Full),
            decode_choice => (Phase::Decode, decode_choice),
        }
    }

    /// Finds a decode engine with low load that prefills a prompt in addition to
    /// its streams.
    ///
    /// Prefill slows down the streams of that engine, so overflow is concentrated
    /// on the first few engines instead of spread over all of them.
    fn find_overflow(&mut self, now: Timestamp, waiting: &WaitingRequest) -> Choice {
        let search = Search {
            facts: &waiting.facts,
            avoid: &waiting.avoid,
            phase: Phase::Decode,
            max_load: self.limits.overflow_load_share,
            takes_first: true,
        };
        self.choose(now, search)
    }

    pub(super) fn search(
        &mut self,
        now: Timestamp,
        facts: &RequestFacts,
        avoid: &[UpstreamKey],
        phase: Phase,
        max_load: f64,
    ) -> Choice {
        let search = Search {
            facts,
            avoid,
            phase,
            max_load,
            takes_first: false,
        };
        self.choose(now, search)
    }

    fn choose(&mut self, now: Timestamp, search: Search<'_>) -> Choice {
        let Some(pool) = self.pools.get(&search.facts.target) else {
            return Choice::NoUpstream;
        };
        let mut placement = Placement {
            now,
            limits: &self.limits,
            upstreams: &self.upstreams,
            pool,
            prefixes: &self.prefixes,
            rng: &mut self.rng,
            own_data_centre: self.own_data_centre,
            reclaimable_requests: &self.reclaimable_requests,
        };
        placement.choose(search)
    }

    fn start(
        &mut self,
        now: Timestamp,
        waiting: WaitingRequest,
        phase: Phase,
        upstream: UpstreamKey,
        actions: &mut Vec<EntryAction>,
    ) {
        let facts = waiting.facts;
        if let Some(queue) = self.queues.get_mut(&facts.target) {
            queue.pending.start(facts.request);
            queue.drain_rate.record_start(now, waiting.cost);
            queue.awaiting_decode += u32::from(phase == Phase::Prefill);
        }
        let (request, urgency) = (facts.request, facts.urgency);
        let attempt = Attempt {
            facts,
            upstream,
            phase,
            charged_tokens: waiting.cost,
            is_prefilled: false,
        };
        self.record_send(now, attempt, upstream);
        let priority = engine_priority(urgency);
        actions.push(match phase {
            Phase::Prefill => EntryAction::Prefill {
                request,
                upstream,
                priority,
            },
            Phase::Decode => EntryAction::Dispatch {
                request,
                upstream,
                priority,
            },
        });
    }

    /// Removes a cancelled request that was waiting in the queue, or was waiting
    /// for a decode engine after its prefill.
    pub(super) fn cancel_waiting(&mut self, now: Timestamp, request: RequestId) {
        let awaits_decode_engine = self
            .attempts
            .get(&request)
            .is_some_and(|attempt| attempt.phase == Phase::Prefill && attempt.is_prefilled);
        if awaits_decode_engine {
            self.remove_attempt(now, request);
            return;
        }
        for queue in self.queues.values_mut() {
            if queue.pending.discard(request).is_some() {
                return;
            }
        }
    }
}
