//! The baseline that sends requests to the engines in turn.

use lagoonlift_policy::{
    EntryAction, EntryEvent, RequestFacts, Target, UpstreamFacts, UpstreamKey, WorkspaceFacts,
    WorkspaceKey,
};
use lagoonlift_types::{NotRunReason, RequestId, UpstreamRole};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;

/// Sends each request to the next engine that serves its model.
#[derive(Debug, Default)]
pub(crate) struct RoundRobinEntry {
    upstreams: SlotMap<UpstreamKey, UpstreamFacts>,
    workspaces: SlotMap<WorkspaceKey, WorkspaceFacts>,
    targets: HashMap<RequestId, Target>,
    turn: usize,
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
            EntryEvent::Arrived(facts) => self.place(&facts, &[], actions),
            EntryEvent::Retry { facts, avoid } => self.place(&facts, &avoid, actions),
            EntryEvent::Prefilled { request, .. } => {
                let target = self.targets.get(&request).cloned();
                let next = target.and_then(|target| self.next(&target, &[], false));
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

    fn place(
        &mut self,
        facts: &RequestFacts,
        avoid: &[UpstreamKey],
        actions: &mut Vec<EntryAction>,
    ) {
        let request = facts.request;
        self.targets.insert(request, facts.target.clone());
        let reader = self.next(&facts.target, avoid, true);
        let whole = || self.turn_of(&facts.target, avoid, false);
        actions.push(match (reader, whole()) {
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

    fn next(
        &mut self,
        target: &Target,
        avoid: &[UpstreamKey],
        reads_only: bool,
    ) -> Option<UpstreamKey> {
        self.turn += 1;
        self.turn_of(target, avoid, reads_only)
    }

    fn turn_of(
        &self,
        target: &Target,
        avoid: &[UpstreamKey],
        reads_only: bool,
    ) -> Option<UpstreamKey> {
        let Target::Model(model) = target else {
            return None;
        };
        let fits = |facts: &UpstreamFacts| {
            facts.accepts_work
                && facts.models.contains(model)
                && (facts.role == Some(UpstreamRole::Prefill)) == reads_only
        };
        let members = self.upstreams.iter().filter(|(_, facts)| fits(facts));
        let members: Vec<UpstreamKey> = members
            .map(|(key, _)| key)
            .filter(|key| !avoid.contains(key))
            .collect();
        match members.len() {
            0 => None,
            count => Some(members[self.turn % count]),
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
