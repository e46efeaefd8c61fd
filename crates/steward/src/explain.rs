//! Records the decisions of this steward, with their lease epochs, and reports
//! its status, both for operators.

use crate::lease::Authority;
use crate::orders::{OrderRecord, OrderResult};
use lagoonlift_hosts::{ConfigurationStore, PeerNode};
use lagoonlift_operators::{
    Decision, DecisionAuthority, DecisionLog, DecisionStep, DecisionSubject, Evidence,
    ProcessStatus,
};
use lagoonlift_telemetry::Readiness;
use lagoonlift_types::{DataCentreName, Epoch, Incarnation, ProcessId, UpstreamName};
use lagoonlift_upstreams::{EngineChange, EngineLoad};
use std::sync::Arc;
use std::time::Duration;

/// Records the decisions of one steward. Clones share one log.
#[derive(Clone)]
pub(crate) struct DecisionRecorder {
    log: DecisionLog,
    process: ProcessId,
    store: Arc<ConfigurationStore>,
}

impl DecisionRecorder {
    pub(crate) fn new(process: ProcessId, node: &PeerNode) -> Self {
        Self {
            log: DecisionLog::new(),
            process,
            store: node.store(),
        }
    }

    pub(crate) fn log(&self) -> DecisionLog {
        self.log.clone()
    }

    /// Records the decision to order a change of an engine.
    pub(crate) fn order_requested(
        &self,
        upstream: &UpstreamName,
        epoch: Option<Epoch>,
        evidence: Evidence,
        change: &EngineChange,
    ) {
        self.record(subject_of(upstream), epoch, step_of(change), vec![evidence]);
    }

    /// Records that the planner decided on a change, with the load report that it
    /// is based on.
    pub(crate) fn change_planned(
        &self,
        upstream: &UpstreamName,
        epoch: Epoch,
        change: &EngineChange,
        load: Option<&EngineLoad>,
    ) {
        let evidence = load.map(|load| Evidence::Load {
            prefill_backlog_tokens: load.prefill_backlog_tokens,
            active_streams: load.active_streams,
            age: Duration::from_millis(load.age_ms),
        });
        let subject = subject_of(upstream);
        let evidence = evidence.into_iter().collect();
        self.record(subject, Some(epoch), step_of(change), evidence);
    }

    /// Records the result of an order.
    pub(crate) fn order_ended(&self, upstream: &UpstreamName, record: &OrderRecord) {
        let succeeded = record.result == Some(OrderResult::Done);
        let step = DecisionStep::OrderEnded { succeeded };
        let subject = subject_of(upstream);
        self.record(subject, Some(record.epoch), step, Vec::new());
    }

    /// Records each time the lease is acquired or lost.
    pub(crate) async fn follow_lease(self, mut authority: Authority) {
        loop {
            let epoch = authority.wait_for_grant().await;
            let subject = DecisionSubject::default();
            let taken = DecisionStep::LeaseTaken;
            self.record(subject.clone(), Some(epoch), taken, Vec::new());
            authority.wait_for_end(epoch).await;
            self.record(subject, Some(epoch), DecisionStep::LeaseLost, Vec::new());
        }
    }

    fn record(
        &self,
        subject: DecisionSubject,
        epoch: Option<Epoch>,
        step: DecisionStep,
        evidence: Vec<Evidence>,
    ) {
        self.log.record(Decision {
            subject,
            step,
            evidence,
            authority: DecisionAuthority {
                holder: self.process.clone(),
                epoch,
                revision: self.store.revision(),
            },
        });
    }
}

fn step_of(change: &EngineChange) -> DecisionStep {
    match change.clone() {
        EngineChange::ChangeRole(role) => DecisionStep::RoleChange { role },
        EngineChange::LoadModel(model) => DecisionStep::ModelLoad { model },
        EngineChange::LoadAdapter(adapter) => DecisionStep::AdapterLoad { adapter },
        EngineChange::LoadVersion(version) => DecisionStep::VersionLoad { version },
    }
}

fn subject_of(upstream: &UpstreamName) -> DecisionSubject {
    DecisionSubject {
        upstream: Some(upstream.clone()),
        ..DecisionSubject::default()
    }
}

/// Source of the status that a steward reports to operators.
#[derive(Clone)]
pub(crate) struct StatusSource {
    pub(crate) process: ProcessId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentreName,
    pub(crate) store: Arc<ConfigurationStore>,
    pub(crate) readiness: Readiness,
    pub(crate) authority: Authority,
}

impl StatusSource {
    pub(crate) fn status(&self) -> ProcessStatus {
        ProcessStatus {
            process: self.process.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            revision: self.store.revision(),
            ready: self.readiness.is_ready(),
            epoch: self.authority.epoch(),
        }
    }
}
