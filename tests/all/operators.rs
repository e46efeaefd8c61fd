//! Operators' sessions at the command line, compared with snapshots.

mod data_centre;
mod session;

use crate::docs::{is_instrument, named_metrics};
use crate::support::eventually;
use data_centre::{
    DataCentreDaemons, DataCentreUpstreams, send_chat_request, wait_for_usage_lines,
};
use insta::assert_snapshot;
use lagoonlift::settings::{OperatorSettings, Settings};
use lagoonlift_standins::platform::FleetEntry;
use serde_json::Value;
use session::OperatorSession;
use std::path::Path;

/// A deployment of the examples, with the directory of its questionnaires and the name
/// of its workspace.
struct Deployment {
    directory: &'static str,
    workspace: &'static str,
}

const DESTAPES: Deployment = Deployment {
    directory: "examples/destapes",
    workspace: "property-manager",
};

const SOLAR_WATCH: Deployment = Deployment {
    directory: "examples/solar-watch",
    workspace: "forecasters",
};

/// Proposes and accepts the questionnaires of a deployment. The workspace's proposal is
/// accepted twice, to show the result of the second attempt.
async fn put_in_force(deployment: &Deployment) -> OperatorSession {
    let mut session = OperatorSession::start().await;
    for data_centre in ["dc1", "dc2", "dc3"] {
        let file = format!("{}/{data_centre}.ini", deployment.directory);
        let id = session.propose(&file).await;
        session.run(&["accept", &id]).await;
    }
    let file = format!("{}/{}.ini", deployment.directory, deployment.workspace);
    let id = session.propose(&file).await;
    session.run(&["accept", &id]).await;
    session.run(&["accept", &id]).await;
    session
}

#[tokio::test]
async fn destapes_is_put_in_force_from_its_questionnaires() {
    let session = put_in_force(&DESTAPES).await;
    assert_snapshot!("destapes-configuration", session.transcript());
}

#[tokio::test]
async fn solar_watch_is_put_in_force_from_its_questionnaires() {
    let session = put_in_force(&SOLAR_WATCH).await;
    assert_snapshot!("solar-watch-configuration", session.transcript());
}

#[tokio::test]
async fn keys_races_and_wrong_answers_are_shown() {
    let mut session = put_in_force(&DESTAPES).await;
    session.clear_transcript();
    let workspace = DESTAPES.workspace;
    session.run(&["key", "new", workspace]).await;
    let names = session.run(&["key", "list", workspace]).await;
    session
        .run(&["key", "withdraw", workspace, names.trim()])
        .await;
    session
        .run(&["key", "withdraw", workspace, names.trim()])
        .await;

    let file = format!("{}/{workspace}.ini", DESTAPES.directory);
    let one = session
        .propose_with_change(&file, "cost-weight = 3", "cost-weight = 5")
        .await;
    let other = session
        .propose_with_change(&file, "cost-weight = 3", "cost-weight = 7")
        .await;
    session.run(&["accept", &one]).await;
    session.run(&["accept", &other]).await;

    let changed = [("idempotent = no", "idempotent = perhaps"), ("8s", "1s")];
    session.propose_invalid(&file, &changed).await;
    session.run(&["accept", "0123456789ab"]).await;
    session.stop_platform().await;
    session.run(&["accept", &other]).await;
    assert_snapshot!("keys-races-and-wrong-answers", session.transcript());
}

#[tokio::test]
async fn the_questionnaires_ask_everything_in_the_file() {
    let mut session = OperatorSession::start().await;
    session.run(&["questionnaire", "new", "workspace"]).await;
    session.run(&["questionnaire", "new", "data-centre"]).await;
    assert_snapshot!("questionnaires", session.transcript());
}

/// A request of a session: its class and the model that serves it.
struct SessionRequest {
    class: &'static str,
    model: &'static str,
}

/// The first data centre and the workspace of a deployment, in force on two hosts that
/// run.
struct RunningDeployment {
    session: OperatorSession,
    processes: DataCentreDaemons,
    key: String,
    _upstreams: DataCentreUpstreams,
}

async fn start(deployment: &Deployment) -> RunningDeployment {
    let mut session = OperatorSession::start().await;
    let file = format!("{}/dc1.ini", deployment.directory);
    let upstreams = DataCentreUpstreams::start(&file);
    let id = upstreams.propose(&mut session, &file).await;
    session.clear_transcript();
    session.run(&["accept", &id]).await;
    let file = format!("{}/{}.ini", deployment.directory, deployment.workspace);
    let id = session.propose(&file).await;
    session.clear_transcript();
    session.run(&["accept", &id]).await;
    let key = session.run(&["key", "new", deployment.workspace]).await;
    RunningDeployment {
        processes: DataCentreDaemons::start(&mut session),
        session,
        key: key.trim().to_owned(),
        _upstreams: upstreams,
    }
}

