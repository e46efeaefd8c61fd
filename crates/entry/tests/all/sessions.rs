//! Complete sessions of callers, from the key check to the last byte.

use crate::support::{
    EntryFixture, FixtureOptions, HANG_GUARD, KEY, OTHER_KEY, PROMPT, chat_body, header,
    streamed_text,
};
use lagoonlift_standins::engine::completion_text;
use serde_json::Value;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[tokio::test]
async fn a_streamed_answer_is_whole_and_the_key_stays_here() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let response = fixture
        .chat("default", true, 12)
        .send()
        .await
        .expect("sent");
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let body = response.text().await.expect("a whole body");
    assert_eq!(streamed_text(&body), completion_text(PROMPT, 12));
    assert!(body.ends_with("data: [DONE]\n\n"));
    let logs = fixture
        .engines
        .iter()
        .flat_map(|engine| engine.log().snapshot());
    let had_key: Vec<bool> = logs.map(|execution| execution.had_key).collect();
    assert_eq!(had_key, [false]);
    assert_eq!(
        fixture.metric("lagoonlift_first_token_seconds_count", "harbour"),
        1.0
    );
}

#[tokio::test]
async fn a_plain_answer_is_whole() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let response = fixture.chat("once", false, 5).send().await.expect("sent");
    assert_eq!(header(&response, "lagoonlift-outcome"), "answered");
    let completion: Value = response.json().await.expect("JSON");
    let content = &completion["choices"][0]["message"]["content"];
    assert_eq!(content, &Value::from(completion_text(PROMPT, 5)));
    assert_eq!(completion["usage"]["completion_tokens"], 5);
}

#[tokio::test]
async fn a_key_opens_its_own_workspace_only() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let unknown = fixture
        .client
        .post(fixture.url("/v1/chat/completions"))
        .bearer_auth("wrong")
        .json(&chat_body(false, 1));
    let response = unknown.send().await.expect("sent");
    assert_eq!(response.status(), 401);
    assert_eq!(header(&response, "lagoonlift-outcome"), "not-run");
    insta::assert_snapshot!(response.text().await.expect("a body"));
    let foreign = fixture
        .client
        .get(fixture.url("/v1/services/harbour/look/1"));
    let response = foreign.bearer_auth(OTHER_KEY).send().await.expect("sent");
    assert_eq!(response.status(), 401);
    assert!(fixture.service.calls().is_empty());
}

/// An open route needs no key, a keyed route does, and an escaped `..` doesn't
/// lead from one to the other. Also guards against forwarding a caller's
/// `x-request-id` beside the system's own, as happened before.
#[tokio::test]
async fn plain_routes_are_keyed_or_open() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let open = fixture
        .client
        .get(fixture.url("/v1/services/harbour/status/now?a=1"));
    let response = open.send().await.expect("sent");
    assert_eq!(header(&response, "lagoonlift-outcome"), "answered");
    let keyed = fixture
        .client
        .post(fixture.url("/v1/services/harbour/book/7"));
    let keyed = keyed
        .bearer_auth(KEY)
        .body("pump")
        .send()
        .await
        .expect("sent");
    assert_eq!(keyed.text().await.expect("a body"), "POST /book/7 pump\n");
    let forged = fixture
        .client
        .get(fixture.url("/v1/services/harbour/status/now"));
    let response = forged.header("x-request-id", "forged").send().await;
    assert_eq!(response.expect("sent").status(), 200);
    let requests = fixture.service.calls().into_iter().map(|call| call.request);
    assert!(requests.into_iter().all(|request| request != "forged"));
    // The slash is escaped because the client's URL parser would resolve `..`
    // before a plain one.
    let escape = fixture.url("/v1/services/harbour/status/..%2fbook/7");
    let response = fixture.client.get(escape).send().await.expect("sent");
    assert_eq!(header(&response, "lagoonlift-outcome"), "not-run");
    let calls = fixture.service.calls();
    assert!(calls.iter().all(|call| !call.had_key));
    assert_eq!(calls.len(), 3);
}

#[tokio::test]
async fn lists_the_workspaces_models() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let models = fixture
        .client
        .get(fixture.url("/v1/models"))
        .bearer_auth(KEY);
    let list: Value = models
        .send()
        .await
        .expect("sent")
        .json()
        .await
        .expect("JSON");
    assert_eq!(list["data"][0]["id"], "tide-7b");
}

/// Guards against interrupting streams on shutdown: with a drain timeout of
/// zero, the stream was interrupted.
#[tokio::test]
async fn a_graceful_shutdown_cuts_no_stream() {
    let mut plan = FixtureOptions::default();
    for engine in &mut plan.engines {
        engine.token_interval = Duration::from_millis(20);
    }
    let mut fixture = EntryFixture::start(plan).await;
    let mut response = fixture
        .chat("default", true, 60)
        .send()
        .await
        .expect("sent");
    let first = response.chunk().await.expect("a chunk").expect("a chunk");
    // The client's only connection to the caller address carries the stream, so
    // the server has no idle connection to wait for.
    let entry = fixture.entry.take().expect("the entry runs");
    let addr = entry.caller_addr();
    let shutdown = tokio::spawn(entry.shutdown());
    let rest = response.bytes().await.expect("a whole body");
    let body = [first, rest].concat();
    let text = streamed_text(&String::from_utf8_lossy(&body));
    assert_eq!(text, completion_text(PROMPT, 60));
    timeout(HANG_GUARD, shutdown)
        .await
        .expect("it ends")
        .expect("no panic");
    assert_eq!(fixture.runs(60), 1);
    assert!(TcpStream::connect(addr).await.is_err());
    let platform_writes = fixture.platform.calls().writes;
    assert!(platform_writes > 0, "the usage window was closed");
}
