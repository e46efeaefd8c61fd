//! What is queued, what is refused and what is started.

use crate::entry::placement::{Choice, Placement, Search};
use crate::entry::pools::Part;
use crate::entry::queue::WaitingRequest;
use crate::entry::{Attempt, EntryPolicy, priority};
use crate::{EntryAction, RequestFacts, Target, Timestamp, UpstreamKey, WorkspaceKey};
use lagoonlift_types::{NotRunReason, RequestId, Urgency};
use std::time::Duration;

/// How long a caller is asked to wait when no upstream can take its request.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);
/// How long a caller is asked to wait when the queue is full.
const OVERLOAD_RETRY: Duration = Duration::from_secs(5);

impl EntryPolicy {
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        facts: RequestFacts,
        actions: &mut Vec<EntryAction>,
    ) {
        let waiting = self.waiting(now, facts, Vec::new());
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
                queue.queue.push(waiting, weight);
                self.drain(now, &target, actions);
            }
        }
    }

    /// A retry was admitted once already: it goes first and isn't refused for
    /// want of room.
    pub(super) fn readmit(
        &mut self,
        now: Timestamp,
        facts: RequestFacts,
        avoid: Vec<UpstreamKey>,
        actions: &mut Vec<EntryAction>,
    ) {
        self.forget_attempt(now, facts.request);
        let target = facts.target.clone();
        let weight = self.weight(facts.workspace);
        let waiting = self.waiting(now, facts, avoid);
        let queue = self.queues.entry(target.clone()).or_default();
        queue.queue.push_front(waiting, weight);
        self.drain(now, &target, actions);
    }

    fn waiting(
        &self,
        now: Timestamp,
        facts: RequestFacts,
        avoid: Vec<UpstreamKey>,
    ) -> WaitingRequest {
        let output_tokens = self.expected_output_tokens(&facts);
        let read_seconds = facts.prompt_tokens as f64 / self.limits.prefill_tokens_per_second;
        let generate = self.limits.token_gap * output_tokens.min(u64::from(u32::MAX)) as u32;
        let service = Duration::from_secs_f64(read_seconds) + generate;
        let latest_start = match facts.deadline.since(now) >= service {
            true => facts.deadline - service,
            false => now.max(facts.deadline - service),
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

    /// Returns why a new request isn't even queued, if so.
    ///
    /// A workspace may queue as much as the queue has left, so one that floods
    /// never takes more than half of it.
    fn refusal(
        &mut self,
        now: Timestamp,
        waiting: &WaitingRequest,
    ) -> Option<(NotRunReason, Duration)> {
        let target = &waiting.facts.target;
        let members = self.pools.get(target).map_or(0, |pool| pool.answer_members);
        if members == 0 {
            return Some((NotRunReason::NoUpstream, NO_UPSTREAM_RETRY));
        }
        let queue = self.queues.get_mut(target)?;
        let own = queue.queue.workspace_tokens(waiting.facts.workspace) + waiting.cost;
        let free = self
            .limits
            .queue_tokens
            .saturating_sub(queue.queue.tokens());
        let is_full = !queue.queue.is_empty()
            && (own > free || queue.queue.len() >= self.limits.queue_requests);
        if is_full {
            return Some((NotRunReason::Overloaded, OVERLOAD_RETRY));
        }
        let rate = queue.drain.rate(now)?;
        let shares = queue.queue.waiting_workspaces().max(1) as f64;
        let ahead = match waiting.facts.urgency {
            Urgency::Urgent => own as f64 * shares,
            Urgency::Normal | Urgency::Background => {
                (own as f64 * shares).min((queue.queue.tokens() + waiting.cost) as f64)
            }
        };
        let wait = Duration::from_secs_f64(ahead / rate);
        let is_late = now + wait > waiting.latest_start;
        is_late.then_some((NotRunReason::Overloaded, wait.max(OVERLOAD_RETRY)))
    }

    pub(super) fn drain_all(&mut self, now: Timestamp, actions: &mut Vec<EntryAction>) {
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            self.drain(now, &target, actions);
        }
    }

    pub(super) fn drain_upstream(
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
                self.drain(now, &target, actions);
            }
            Some(_) => {
                let models: Vec<_> = facts.models.iter().cloned().collect();
                for model in models {
                    self.drain(now, &Target::Model(model), actions);
                }
            }
        }
    }

    /// Refuses what has come too late and starts what has room.
    pub(super) fn drain(
        &mut self,
        now: Timestamp,
        target: &Target,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(queue) = self.queues.get_mut(target) else {
            return;
        };
        while let Some(expired) = queue.queue.expire(now) {
            actions.push(EntryAction::Refuse {
                request: expired.facts.request,
                reason: NotRunReason::Overloaded,
                retry_after: OVERLOAD_RETRY,
            });
        }
        self.answer_read(now, target, actions);
        while self.start_one(now, target, actions) {}
        if let Some(queue) = self.queues.get_mut(target) {
            queue.drain.waiting(now, !queue.queue.is_empty());
        }
    }

    /// Starts or refuses one waiting request; returns whether it did.
    fn start_one(
        &mut self,
        now: Timestamp,
        target: &Target,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(queue) = self.queues.get(target) else {
            return false;
        };
        let candidates = queue.queue.candidates(self.limits.lead_tokens);
        let candidates: Vec<WaitingRequest> = candidates.cloned().collect();
        for waiting in candidates {
            let request = waiting.facts.request;
            match self.find(now, &waiting) {
                (_, Choice::Full) => {}
                (_, Choice::Nowhere) => {
                    if let Some(queue) = self.queues.get_mut(target) {
                        queue.queue.remove(request);
                    }
                    actions.push(EntryAction::Refuse {
                        request,
                        reason: NotRunReason::NoUpstream,
                        retry_after: NO_UPSTREAM_RETRY,
                    });
                    return true;
                }
                (part, Choice::Found(upstream, _)) => {
                    self.start(now, waiting, part, upstream, actions);
                    return true;
                }
            }
        }
        false
    }

    /// Looks for an upstream: one that reads the prompt if there are such and
    /// the answer has a place to go to, else one that does the whole.
    fn find(&mut self, now: Timestamp, waiting: &WaitingRequest) -> (Part, Choice) {
        let target = &waiting.facts.target;
        let Some(pool) = self.pools.get(target) else {
            return (Part::Answer, Choice::Nowhere);
        };
        let splits = self.splits_phases && pool.prompt_members > 0;
        let reading = self.queues.get(target).map_or(0, |queue| queue.reading);
        let committed = f64::from(reading * self.limits.entry_processes)
            / f64::from(self.limits.streams)
            / pool.answer_members.max(1) as f64;
        let answer = self.search(now, &waiting.facts, &waiting.avoid, Part::Answer, 1.0);
        match answer {
            Choice::Found(_, load) if splits && load + committed < 1.0 => {
                let prompt = self.search(now, &waiting.facts, &waiting.avoid, Part::Prompt, 1.0);
                match prompt {
                    Choice::Nowhere => (Part::Answer, answer),
                    Choice::Full if load < self.limits.overflow_share => {
                        (Part::Prompt, self.search_overflow(now, waiting))
                    }
                    prompt => (Part::Prompt, prompt),
                }
            }
            Choice::Found(..) if splits => (Part::Prompt, Choice::Full),
            answer => (Part::Answer, answer),
        }
    }

    /// Looks for an engine that generates to read a prompt, too. Streams there
    /// slow down meanwhile, so the few first ones are taken, not all in turn.
    fn search_overflow(&mut self, now: Timestamp, waiting: &WaitingRequest) -> Choice {
        let search = Search {
            facts: &waiting.facts,
            avoid: &waiting.avoid,
            part: Part::Answer,
            bound: self.limits.overflow_share,
            concentrates: true,
        };
        self.choose(now, search)
    }

    pub(super) fn search(
        &mut self,
        now: Timestamp,
        facts: &RequestFacts,
        avoid: &[UpstreamKey],
        part: Part,
        bound: f64,
    ) -> Choice {
        let search = Search {
            facts,
            avoid,
            part,
            bound,
            concentrates: false,
        };
        self.choose(now, search)
    }

    fn choose(&mut self, now: Timestamp, search: Search<'_>) -> Choice {
        let Some(pool) = self.pools.get(&search.facts.target) else {
            return Choice::Nowhere;
        };
        let mut placement = Placement {
            now,
            limits: &self.limits,
            upstreams: &self.upstreams,
            pool,
            prefixes: &self.prefixes,
            rng: &mut self.rng,
            own_site: self.own_site,
            cheap_requests: &self.cheap_requests,
        };
        placement.choose(search)
    }

    fn start(
        &mut self,
        now: Timestamp,
        waiting: WaitingRequest,
        part: Part,
        upstream: UpstreamKey,
        actions: &mut Vec<EntryAction>,
    ) {
        let facts = waiting.facts;
        if let Some(queue) = self.queues.get_mut(&facts.target) {
            queue.queue.start(facts.request);
            queue.drain.started(now, waiting.cost);
            queue.reading += u32::from(part == Part::Prompt);
        }
        let (request, urgency) = (facts.request, facts.urgency);
        let attempt = Attempt {
            facts,
            upstream,
            part,
            charged: waiting.cost,
            prompt_is_read: false,
        };
        self.send(now, attempt, upstream);
        let priority = priority(urgency);
        actions.push(match part {
            Part::Prompt => EntryAction::Prefill {
                request,
                upstream,
                priority,
            },
            Part::Answer => EntryAction::Dispatch {
                request,
                upstream,
                priority,
            },
        });
    }

    /// Forgets a request that was given up while it waited, in the queue or for
    /// an engine after its prompt was read.
    pub(super) fn withdraw(&mut self, now: Timestamp, request: RequestId) {
        let waits_for_engine = self
            .attempts
            .get(&request)
            .is_some_and(|attempt| attempt.part == Part::Prompt && attempt.prompt_is_read);
        if waits_for_engine {
            self.forget_attempt(now, request);
            return;
        }
        for target in self.queues.values_mut() {
            if target.queue.remove(request).is_some() {
                return;
            }
        }
    }
}
