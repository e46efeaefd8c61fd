//! The round-robin baseline of the entry policy.

use lagoonlift_policy::{
    EntryAction, EntryEvent, RequestFacts, Target, UpstreamFacts, UpstreamKey, WorkspaceFacts,
    WorkspaceKey,
};
use lagoonlift_types::{NotRunReason, RequestId, UpstreamRole};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;

/// Sends each request to the next prefill engine of its model and then to the next
/// decode or mixed engine.
///
/// Without a prefill engine, the other engine does both phases. A request without
/// an eligible engine is refused.
#[derive(Debug, Default)]
pub(crate) struct RoundRobinEntry {
    upstreams: SlotMap<UpstreamKey, UpstreamFacts>,
    workspaces: SlotMap<WorkspaceKey, WorkspaceFacts>,
    targets: HashMap<RequestId, Target>,
    position: usize,
}

impl RoundRobinEntry {
    pub(crate) fn add_workspace(&mut self, facts: WorkspaceFacts) -> WorkspaceKey {
        self.workspaces.insert(facts)
    }

    pub(crate) fn add_upstream(&mut self, facts: UpstreamFacts) -> UpstreamKey {
        self.upstreams.insert(facts)
    }

    pub(crate) fn update_upstream(&mut self, key: UpstreamKey, facts: UpstreamFacts) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            *upstream = facts;
        }
    }

    pub(crate) fn handle(&mut self, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Arrived(facts) => self.route(&facts, &[], actions),
            EntryEvent::Retry { facts, avoid } => self.route(&facts, &avoid, actions),
            EntryEvent::Prefilled { request, .. } => {
                let target = self.targets.get(&request).cloned();
                let next = target.and_then(|target| self.next_upstream(&target, &[], false));
                actions.push(match next {
                    Some(upstream) => EntryAction::Dispatch {
                        request,
                        upstream,
                        priority: 0,
                    },
                    None => refuse(request),
                });
            }
            EntryEvent::Ended { request, .. } => {
                self.targets.remove(&request);
            }
            _ => {}
        }
    }

    fn route(
        &mut self,
        facts: &RequestFacts,
        avoid: &[UpstreamKey],
        actions: &mut Vec<EntryAction>,
    ) {
        let request = facts.request;
        self.targets.insert(request, facts.target.clone());
        let prefill_upstream = self.next_upstream(&facts.target, avoid, true);
        let other_upstream = || self.upstream_at_position(&facts.target, avoid, false);
        actions.push(match (prefill_upstream, other_upstream()) {
            (Some(upstream), _) => EntryAction::Prefill {
                request,
                upstream,
                priority: 0,
            },
            (None, Some(upstream)) => EntryAction::Dispatch {
                request,
                upstream,
                priority: 0,
            },
            (None, None) => refuse(request),
        });
    }

    /// Advances the rotation and returns the next eligible upstream.
    fn next_upstream(
        &mut self,
        target: &Target,
        avoid: &[UpstreamKey],
        prefill_only: bool,
    ) -> Option<UpstreamKey> {
        self.position += 1;
        self.upstream_at_position(target, avoid, prefill_only)
    }

    /// Returns the eligible upstream at the current position of the rotation:
    /// prefill engines if `prefill_only` is set, decode and mixed engines
    /// otherwise.
    fn upstream_at_position(
        &self,
        target: &Target,
        avoid: &[UpstreamKey],
        prefill_only: bool,
    ) -> Option<UpstreamKey> {
        let Target::Model(model) = target else {
            return None;
        };
        let is_eligible = |facts: &UpstreamFacts| {
            facts.accepts_requests
                && facts.models.contains(model)
                && (facts.role == Some(UpstreamRole::Prefill)) == prefill_only
        };
        let candidates = self
            .upstreams
            .iter()
            .filter(|(_, facts)| is_eligible(facts));
        let candidates: Vec<UpstreamKey> = candidates
            .map(|(key, _)| key)
            .filter(|key| !avoid.contains(key))
            .collect();
        match candidates.len() {
            0 => None,
            count => Some(candidates[self.position % count]),
        }
    }
}

fn refuse(request: RequestId) -> EntryAction {
    EntryAction::Refuse {
        request,
        reason: NotRunReason::NoUpstream,
        retry_after: Duration::from_secs(2),
    }
}
