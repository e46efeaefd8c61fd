//! The actor that owns the admission policy.
//!
//! Decisions about one request depend on all others, so one actor takes them
//! in turn. It sees a request when it arrives, when it is placed again and when
//! an attempt ends; the tokens in between pass it by.

mod messages;

pub(crate) use messages::{ListLinks, Observe, Place, Placement, PlacementRequest, Reconfigure};

use crate::explain::{DecisionRecorder, LastReport, PlacementFacts};
use crate::health::UpstreamHealth;
use crate::link::{UpstreamEntry, UpstreamId, UpstreamLink};
use crate::slot::UpstreamSlot;
use lagoonlift_policy::{
    AttemptEnd, EntryAction, EntryEvent, EntryPolicy, LoadReport, RequestFacts, Target, Timestamp,
    UpstreamFacts, UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{
    Configuration, DataCentreName, NotRunReason, RequestId, UpstreamName, WorkspaceName,
};
use slotmap::SecondaryMap;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xtra::{Context, Handler, WeakAddress};

/// Owns the admission policy.
#[derive(Debug, xtra::Actor)]
pub(crate) struct AdmissionActor {
    policy: EntryPolicy,
    start: Instant,
    workspaces: HashMap<WorkspaceName, WorkspaceKey>,
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    links: SecondaryMap<UpstreamKey, Arc<UpstreamLink>>,
    waiting: HashMap<RequestId, WaitingRequest>,
    reports: SecondaryMap<UpstreamKey, LastReport>,
    recorder: DecisionRecorder,
    actions: Vec<EntryAction>,
}

/// A request that asked for a place.
#[derive(Debug)]
struct WaitingRequest {
    facts: PlacementFacts,
    reply: oneshot::Sender<Placement>,
}

#[derive(Debug)]
struct KnownUpstream {
    key: UpstreamKey,
    entry: UpstreamEntry,
    health: UpstreamHealth,
}

impl AdmissionActor {
    /// Creates the actor for a process in `data_centre`; `start` is zero of the
    /// policy's time.
    pub(crate) fn new(
        start: Instant,
        data_centre: &DataCentreName,
        recorder: DecisionRecorder,
    ) -> Self {
        Self {
            policy: EntryPolicy::new()
                .with_data_centre(data_centre)
                .with_seed(rand::random()),
            start,
            workspaces: HashMap::new(),
            upstreams: BTreeMap::new(),
            links: SecondaryMap::new(),
            waiting: HashMap::new(),
            reports: SecondaryMap::new(),
            recorder,
            actions: Vec::new(),
        }
    }

    fn handle_event(&mut self, event: EntryEvent, address: &WeakAddress<Self>) {
        let now = self.timestamp(Instant::now());
        self.policy.handle(now, event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action, address);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: EntryAction, address: &WeakAddress<Self>) {
        let (request, placement) = match action {
            EntryAction::Dispatch {
                request,
                upstream,
                priority,
            } => {
                self.record_dispatch(request, upstream, priority);
                let slot = self.slot(request, upstream, priority, address);
                (request, slot)
            }
            EntryAction::Prefill { request, .. } => {
                // Comes only from a policy that splits phases; this one doesn't.
                tracing::error!(%request, "the policy split a request's phases");
                return;
            }
            EntryAction::Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.record_refusal(request, reason);
                let refusal = Placement::Refuse {
                    reason,
                    retry_after,
                };
                (request, refusal)
            }
        };
        if let Some(waiting) = self.waiting.remove(&request) {
            // If the caller has left, the slot comes back and is given up.
            let _ = waiting.reply.send(placement);
        }
    }

    fn record_dispatch(&self, request: RequestId, upstream: UpstreamKey, priority: u8) {
        let now = self.timestamp(Instant::now());
        let load = self.reports.get(upstream).map(|report| (*report, now));
        if let Some(waiting) = self.waiting.get(&request) {
            let name = &self.links[upstream].name;
            self.recorder
                .dispatched(request, &waiting.facts, name, priority, load);
        }
    }

    fn record_refusal(&self, request: RequestId, reason: NotRunReason) {
        if let Some(waiting) = self.waiting.get(&request) {
            self.recorder.refused(request, &waiting.facts, reason);
        }
    }

    fn slot(
        &self,
        request: RequestId,
        upstream: UpstreamKey,
        priority: u8,
        address: &WeakAddress<Self>,
    ) -> Placement {
        let link = Arc::clone(&self.links[upstream]);
        let address = address.clone();
        Placement::Dispatch(UpstreamSlot::new(
            request, upstream, link, priority, address,
        ))
    }

    fn keep_report(&mut self, upstream: UpstreamKey, measured_at: Timestamp, report: LoadReport) {
        if self.links.contains_key(upstream) {
            let last = LastReport {
                measured_at,
                report,
            };
            self.reports.insert(upstream, last);
        }
    }

    fn names(&self, upstreams: &[UpstreamKey]) -> Vec<UpstreamName> {
        let links = upstreams.iter().filter_map(|key| self.links.get(*key));
        links.map(|link| link.name.clone()).collect()
    }

    fn timestamp(&self, instant: Instant) -> Timestamp {
        let since = instant.saturating_duration_since(self.start);
        Timestamp(since.as_micros() as u64)
    }

    fn request_facts(&self, facts: PlacementRequest, workspace: WorkspaceKey) -> RequestFacts {
        RequestFacts {
            request: facts.request,
            workspace,
            urgency: facts.urgency,
            target: facts.target,
            prompt_tokens: facts.prompt_tokens,
            max_output_tokens: facts.max_output_tokens,
            deadline: self.timestamp(facts.deadline),
            idempotent: facts.idempotent,
            prefix: facts.prefix,
        }
    }

    /// Returns the upstreams to avoid, or none if that would leave no other: a
    /// failed one may work again, and waiting for another would be in vain.
    fn reachable(&self, avoid: Vec<UpstreamKey>, facts: &PlacementRequest) -> Vec<UpstreamKey> {
        let is_left = |known: &KnownUpstream| {
            let upstream = &known.entry.facts;
            let serves = match &facts.target {
                Target::Model(model) => upstream.models.contains(model),
                Target::Service(name) => upstream.role.is_none() && upstream.name == *name,
            };
            serves && known.facts().accepts_work && !avoid.contains(&known.key)
        };
        match self.upstreams.values().any(is_left) {
            true => avoid,
            false => Vec::new(),
        }
    }

    /// Notes how an attempt at an upstream ended.
    fn note_end(&mut self, upstream: UpstreamKey, end: AttemptEnd) {
        let now = Instant::now();
        // Work may wait for a busy upstream, but not if none is left.
        if end == AttemptEnd::Busy && !self.has_alternative(upstream) {
            return;
        }
        let mut known = self.upstreams.values_mut();
        if let Some(known) = known.find(|known| known.key == upstream)
            && known.health.note(now, end)
        {
            tracing::debug!(upstream = %known.entry.facts.name, "an upstream is left alone");
            self.policy.update_upstream(upstream, known.facts());
        }
    }

    /// Returns whether another upstream serves all models that this one does.
    fn has_alternative(&self, upstream: UpstreamKey) -> bool {
        let mut all = self.upstreams.values();
        let Some(own) = all.find(|known| known.key == upstream) else {
            return false;
        };
        let models = &own.entry.facts.models;
        let serves = |known: &KnownUpstream| {
            let facts = known.facts();
            facts.accepts_work && known.key != upstream && facts.models.is_superset(models)
        };
        !models.is_empty() && self.upstreams.values().any(serves)
    }

    /// Gives upstreams whose pause is over work again.
    fn end_pauses(&mut self) {
        let now = Instant::now();
        for known in self.upstreams.values_mut() {
            if known.health.end_pause(now) {
                self.policy.update_upstream(known.key, known.facts());
            }
        }
    }

    fn set_workspaces(&mut self, configuration: &Configuration) {
        let policy = &mut self.policy;
        self.workspaces.retain(|name, key| {
            let kept = configuration.workspaces.contains_key(name);
            if !kept {
                policy.remove_workspace(*key);
            }
            kept
        });
        for (name, workspace) in &configuration.workspaces {
            let facts = WorkspaceFacts {
                name: name.clone(),
                weight: workspace.weight,
            };
            match self.workspaces.get(name) {
                Some(key) => self.policy.update_workspace(*key, facts),
                None => {
                    let key = self.policy.add_workspace(facts);
                    self.workspaces.insert(name.clone(), key);
                }
            }
        }
    }

    fn set_upstreams(&mut self, entries: BTreeMap<UpstreamId, UpstreamEntry>) {
        let stale: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(id, known)| entries.get(id).is_none_or(|new| !known.is_same(new)))
            .map(|(id, _)| id.clone())
            .collect();
        for id in stale {
            if let Some(known) = self.upstreams.remove(&id) {
                self.policy.remove_upstream(known.key);
                self.links.remove(known.key);
                self.reports.remove(known.key);
            }
        }
        for (id, entry) in entries {
            match self.upstreams.get_mut(&id) {
                Some(known) if known.entry == entry => {}
                Some(known) => {
                    known.entry = entry;
                    self.policy.update_upstream(known.key, known.facts());
                }
                None => self.add_upstream(id, entry),
            }
        }
    }

    fn add_upstream(&mut self, id: UpstreamId, entry: UpstreamEntry) {
        let link = match UpstreamLink::new(&entry) {
            Ok(link) => Arc::new(link),
            Err(error) => {
                tracing::error!(upstream = %id.1, %error, "the upstream's client can't be made");
                return;
            }
        };
        let key = self.policy.add_upstream(entry.facts.clone());
        self.links.insert(key, link);
        let health = UpstreamHealth::new();
        self.upstreams
            .insert(id, KnownUpstream { key, entry, health });
    }
}

