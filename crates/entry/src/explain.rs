//! Records for operators why each request was placed where it was.

use crate::admission::PlacementRequest;
use lagoonlift_operators::{
    Decision, DecisionAuthority, DecisionLog, DecisionStep, DecisionSubject, Evidence,
};
use lagoonlift_policy::{LoadReport, Timestamp};
use lagoonlift_types::{
    NotRunReason, OutcomeKind, ProcessId, RequestId, Revision, UpstreamName, WorkspaceName,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::Instant;

/// Records the decisions of one entry process. Clones share the same log.
#[derive(Clone, Debug)]
pub(crate) struct DecisionRecorder {
    log: DecisionLog,
    process: ProcessId,
    /// Revision of the current configuration. It is only displayed, so relaxed
    /// ordering suffices.
    revision: Arc<AtomicU64>,
}

/// Properties of a request that are kept while it waits for a placement.
#[derive(Clone, Debug)]
pub(crate) struct PlacementContext {
    request: RequestId,
    workspace: WorkspaceName,
    deadline: Instant,
    idempotent: bool,
    /// Upstreams that failed earlier attempts. The policy may place the request
    /// on one of them again if no other upstream is usable. Always empty for
    /// plain services, because their relay records no failed upstreams.
    failed_upstreams: Vec<UpstreamName>,
}

/// The last load report of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastLoadReport {
    pub(crate) measured_at: Timestamp,
    pub(crate) report: LoadReport,
}

impl PlacementContext {
    pub(crate) fn new(request: &PlacementRequest, failed_upstreams: Vec<UpstreamName>) -> Self {
        Self {
            request: request.request,
            workspace: request.workspace.clone(),
            deadline: request.deadline,
            idempotent: request.idempotent,
            failed_upstreams,
        }
    }

    fn evidence(&self) -> Vec<Evidence> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let mut evidence = vec![
            Evidence::TimeLeft(time_left),
            Evidence::Idempotent(self.idempotent),
        ];
        evidence.extend(self.failed_upstreams.iter().cloned().map(Evidence::Avoided));
        evidence
    }
}

impl DecisionRecorder {
    pub(crate) fn new(process: ProcessId) -> Self {
        Self {
            log: DecisionLog::new(),
            process,
            revision: Arc::default(),
        }
    }

    pub(crate) fn log(&self) -> DecisionLog {
        self.log.clone()
    }

    pub(crate) fn set_revision(&self, revision: Revision) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    /// Records that a request was dispatched to an upstream.
    pub(crate) fn dispatched(
        &self,
        context: &PlacementContext,
        upstream: &UpstreamName,
        priority: u8,
        load: Option<(LastLoadReport, Timestamp)>,
    ) {
        let mut evidence = context.evidence();
        evidence.extend(load.map(|(last, now)| Evidence::Load {
            prefill_backlog_tokens: last.report.prefill_backlog_tokens,
            active_streams: last.report.active_streams,
            age: now.since(last.measured_at),
        }));
        // Each failed attempt at an engine adds one failed upstream. For a plain
        // service the list is empty, so the recorded attempt is always 1.
        let attempt = u32::try_from(context.failed_upstreams.len()).unwrap_or(u32::MAX);
        let step = DecisionStep::Dispatched {
            attempt: attempt.saturating_add(1),
            priority,
        };
        let mut subject = subject(context.request, &context.workspace);
        subject.upstream = Some(upstream.clone());
        self.record(subject, step, evidence);
    }

    /// Records that a request was refused a placement.
    pub(crate) fn refused(&self, context: &PlacementContext, reason: NotRunReason) {
        let step = DecisionStep::Refused { reason };
        self.record(
            subject(context.request, &context.workspace),
            step,
            context.evidence(),
        );
    }

    /// Records a request's outcome.
    pub(crate) fn ended(&self, request: RequestId, workspace: &WorkspaceName, kind: OutcomeKind) {
        let step = DecisionStep::Ended { outcome: kind };
        self.record(subject(request, workspace), step, Vec::new());
    }

    fn record(&self, subject: DecisionSubject, step: DecisionStep, evidence: Vec<Evidence>) {
        self.log.record(Decision {
            subject,
            step,
            evidence,
            authority: DecisionAuthority {
                holder: self.process.clone(),
                epoch: None,
                revision: Revision(self.revision.load(Ordering::Relaxed)),
            },
        });
    }
}

fn subject(request: RequestId, workspace: &WorkspaceName) -> DecisionSubject {
    DecisionSubject {
        request: Some(request),
        workspace: Some(workspace.clone()),
        upstream: None,
    }
}
