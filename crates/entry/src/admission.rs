//! The actor that owns the admission policy.
//!
//! A decision about one request depends on all the others, so a single actor
//! makes the decisions in sequence. It handles each request when it arrives,
//! when it is placed again and when an attempt ends. Response tokens don't pass
//! through it.

mod messages;

pub(crate) use messages::{
    ListUpstreams, Observe, Place, Placement, PlacementRequest, Reconfigure, ReportSilence,
};

use crate::explain::{DecisionRecorder, LastLoadReport, PlacementContext};
use crate::health::UpstreamHealth;
use crate::slot::UpstreamSlot;
use crate::upstream_handle::{UpstreamDescription, UpstreamHandle, UpstreamId};
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

/// Actor that owns the admission policy and the state that it needs.
#[derive(Debug, xtra::Actor)]
pub(crate) struct AdmissionActor {
    policy: EntryPolicy,
    start: Instant,
    workspaces: HashMap<WorkspaceName, WorkspaceKey>,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    upstream_handles: SecondaryMap<UpstreamKey, Arc<UpstreamHandle>>,
    /// By ticket.
    pending: HashMap<RequestId, PendingRequest>,
    reports: SecondaryMap<UpstreamKey, LastLoadReport>,
    recorder: DecisionRecorder,
    actions: Vec<EntryAction>,
}

/// A request that waits for the policy to place it.
#[derive(Debug)]
struct PendingRequest {
    context: PlacementContext,
    reply: oneshot::Sender<Placement>,
}

#[derive(Debug)]
struct UpstreamRecord {
    key: UpstreamKey,
    description: UpstreamDescription,
    health: UpstreamHealth,
}