impl KnownUpstream {
    /// Returns what the policy is told: an upstream that fails is left alone.
    fn facts(&self) -> UpstreamFacts {
        let accepts_work = self.entry.facts.accepts_work && !self.health.is_paused(Instant::now());
        UpstreamFacts {
            accepts_work,
            ..self.entry.facts.clone()
        }
    }

    /// Returns whether its client and its work in flight can be kept.
    fn is_same(&self, other: &UpstreamEntry) -> bool {
        let both_engines = self.entry.facts.role.is_some() == other.facts.role.is_some();
        self.entry.address == other.address && both_engines
    }
}

impl Handler<Place> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, place: Place, context: &mut Context<Self>) {
        let Some(workspace) = self.workspaces.get(&place.facts.workspace).copied() else {
            let refusal = Placement::Refuse {
                reason: NotRunReason::Unauthorized,
                retry_after: Duration::ZERO,
            };
            let _ = place.reply.send(refusal);
            return;
        };
        let tried = place.avoid.clone().unwrap_or_default();
        let avoid = place.avoid.map(|avoid| self.reachable(avoid, &place.facts));
        let waiting = WaitingRequest {
            facts: PlacementFacts::new(&place.facts, self.names(&tried)),
            reply: place.reply,
        };
        let facts = self.request_facts(place.facts, workspace);
        self.waiting.insert(facts.request, waiting);
        let event = match avoid {
            None => EntryEvent::Arrived(facts),
            Some(avoid) => EntryEvent::Retry { facts, avoid },
        };
        self.handle_event(event, &context.mailbox().address());
    }
}