/// Runs a session from the questionnaires to the responses and the usage report.
async fn serve(deployment: &Deployment, requests: &[SessionRequest]) -> OperatorSession {
    let running = start(deployment).await;
    let RunningDeployment {
        mut session,
        processes,
        key,
        _upstreams,
    } = running;
    let caller = processes.caller(&key).await;
    session.wait_for_status().await;
    for request in requests {
        let id = send_chat_request(&caller, request.class, request.model).await;
        session.replace(&id, "REQUEST");
        session.record_line(&format!(
            "# answered: {} by {}",
            request.class, request.model
        ));
        session.explain(&id).await;
    }
    let lines = wait_for_usage_lines(&session, requests.len() as u64).await;
    session.record_line("# usage reported to the platform");
    for line in sorted(lines) {
        session.record_line(&line);
    }
    processes.end();
    session
}

fn sorted(lines: Vec<Value>) -> Vec<String> {
    let mut lines: Vec<String> = lines.iter().map(Value::to_string).collect();
    lines.sort();
    lines
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn destapes_is_served_and_billed_as_its_questionnaires_ask() {
    let requests = [
        SessionRequest {
            class: "triage",
            model: "triage",
        },
        SessionRequest {
            class: "summary",
            model: "dispatch",
        },
    ];
    let session = serve(&DESTAPES, &requests).await;
    assert_snapshot!("destapes-served", session.transcript());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn solar_watch_is_served_and_billed_as_its_questionnaires_ask() {
    let requests = [
        SessionRequest {
            class: "review",
            model: "forecast",
        },
        SessionRequest {
            class: "radio",
            model: "alert",
        },
    ];
    let session = serve(&SOLAR_WATCH, &requests).await;
    assert_snapshot!("solar-watch-served", session.transcript());
}

/// Guards against duplicate records of an order. The test failed when an order was
/// recorded each time that its request was read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_role_change_is_carried_out_explained_and_counted() {
    let mut running = start(&DESTAPES).await;
    let session = &mut running.session;
    session.wait_for_status().await;
    let unconfigured_host = FleetEntry::live("dc1");
    session.platform().set_host("a3", unconfigured_host);
    let shown = session.run(&["status"]).await;
    assert!(shown.contains("a3: not asked"), "{shown}");
    let caller = running.processes.caller(&running.key).await;
    send_chat_request(&caller, "triage", "triage").await;
    let change = ["engine", "dc1", "triage-14", "role", "decode"];
    let shown = session.run(&change).await;
    assert_eq!(shown, "triage-14 in dc1 is asked for: role decode\n");
    session.explain_until("triage-14", "order done").await;
    eventually("the request to be deleted", || async {
        let requests = session.platform().objects("engine-requests/");
        requests.is_empty().then_some(())
    })
    .await;
    let explained = session.explain_until("triage-14", "order done").await;
    let orders = explained.matches("ordered to become").count();
    assert_eq!(orders, 1, "{explained}");
    let ordered = explained
        .lines()
        .find(|line| line.contains("ordered to become decode"));
    let ordered = ordered.expect("the order is recorded");
    assert!(ordered.contains(".steward at epoch 1"), "{ordered}");
    assert!(
        ordered.contains("asked for by operator's request"),
        "{ordered}"
    );
    assert!(
        !explained.contains(&running.key),
        "the explanation contains a key"
    );
    let metrics = running.processes.metrics().await;
    for metric in named_metrics() {
        let is_shown = metrics.contains(&format!("\n{metric}"));
        let is_known = is_shown || is_instrument(&metric);
        assert!(
            is_known,
            "the pages name {metric}, which no process exports"
        );
    }
}

#[test]
fn the_examples_operators_ask_their_hosts() {
    for deployment in [DESTAPES, SOLAR_WATCH] {
        let directory = Path::new(deployment.directory);
        let operator = OperatorSettings::load(&directory.join("operator.ini"));
        let operator = operator.expect("a valid example");
        assert_eq!(operator.hosts.len(), 6);
        for host in operator.hosts {
            let file = directory.join(format!("hosts/{}.ini", host.name));
            let settings = Settings::load(&file).expect("a valid example");
            let entry = settings.entry.map(|entry| entry.admin_listen);
            let steward = settings.steward.map(|steward| steward.admin_listen);
            assert_eq!((host.entry, host.steward), (entry, steward), "{file:?}");
            assert_eq!(operator.platform.address, settings.platform.address);
        }
    }
}
