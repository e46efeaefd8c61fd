//! Measures the time and memory of a recorded decision.

use crate::{median_time, report, resident_bytes};
use lagoonlift::operators::{
    Decision, DecisionAuthority, DecisionLog, DecisionStep, DecisionSubject, Evidence,
};
use lagoonlift::types::{
    HostName, ProcessId, ProcessRole, RequestId, Revision, UpstreamName, WorkspaceName,
};
use std::time::Duration;

/// Decisions recorded in each run.
const DECISIONS: usize = 200_000;

pub(crate) fn measure() -> eyre::Result<()> {
    let decision = decision()?;
    let log = DecisionLog::with_capacity(DECISIONS);
    let before_bytes = resident_bytes()?;
    for _ in 0..DECISIONS {
        log.record(decision.clone());
    }
    let used_bytes = resident_bytes()?.saturating_sub(before_bytes);
    report(
        "one recorded decision, in memory",
        used_bytes as f64 / DECISIONS as f64,
        "bytes",
    );

    let log = DecisionLog::new();
    let time = median_time(|| {
        for _ in 0..DECISIONS {
            log.record(decision.clone());
        }
    });
    let seconds_per_decision = time.as_secs_f64() / DECISIONS as f64;
    report("recording one decision", seconds_per_decision * 1e9, "ns");
    Ok(())
}

fn decision() -> eyre::Result<Decision> {
    let load = Evidence::Load {
        prefill_backlog_tokens: 4_000,
        active_streams: 6,
        age: Duration::from_millis(250),
    };
    Ok(Decision {
        subject: DecisionSubject {
            request: Some(RequestId::new()),
            workspace: Some(WorkspaceName::new("workspace-001")?),
            upstream: Some(UpstreamName::new("runner-01-0001")?),
        },
        step: DecisionStep::Dispatched {
            attempt: 1,
            priority: 1,
        },
        evidence: vec![Evidence::TimeLeft(Duration::from_secs(8)), load],
        authority: DecisionAuthority {
            holder: ProcessId {
                host: HostName::new("host-001")?,
                role: ProcessRole::Entry,
            },
            epoch: None,
            revision: Revision(7),
        },
    })
}
