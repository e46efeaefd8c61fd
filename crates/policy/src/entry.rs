//! The policy of one entry process.

use crate::{
    EntryAction, EntryEvent, RequestFacts, Target, Timestamp, UpstreamFacts, UpstreamKey,
    WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{NotRunReason, UpstreamRole, Urgency};
use slotmap::SlotMap;
use std::time::Duration;

/// How long a caller is asked to wait when no upstream can take its request.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct UpstreamState {
    facts: UpstreamFacts,
    in_flight: u32,
}

/// Admits, queues and places the requests of one entry process.
#[derive(Debug, Default)]
pub struct EntryPolicy {
    upstreams: SlotMap<UpstreamKey, UpstreamState>,
    workspaces: SlotMap<WorkspaceKey, WorkspaceFacts>,
}

impl EntryPolicy {
    /// Creates a policy that knows no workspace and no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace.
    pub fn add_workspace(&mut self, facts: WorkspaceFacts) -> WorkspaceKey {
        self.workspaces.insert(facts)
    }

    /// Replaces what is known of a workspace.
    pub fn update_workspace(&mut self, key: WorkspaceKey, facts: WorkspaceFacts) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            *workspace = facts;
        }
    }

    /// Forgets a workspace; its queued requests are still answered.
    pub fn remove_workspace(&mut self, key: WorkspaceKey) {
        self.workspaces.remove(key);
    }

    /// Adds an upstream.
    pub fn add_upstream(&mut self, facts: UpstreamFacts) -> UpstreamKey {
        self.upstreams.insert(UpstreamState {
            facts,
            in_flight: 0,
        })
    }

    /// Replaces what is known of an upstream; its in-flight work is kept.
    pub fn update_upstream(&mut self, key: UpstreamKey, facts: UpstreamFacts) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.facts = facts;
        }
    }

    /// Forgets an upstream.
    pub fn remove_upstream(&mut self, key: UpstreamKey) {
        self.upstreams.remove(key);
    }

    /// Takes in one event at `now` and appends what is to be done.
    pub fn handle(&mut self, _now: Timestamp, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Arrived(facts) => actions.push(self.place(&facts, &[])),
            EntryEvent::Retry { facts, avoid } => actions.push(self.place(&facts, &avoid)),
            EntryEvent::Ended { upstream, .. } => self.release(upstream),
            EntryEvent::FirstToken { .. }
            | EntryEvent::Withdrawn { .. }
            | EntryEvent::Loaded { .. }
            | EntryEvent::Cached { .. }
            | EntryEvent::Tick => {}
        }
    }

    fn place(&mut self, facts: &RequestFacts, avoid: &[UpstreamKey]) -> EntryAction {
        let candidate = self
            .upstreams
            .iter()
            .filter(|(key, upstream)| can_serve(&upstream.facts, facts) && !avoid.contains(key))
            .min_by_key(|(_, upstream)| upstream.in_flight)
            .map(|(key, _)| key);
        let Some(upstream) = candidate else {
            return EntryAction::Refuse {
                request: facts.request,
                reason: NotRunReason::NoUpstream,
                retry_after: NO_UPSTREAM_RETRY,
            };
        };
        self.upstreams[upstream].in_flight += 1;
        EntryAction::Dispatch {
            request: facts.request,
            upstream,
            priority: priority(facts.urgency),
        }
    }

    fn release(&mut self, upstream: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }
}

fn can_serve(upstream: &UpstreamFacts, request: &RequestFacts) -> bool {
    let serves = match &request.target {
        Target::Model(model) => upstream.models.contains(model),
        Target::Service(name) => upstream.role.is_none() && upstream.name == *name,
    };
    serves && upstream.accepts_work && upstream.role != Some(UpstreamRole::Prefill)
}

fn priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}
