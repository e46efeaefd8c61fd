//! A simulated entry host, which runs the entry policy or the round-robin
//! baseline.

use crate::contender::Contender;
use crate::deployment::WORKSPACE_WEIGHTS;
use crate::round_robin::RoundRobinEntry;
use lagoonlift_policy::{
    EntryAction, EntryEvent, EntryPolicy, QueuedDemand, Target, Timestamp, UpstreamFacts,
    UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{DataCentreName, WorkspaceName};

/// What routes the host's requests.
#[derive(Debug)]
enum EntryKind {
    Policy(Box<EntryPolicy>),
    RoundRobin(RoundRobinEntry),
}

/// An entry host, with the keys of engines and workspaces in its policy.
#[derive(Debug)]
pub(crate) struct EntryHost {
    kind: EntryKind,
    /// Keys of the engines, by engine index.
    pub(crate) upstream_keys: Vec<UpstreamKey>,
    /// Keys of the workspaces, by workspace index.
    pub(crate) workspace_keys: Vec<WorkspaceKey>,
}

impl EntryHost {
    pub(crate) fn new(
        contender: Contender,
        data_centre: &DataCentreName,
        seed: u64,
        entry_host_count: u32,
    ) -> Self {
        let kind = match contender {
            Contender::RoundRobin => EntryKind::RoundRobin(RoundRobinEntry::default()),
            _ => {
                let mut policy = EntryPolicy::new()
                    .with_seed(seed)
                    .with_data_centre(data_centre)
                    .with_disaggregated_prefill(true);
                policy.set_entry_processes(entry_host_count);
                EntryKind::Policy(Box::new(policy))
            }
        };
        Self {
            kind,
            upstream_keys: Vec::new(),
            workspace_keys: Vec::new(),
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
            self.workspace_keys.push(key);
        }
    }

    pub(crate) fn add_upstream(&mut self, facts: UpstreamFacts) {
        let key = match &mut self.kind {
            EntryKind::Policy(policy) => policy.add_upstream(facts),
            EntryKind::RoundRobin(baseline) => baseline.add_upstream(facts),
        };
        self.upstream_keys.push(key);
    }

    pub(crate) fn update_upstream(&mut self, engine: usize, facts: UpstreamFacts) {
        let key = self.upstream_keys[engine];
        match &mut self.kind {
            EntryKind::Policy(policy) => policy.update_upstream(key, facts),
            EntryKind::RoundRobin(baseline) => baseline.update_upstream(key, facts),
        }
    }

    /// Returns the index of the engine with this key.
    pub(crate) fn engine_index(&self, key: UpstreamKey) -> Option<usize> {
        self.upstream_keys.iter().position(|other| *other == key)
    }

    pub(crate) fn handle(&mut self, now: Timestamp, event: EntryEvent) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match &mut self.kind {
            EntryKind::Policy(policy) => policy.handle(now, event, &mut actions),
            EntryKind::RoundRobin(baseline) => baseline.handle(event, &mut actions),
        }
        actions
    }

    /// Returns the work queued for `target`; the round-robin baseline has no
    /// queue.
    pub(crate) fn queued(&self, target: &Target) -> QueuedDemand {
        match &self.kind {
            EntryKind::Policy(policy) => {
                let mut queued = policy.queued().filter(|(other, _)| *other == target);
                queued
                    .next()
                    .map_or(QueuedDemand::default(), |(_, work)| work)
            }
            EntryKind::RoundRobin(_) => QueuedDemand::default(),
        }
    }
}
