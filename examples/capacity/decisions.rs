//! Time and memory of recorded decisions.

use crate::{median_time, report, resident_bytes};
use lagoonlift::operators::{
    Decision, DecisionAuthority, DecisionLog, DecisionStep, DecisionSubject, Evidence,
};
use lagoonlift::types::{
    HostName, ProcessId, ProcessRole, RequestId, Revision, UpstreamName, WorkspaceName,
};
use std::time::Duration;

/// Decisions of one run.
const DECISIONS: usize = 200_000;

pub(crate) fn measure() -> eyre::Result<()> {
    let decision = decision()?;
    let log = DecisionLog::with_capacity(DECISIONS);
    let before = resident_bytes()?;
    for _ in 0..DECISIONS {
        log.record(decision.clone());
    }
    let held = resident_bytes()?.saturating_sub(before);
    report(
        "one recorded decision, in memory",
        held as f64 / DECISIONS as f64,
        "bytes",
    );

    let log = DecisionLog::new();
    let time = median_time(|| {
        for _ in 0..DECISIONS {
            log.record(decision.clone());
        }
    });
    let each = time.as_secs_f64() / DECISIONS as f64;
    report("recording one decision", each * 1e9, "ns");
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
