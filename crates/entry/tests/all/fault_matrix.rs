//! A table of the outcomes of a request under each fault.
//!
//! Each fault is combined with both kinds of requests (idempotent and
//! non-idempotent) and both forms (streamed and not streamed). The engines'
//! execution logs determine whether a request ran, independently of the
//! reported outcome.

use crate::support::{
    EntryFixture, FixtureOptions, HANG_GUARD, PROMPT, crash, header, streamed_text,
};
use futures::future::join_all;
use lagoonlift_standins::engine::{EngineFault, Execution, ExecutionEnd, completion_text};
use lagoonlift_types::WorkspaceName;
use reqwest::Response;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Number of output tokens of each response.
const TOKENS: u64 = 16;

/// Interval between tokens. An engine that closes a connection at the moment it
/// writes a token loses the token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);

/// Number of cases that run concurrently.
const CONCURRENT_CASES: usize = 8;

/// The injected fault.
#[derive(Clone, Debug)]
enum Fault {
    /// The nearest engine fails the first attempt.
    First(EngineFault),
    /// Every engine fails every attempt.
    Always(EngineFault),
    /// The nearest engine doesn't listen.
    FirstDown,
    /// No engine listens.
    AllDown,
    /// The platform is unreachable.
    PlatformDown,
    /// The caller's key is withdrawn before the request.
    KeyWithdrawn,
}

/// A fault and the expected outcomes of idempotent and non-idempotent requests.
struct Row {
    fault: Fault,
    idempotent: &'static str,
    non_idempotent: &'static str,
}

fn table() -> Vec<Row> {
    let row = |fault, idempotent, non_idempotent| Row {
        fault,
        idempotent,
        non_idempotent,
    };
    let first = Fault::First;
    let always = Fault::Always;
    vec![
        row(first(EngineFault::None), "answered", "answered"),
        row(
            first(EngineFault::CrashBeforeHeaders),
            "answered",
            "unknown",
        ),
        row(
            first(EngineFault::CrashAfterTokens(0)),
            "answered",
            "unknown",
        ),
        row(
            first(EngineFault::CrashAfterTokens(3)),
            "answered",
            "failed",
        ),
        row(first(EngineFault::CrashBeforeEnd), "answered", "failed"),
        row(first(EngineFault::LoseAnswer), "answered", "failed"),
        row(
            first(EngineFault::SilentAfterTokens(0)),
            "answered",
            "unknown",
        ),
        row(
            first(EngineFault::SilentAfterTokens(3)),
            "answered",
            "failed",
        ),
        row(first(EngineFault::ServerError), "answered", "failed"),
        row(first(EngineFault::Busy), "answered", "answered"),
        row(always(EngineFault::Busy), "not-run", "not-run"),
        row(always(EngineFault::ServerError), "failed", "failed"),
        row(
            always(EngineFault::CrashBeforeHeaders),
            "unknown",
            "unknown",
        ),
        row(always(EngineFault::CrashAfterTokens(3)), "failed", "failed"),
        row(Fault::FirstDown, "answered", "answered"),
        row(Fault::AllDown, "not-run", "not-run"),
        row(Fault::PlatformDown, "answered", "answered"),
        row(Fault::KeyWithdrawn, "not-run", "not-run"),
    ]
}

/// One request of the matrix.
#[derive(Clone, Debug)]
struct Case {
    fault: Fault,
    class: &'static str,
    stream: bool,
    expected: &'static str,
}

fn cases() -> Vec<Case> {
    let kinds = |row: Row| {
        let kinds = [("default", row.idempotent), ("once", row.non_idempotent)];
        kinds.into_iter().flat_map(move |(class, expected)| {
            let fault = row.fault.clone();
            [true, false].map(move |stream| Case {
                fault: fault.clone(),
                class,
                stream,
                expected,
            })
        })
    };
    table().into_iter().flat_map(kinds).collect()
}