impl Handler<Observe> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, observed: Observe, context: &mut Context<Self>) {
        match observed.0 {
            EntryEvent::Cancelled { request } => {
                self.waiting.remove(&request);
            }
            EntryEvent::LoadReported {
                upstream,
                measured_at,
                report,
            } => self.keep_report(upstream, measured_at, report),
            EntryEvent::Ended { upstream, end, .. } => self.note_end(upstream, end),
            EntryEvent::Tick => self.end_pauses(),
            _ => {}
        }
        self.handle_event(observed.0, &context.mailbox().address());
    }
}

impl Handler<Reconfigure> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, change: Reconfigure, context: &mut Context<Self>) {
        self.set_workspaces(&change.configuration);
        self.set_upstreams(change.upstreams);
        self.policy.set_entry_processes(change.entries);
        // Work that waits may have a place now.
        self.handle_event(EntryEvent::Tick, &context.mailbox().address());
    }
}

impl Handler<ListLinks> for AdmissionActor {
    type Return = Vec<(UpstreamKey, Arc<UpstreamLink>)>;

    async fn handle(&mut self, _: ListLinks, _: &mut Context<Self>) -> Self::Return {
        let links = self.links.iter();
        links.map(|(key, link)| (key, Arc::clone(link))).collect()
    }
}
