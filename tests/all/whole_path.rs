//! Complete sessions across separate processes, from the caller to the engine and the
//! usage report.

use crate::support::{Caller, SessionTranscript, TestDeployment};
use serde_json::json;

/// Sends every kind of request to a deployment and compares the recorded session with
/// its snapshot. The deployment runs a platform, two engines, a plain service, two
/// stewards and three entries as separate processes.
#[tokio::test]
async fn a_request_is_served_end_to_end() {
    let deployment = TestDeployment::start().await;
    let caller = Caller::new(deployment.callers_url(0), "key-of-the-plumbers");
    let caller_with_wrong_key = Caller::new(deployment.callers_url(0), "wrong-key");
    let caller_without_key = Caller::without_key(deployment.callers_url(1));
    let mut transcript = SessionTranscript::new();

    transcript.record("models", caller.get("/v1/models")).await;
    transcript
        .record("a whole answer", caller.chat(&chat(false)))
        .await;
    transcript
        .record("a stream", caller.chat(&chat(true)))
        .await;
    transcript
        .record("a wrong key", caller_with_wrong_key.chat(&chat(false)))
        .await;
    transcript
        .record("no key", caller_without_key.chat(&chat(false)))
        .await;
    transcript
        .record("an unknown model", caller.chat(&unknown_model()))
        .await;
    let booking = caller.post("/v1/services/plumbers/bookings/7", "pump");
    transcript.record("a keyed route", booking).await;
    let booking = caller_without_key.post("/v1/services/plumbers/bookings/7", "pump");
    transcript
        .record("a keyed route without a key", booking)
        .await;
    let status = caller_without_key.get("/v1/services/plumbers/status/now");
    transcript.record("an open route", status).await;
    let other = Caller::new(deployment.callers_url(2), "key-of-the-plumbers");
    transcript
        .record("the other data centre", other.chat(&chat(false)))
        .await;

    let billed = deployment.wait_for_billed_requests(5).await;
    transcript.record_value("usage reports, summed", &billed);
    transcript.record_value("executions", &json!(deployment.tokens_by_execution().await));
    insta::assert_snapshot!(transcript.text());
}

/// No upstream receives a caller's key, on a chat route or on a service route.
#[tokio::test]
async fn no_upstream_sees_the_key() {
    let deployment = TestDeployment::start().await;
    let caller = Caller::new(deployment.callers_url(0), "key-of-the-plumbers");
    for request in [
        caller.chat(&chat(true)),
        caller.post("/v1/services/plumbers/bookings/7", "x"),
    ] {
        let response = request.send().await.expect("a response");
        assert!(response.status().is_success(), "{response:?}");
        response.bytes().await.expect("the complete response");
    }
    let seen = deployment.count_upstream_calls().await;
    assert_eq!(
        seen,
        (2, 0),
        "(calls that reached upstreams, calls with a key)"
    );
}

fn chat(stream: bool) -> serde_json::Value {
    json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 3,
        "stream": stream,
    })
}

fn unknown_model() -> serde_json::Value {
    json!({ "model": "no-such-model", "messages": [{ "role": "user", "content": "hello" }] })
}