async fn inject_fault(fixture: &mut EntryFixture, fault: &Fault) {
    match fault {
        Fault::First(fault) => fixture.engines[0].faults().push(fault.clone()),
        Fault::Always(fault) => {
            for engine in &fixture.engines {
                engine.faults().set_default(Some(fault.clone()));
            }
        }
        Fault::FirstDown => crash(&mut fixture.engines[0]).await,
        Fault::AllDown => {
            for engine in &mut fixture.engines {
                crash(engine).await;
            }
        }
        Fault::PlatformDown => fixture.platform.faults().set_down(true),
        Fault::KeyWithdrawn => withdraw_key(fixture).await,
    }
}

/// Withdraws the key and waits until it is refused.
async fn withdraw_key(fixture: &mut EntryFixture) {
    let mut configuration = fixture.configuration.clone();
    let name = WorkspaceName::new("harbour").expect("a valid name");
    let workspace = configuration.workspaces.get_mut(&name);
    Arc::make_mut(workspace.expect("the workspace")).keys = BTreeSet::new();
    fixture.publish_configuration(configuration).await;
    let models = || {
        fixture
            .client
            .get(fixture.url("/v1/models"))
            .bearer_auth(crate::support::KEY)
    };
    let refused = async {
        while models().send().await.expect("sent").status() != 401 {
            tokio::task::yield_now().await;
        }
    };
    timeout(HANG_GUARD, refused)
        .await
        .expect("it comes into force");
}

/// Returns the reported outcome and the text of the response.
async fn observe(response: Response, stream: bool) -> (String, String) {
    let reported = header(&response, "lagoonlift-outcome").to_owned();
    let body = response.text().await.expect("a whole body");
    match (reported.as_str(), stream) {
        ("", true) => (stream_outcome(&body), streamed_text(&body)),
        ("answered", false) => {
            let completion: Value = serde_json::from_str(&body).expect("JSON");
            let content = &completion["choices"][0]["message"]["content"];
            (reported, content.as_str().unwrap_or_default().to_owned())
        }
        _ => (reported, String::new()),
    }
}

/// Returns the outcome that a stream reports in its last event.
fn stream_outcome(body: &str) -> String {
    let last = body.lines().rfind(|line| line.starts_with("data: "));
    let data = last.and_then(|line| line.strip_prefix("data: "));
    match data.expect("an event") {
        "[DONE]" => "answered".to_owned(),
        text => {
            let event: Value = serde_json::from_str(text).expect("JSON");
            let code = event["error"]["code"].as_str().expect("an error");
            code.replace("outcome_unknown", "unknown")
        }
    }
}

fn executions(fixture: &EntryFixture) -> Vec<Execution> {
    let logs = fixture.engines.iter().map(|engine| engine.log().snapshot());
    logs.flatten()
        .filter(|execution| execution.end != ExecutionEnd::Refused)
        .collect()
}

async fn run_case(case: Case) {
    let mut plan = FixtureOptions::default();
    for engine in &mut plan.engines {
        engine.token_interval = TOKEN_INTERVAL;
    }
    let mut fixture = EntryFixture::start(plan).await;
    inject_fault(&mut fixture, &case.fault).await;
    let request = fixture.chat(case.class, case.stream, TOKENS);
    let response = timeout(HANG_GUARD, request.send()).await;
    let response = response.expect("a response in time").expect("sent");
    let (outcome, text) = observe(response, case.stream).await;
    let ran = executions(&fixture);
    assert_eq!(outcome, case.expected, "{case:?}: {ran:?}");
    let whole = completion_text(PROMPT, TOKENS);
    match outcome.as_str() {
        "answered" => assert_eq!(text, whole, "{case:?}"),
        "not-run" => assert!(ran.is_empty(), "{case:?}: {ran:?}"),
        _ => assert!(whole.starts_with(&text), "{case:?}: {text}"),
    }
    if case.class == "once" {
        assert!(ran.len() <= 1, "{case:?}: {ran:?}");
    }
}

/// Guards against duplicate runs and tokens. With `may_retry` always true, a
/// request of the class `once` ran at two engines and was answered. With tokens
/// delivered that the cursor drops, and a resumption one token too early, a
/// resumed response contained a token twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_fault_ends_in_its_outcome() {
    let cases = cases();
    for batch in cases.chunks(CONCURRENT_CASES) {
        join_all(batch.iter().cloned().map(run_case)).await;
    }
}