impl AdmissionActor {
    /// Creates the actor for a process in `data_centre`; `start` is the origin
    /// of the policy's timestamps.
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
            upstream_handles: SecondaryMap::new(),
            pending: HashMap::new(),
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
            self.execute(action, address);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: EntryAction, address: &WeakAddress<Self>) {
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
                // Only a policy that splits prefill and decode emits this
                // action; `EntryPolicy` doesn't.
                tracing::error!(
                    %request,
                    "the policy requested an unsupported prefill split; \
                     the request gets no reply and stays pending"
                );
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
        if let Some(pending) = self.pending.remove(&request) {
            // If the caller has disconnected, the send fails and the returned
            // slot is released on drop.
            let _ = pending.reply.send(placement);
        }
    }

    fn record_dispatch(&self, request: RequestId, upstream: UpstreamKey, priority: u8) {
        let now = self.timestamp(Instant::now());
        let load = self.reports.get(upstream).map(|report| (*report, now));
        if let Some(pending) = self.pending.get(&request) {
            let name = &self.upstream_handles[upstream].name;
            self.recorder
                .dispatched(&pending.context, name, priority, load);
        }
    }

    fn record_refusal(&self, request: RequestId, reason: NotRunReason) {
        if let Some(pending) = self.pending.get(&request) {
            self.recorder.refused(&pending.context, reason);
        }
    }

    fn slot(
        &self,
        request: RequestId,
        upstream: UpstreamKey,
        priority: u8,
        address: &WeakAddress<Self>,
    ) -> Placement {
        let upstream_handle = Arc::clone(&self.upstream_handles[upstream]);
        let address = address.clone();
        Placement::Dispatch(UpstreamSlot::new(
            request,
            upstream,
            upstream_handle,
            priority,
            address,
        ))
    }

    fn store_report(&mut self, upstream: UpstreamKey, measured_at: Timestamp, report: LoadReport) {
        if self.upstream_handles.contains_key(upstream) {
            let last = LastLoadReport {
                measured_at,
                report,
            };
            self.reports.insert(upstream, last);
        }
    }

    fn upstream_names(&self, upstreams: &[UpstreamKey]) -> Vec<UpstreamName> {
        let upstream_handles = upstreams
            .iter()
            .filter_map(|key| self.upstream_handles.get(*key));
        upstream_handles
            .map(|upstream_handle| upstream_handle.name.clone())
            .collect()
    }

    fn timestamp(&self, instant: Instant) -> Timestamp {
        let since_start = instant.saturating_duration_since(self.start);
        Timestamp(since_start.as_micros() as u64)
    }

    fn request_facts(
        &self,
        placement_request: PlacementRequest,
        workspace: WorkspaceKey,
    ) -> RequestFacts {
        RequestFacts {
            request: placement_request.ticket,
            workspace,
            urgency: placement_request.urgency,
            target: placement_request.target,
            prompt_tokens: placement_request.prompt_tokens,
            max_output_tokens: placement_request.max_output_tokens,
            deadline: self.timestamp(placement_request.deadline),
            idempotent: placement_request.idempotent,
            prefix: placement_request.prefix,
        }
    }

    /// Returns the upstreams to avoid, without the failed ones if avoiding them
    /// would leave no usable upstream: a failed upstream may work again, and
    /// waiting for another one would be pointless. Returns `None` if no upstream
    /// can replace the silent one.
    fn effective_avoid_list(
        &self,
        mut avoid: Vec<UpstreamKey>,
        replaced: Option<UpstreamKey>,
        target: &Target,
    ) -> Option<Vec<UpstreamKey>> {
        avoid.extend(replaced);
        let others: Vec<UpstreamKey> = replaced.into_iter().collect();
        if self.has_usable_upstream(target, &avoid) {
            return Some(avoid);
        }
        let is_placeable = replaced.is_none() || self.has_usable_upstream(target, &others);
        is_placeable.then_some(others)
    }

    fn has_usable_upstream(&self, target: &Target, avoid: &[UpstreamKey]) -> bool {
        self.upstreams.values().any(|record| {
            let upstream = &record.description.facts;
            let serves = match target {
                Target::Model(model) => upstream.models.contains(model),
                Target::Service(name) => upstream.role.is_none() && upstream.name == *name,
            };
            serves && record.effective_facts().accepts_requests && !avoid.contains(&record.key)
        })
    }

    /// Records how an attempt at an upstream ended.
    fn record_attempt_end(&mut self, upstream: UpstreamKey, end: AttemptEnd) {
        let now = Instant::now();
        // A busy upstream is paused only if another one can take its work;
        // otherwise requests queue for it.
        if end == AttemptEnd::Busy && !self.has_alternative(upstream) {
            return;
        }
        let mut records = self.upstreams.values_mut();
        if let Some(record) = records.find(|record| record.key == upstream)
            && record.health.record_attempt(now, end)
        {
            tracing::debug!(
                upstream = %record.description.facts.name,
                "upstream paused after repeated failures or a busy response; \
                 consecutive pauses double up to a maximum"
            );
            self.policy
                .update_upstream(upstream, record.effective_facts());
        }
    }

    /// Returns whether another upstream that accepts work serves all models of
    /// `upstream`.
    fn has_alternative(&self, upstream: UpstreamKey) -> bool {
        let mut all = self.upstreams.values();
        let Some(own) = all.find(|record| record.key == upstream) else {
            return false;
        };
        let models = &own.description.facts.models;
        let serves = |record: &UpstreamRecord| {
            let facts = record.effective_facts();
            facts.accepts_requests && record.key != upstream && facts.models.is_superset(models)
        };
        !models.is_empty() && self.upstreams.values().any(serves)
    }

    /// Makes upstreams whose pause has elapsed eligible for work again.
    fn resume_paused_upstreams(&mut self) {
        let now = Instant::now();
        for record in self.upstreams.values_mut() {
            if record.health.try_resume(now) {
                self.policy
                    .update_upstream(record.key, record.effective_facts());
            }
        }
    }

    fn set_workspaces(&mut self, configuration: &Configuration) {
        let policy = &mut self.policy;
        self.workspaces.retain(|name, key| {
            let is_kept = configuration.workspaces.contains_key(name);
            if !is_kept {
                policy.remove_workspace(*key);
            }
            is_kept
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

    fn set_upstreams(&mut self, descriptions: BTreeMap<UpstreamId, UpstreamDescription>) {
        let stale: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(id, record)| {
                descriptions
                    .get(id)
                    .is_none_or(|new| !record.has_same_client(new))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in stale {
            if let Some(record) = self.upstreams.remove(&id) {
                self.policy.remove_upstream(record.key);
                self.upstream_handles.remove(record.key);
                self.reports.remove(record.key);
            }
        }
        for (id, description) in descriptions {
            match self.upstreams.get_mut(&id) {
                Some(record) if record.description == description => {}
                Some(record) => {
                    record.description = description;
                    self.policy
                        .update_upstream(record.key, record.effective_facts());
                }
                None => self.add_upstream(id, description),
            }
        }
    }

    fn add_upstream(&mut self, id: UpstreamId, description: UpstreamDescription) {
        let upstream_handle = match UpstreamHandle::new(&description) {
            Ok(upstream_handle) => Arc::new(upstream_handle),
            Err(error) => {
                tracing::error!(upstream = %id.1, %error, "can't create the upstream's client");
                return;
            }
        };
        let key = self.policy.add_upstream(description.facts.clone());
        self.upstream_handles.insert(key, upstream_handle);
        let health = UpstreamHealth::new();
        self.upstreams.insert(
            id,
            UpstreamRecord {
                key,
                description,
                health,
            },
        );
    }
}

impl UpstreamRecord {
    /// Returns the facts for the policy: a paused upstream accepts no work.
    fn effective_facts(&self) -> UpstreamFacts {
        let accepts_requests =
            self.description.facts.accepts_requests && !self.health.is_paused(Instant::now());
        UpstreamFacts {
            accepts_requests,
            ..self.description.facts.clone()
        }
    }

    /// Returns whether the upstream's client and its in-flight requests can be
    /// kept.
    fn has_same_client(&self, other: &UpstreamDescription) -> bool {
        let same_kind = self.description.facts.role.is_some() == other.facts.role.is_some();
        self.description.address == other.address && same_kind
    }
}

impl Handler<Place> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, place: Place, context: &mut Context<Self>) {
        let Some(workspace) = self
            .workspaces
            .get(&place.placement_request.workspace)
            .copied()
        else {
            let refusal = Placement::Refuse {
                reason: NotRunReason::Unauthorized,
                retry_after: Duration::ZERO,
            };
            let _ = place.reply.send(refusal);
            return;
        };
        // The context keeps every upstream that failed the request, also if the
        // policy is told to avoid none of them.
        let mut failed = place.avoid.clone().unwrap_or_default();
        failed.extend(place.replaced);
        let target = &place.placement_request.target;
        let avoid = match place.avoid {
            None => None,
            Some(avoid) => match self.effective_avoid_list(avoid, place.replaced, target) {
                Some(avoid) => Some(avoid),
                None => {
                    // In the queue, the request would hold up those behind it.
                    let refusal = Placement::Refuse {
                        reason: NotRunReason::NoUpstream,
                        retry_after: Duration::ZERO,
                    };
                    let _ = place.reply.send(refusal);
                    return;
                }
            },
        };
        let pending = PendingRequest {
            context: PlacementContext::new(&place.placement_request, self.upstream_names(&failed)),
            reply: place.reply,
        };
        let facts = self.request_facts(place.placement_request, workspace);
        self.pending.insert(facts.request, pending);
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
                self.pending.remove(&request);
            }
            EntryEvent::LoadReported {
                upstream,
                measured_at,
                report,
            } => self.store_report(upstream, measured_at, report),
            EntryEvent::Ended { upstream, end, .. } => self.record_attempt_end(upstream, end),
            EntryEvent::Tick => self.resume_paused_upstreams(),
            _ => {}
        }
        self.handle_event(observed.0, &context.mailbox().address());
    }
}

impl Handler<ReportSilence> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, silence: ReportSilence, _: &mut Context<Self>) {
        // A silence counts as a failure of the upstream, so that a frozen one gets no
        // new work, although its attempts are kept.
        self.record_attempt_end(silence.0, AttemptEnd::UpstreamFailed);
    }
}

impl Handler<Reconfigure> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, change: Reconfigure, context: &mut Context<Self>) {
        self.set_workspaces(&change.configuration);
        self.set_upstreams(change.upstreams);
        self.policy.set_entry_processes(change.entry_processes);
        // Queued requests may now fit on a new or changed upstream.
        self.handle_event(EntryEvent::Tick, &context.mailbox().address());
    }
}

impl Handler<ListUpstreams> for AdmissionActor {
    type Return = Vec<(UpstreamKey, Arc<UpstreamHandle>)>;

    async fn handle(&mut self, _: ListUpstreams, _: &mut Context<Self>) -> Self::Return {
        let upstream_handles = self.upstream_handles.iter();
        upstream_handles
            .map(|(key, upstream_handle)| (key, Arc::clone(upstream_handle)))
            .collect()
    }
}
