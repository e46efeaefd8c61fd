//! One entry host of a run: a policy or the round robin baseline.

use crate::contender::Contender;
use crate::deployment::WORKSPACE_WEIGHTS;
use crate::round_robin::RoundRobinEntry;
use lagoonlift_policy::{
    EntryAction, EntryEvent, EntryPolicy, QueuedWork, Target, Timestamp, UpstreamFacts,
    UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{DataCentreName, WorkspaceName};

#[derive(Debug)]
enum EntryKind {
    Policy(Box<EntryPolicy>),
    RoundRobin(RoundRobinEntry),
}

/// An entry host and the keys by which its policy knows things.
#[derive(Debug)]
pub(crate) struct EntryHost {
    kind: EntryKind,
    /// By index of the engine.
    pub(crate) upstreams: Vec<UpstreamKey>,
    /// By index of the workspace.
    pub(crate) workspaces: Vec<WorkspaceKey>,
}

impl EntryHost {
    pub(crate) fn new(
        contender: Contender,
        data_centre: &DataCentreName,
        seed: u64,
        peers: u32,
    ) -> Self {
        let kind = match contender {
            Contender::RoundRobin => EntryKind::RoundRobin(RoundRobinEntry::default()),
            _ => {
                let mut policy = EntryPolicy::new()
                    .with_seed(seed)
                    .with_data_centre(data_centre)
                    .with_disaggregated_prefill(true);
                policy.set_entry_processes(peers);
                EntryKind::Policy(Box::new(policy))
            }
        };
        Self {
            kind,
            upstreams: Vec::new(),
            workspaces: Vec::new(),
        }
    }

    pub(crate) fn add_workspaces(&mut self, names: &[WorkspaceName]) {
        for (name, weight) in names.iter().zip(WORKSPACE_WEIGHTS) {
            let facts = WorkspaceFacts {
                name: name.clone(),
                weight,
            };
            let key = match &mut self.kind {
                EntryKind::Policy(policy) => policy.add_workspace(facts),
                EntryKind::RoundRobin(baseline) => baseline.add_workspace(facts),
            };
            self.workspaces.push(key);
        }
    }

    pub(crate) fn add_upstream(&mut self, facts: UpstreamFacts) {
        let key = match &mut self.kind {
            EntryKind::Policy(policy) => policy.add_upstream(facts),
            EntryKind::RoundRobin(baseline) => baseline.add_upstream(facts),
        };
        self.upstreams.push(key);
    }

    pub(crate) fn update_upstream(&mut self, engine: usize, facts: UpstreamFacts) {
        let key = self.upstreams[engine];
        match &mut self.kind {
            EntryKind::Policy(policy) => policy.update_upstream(key, facts),
            EntryKind::RoundRobin(baseline) => baseline.update_upstream(key, facts),
        }
    }

    pub(crate) fn engine(&self, key: UpstreamKey) -> Option<usize> {
        self.upstreams.iter().position(|other| *other == key)
    }

    pub(crate) fn handle(&mut self, now: Timestamp, event: EntryEvent) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match &mut self.kind {
            EntryKind::Policy(policy) => policy.handle(now, event, &mut actions),
            EntryKind::RoundRobin(baseline) => baseline.handle(event, &mut actions),
        }
        actions
    }

    /// Returns what waits for a target, and nothing for the baseline.
    pub(crate) fn queued(&self, target: &Target) -> QueuedWork {
        match &self.kind {
            EntryKind::Policy(policy) => {
                let mut queued = policy.queued().filter(|(other, _)| *other == target);
                queued
                    .next()
                    .map_or(QueuedWork::default(), |(_, work)| work)
            }
            EntryKind::RoundRobin(_) => QueuedWork::default(),
        }
    }
}
