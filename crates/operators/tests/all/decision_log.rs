//! Tests of the decision log: queries, bounded memory and the admin routes.

use insta::assert_snapshot;
use lagoonlift_operators::{
    AdminAddress, AdminClient, Decision, DecisionAuthority, DecisionLog, DecisionStep,
    DecisionSubject, Evidence, ExplainQuery, HoldReason, ProcessStatus, operator_routes,
};
use lagoonlift_types::{
    DataCentreName, Epoch, HostName, Incarnation, NotRunReason, OutcomeKind, ProcessId,
    ProcessRole, RequestId, Revision, UpstreamName, UpstreamRole, WorkspaceName,
};
use std::time::Duration;
use tokio::net::TcpListener;

const REQUEST: &str = "01936f2e-7c00-7000-8000-000000000001";

fn process(role: ProcessRole) -> ProcessId {
    ProcessId {
        host: HostName::new("host-1").expect("a valid name"),
        role,
    }
}

fn request_decision(step: DecisionStep, evidence: Vec<Evidence>) -> Decision {
    Decision {
        subject: DecisionSubject {
            request: REQUEST.parse().ok(),
            workspace: WorkspaceName::new("plumbers").ok(),
            upstream: UpstreamName::new("triage-1").ok(),
        },
        step,
        evidence,
        authority: DecisionAuthority {
            holder: process(ProcessRole::Entry),
            epoch: None,
            revision: Revision(7),
        },
    }
}

fn order_decision(step: DecisionStep, evidence: Vec<Evidence>) -> Decision {
    Decision {
        subject: DecisionSubject {
            upstream: UpstreamName::new("triage-1").ok(),
            ..DecisionSubject::default()
        },
        step,
        evidence,
        authority: DecisionAuthority {
            holder: process(ProcessRole::Steward),
            epoch: Some(Epoch(3)),
            revision: Revision(7),
        },
    }
}

fn filled_log() -> DecisionLog {
    let log = DecisionLog::new();
    let load = Evidence::Load {
        prefill_backlog_tokens: 4_000,
        active_streams: 6,
        age: Duration::from_millis(250),
    };
    log.record(request_decision(
        DecisionStep::Dispatched {
            attempt: 1,
            priority: 0,
        },
        vec![Evidence::TimeLeft(Duration::from_secs(8)), load],
    ));
    log.record(order_decision(
        DecisionStep::Held {
            reason: HoldReason::StaleReports,
        },
        vec![Evidence::PrefillShare(0.27)],
    ));
    log.record(order_decision(
        DecisionStep::RoleChange {
            role: UpstreamRole::Decode,
        },
        vec![Evidence::PrefillShare(0.2), Evidence::EnginesUnavailable(0)],
    ));
    log.record(request_decision(
        DecisionStep::Ended {
            outcome: OutcomeKind::Answered,
        },
        vec![Evidence::TokensDelivered(80)],
    ));
    log
}

fn explained(log: &DecisionLog, subject: &str) -> String {
    let Ok(query) = subject.parse::<ExplainQuery>();
    let lines = log.explain(&query).into_iter().map(|mut recorded| {
        recorded.at = 1_800_000_000_000;
        format!("{recorded}\n")
    });
    lines.collect()
}

#[test]
fn decisions_are_found_by_request_engine_and_workspace() {
    let log = filled_log();
    assert_snapshot!("explain-request", explained(&log, REQUEST));
    assert_snapshot!("explain-engine", explained(&log, "triage-1"));
    assert_eq!(explained(&log, "plumbers"), explained(&log, REQUEST));
    assert_eq!(explained(&log, "nobody"), "");
}

/// Guards against a log that keeps its oldest decisions and drops new ones.
#[test]
fn a_full_log_evicts_the_oldest_decision() {
    let log = DecisionLog::with_capacity(2);
    for attempt in 1..=5 {
        let step = DecisionStep::Dispatched {
            attempt,
            priority: 1,
        };
        log.record(request_decision(step, vec![Evidence::InFlight(1); 100]));
    }
    let query = ExplainQuery::Name("plumbers".to_owned());
    let steps: Vec<DecisionStep> = log
        .explain(&query)
        .into_iter()
        .inspect(|recorded| assert!(recorded.decision.evidence.len() <= 8))
        .map(|recorded| recorded.decision.step)
        .collect();
    let dispatched = |attempt| DecisionStep::Dispatched {
        attempt,
        priority: 1,
    };
    assert_eq!(steps, [dispatched(4), dispatched(5)]);
}

#[tokio::test]
async fn the_admin_address_serves_status_and_explanations() {
    let log = DecisionLog::new();
    let request = RequestId::new();
    let mut decision = request_decision(
        DecisionStep::Refused {
            reason: NotRunReason::LimitReached,
        },
        vec![],
    );
    decision.subject.request = Some(request);
    log.record(decision);
    let status = ProcessStatus {
        process: process(ProcessRole::Entry),
        incarnation: Incarnation(5),
        data_centre: DataCentreName::new("dc1").expect("a valid name"),
        revision: Revision(7),
        ready: true,
        epoch: None,
    };
    let served = status.clone();
    let routes = operator_routes(log.clone(), move || served.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = AdminAddress {
        process: process(ProcessRole::Entry),
        address: listener.local_addr().expect("the listener is bound"),
    };
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    let stopped = stopped_process().await;

    let client =
        AdminClient::new(vec![address, stopped.clone()]).expect("the HTTP client initializes");
    let report = client.status(Revision(8)).await;
    assert_eq!(report.statuses, [status]);
    assert_eq!(report.unreachable, std::slice::from_ref(&stopped));
    assert!(!report.is_in_force());
    let report = client.explain(&ExplainQuery::Request(request)).await;
    let expected = log.explain(&ExplainQuery::Request(request));
    assert_eq!(expected.len(), 1);
    assert_eq!(report.decisions, expected);
    assert_eq!(report.unreachable, [stopped]);
}

/// Returns the address of a process that no longer listens.
async fn stopped_process() -> AdminAddress {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    AdminAddress {
        process: process(ProcessRole::Steward),
        address: listener.local_addr().expect("the listener is bound"),
    }
}
