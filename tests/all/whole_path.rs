//! One whole session over separate processes: caller to engine to usage report.

use crate::support::{Caller, Fleet, SessionTranscript};
use serde_json::json;

/// Platform, two engines, a plain service, two stewards and three entries as
/// separate processes: every kind of request, recorded as one session.
#[tokio::test]
async fn a_request_is_served_end_to_end() {
    let fleet = Fleet::start().await;
    let caller = Caller::new(fleet.callers_url(0), "key-of-the-plumbers");
    let stranger = Caller::new(fleet.callers_url(0), "wrong-key");
    let nobody = Caller::without_key(fleet.callers_url(1));
    let mut transcript = SessionTranscript::new();

    transcript.record("models", caller.get("/v1/models")).await;
    transcript
        .record("a whole answer", caller.chat(&chat(false)))
        .await;
    transcript
        .record("a stream", caller.chat(&chat(true)))
        .await;
    transcript
        .record("a wrong key", stranger.chat(&chat(false)))
        .await;
    transcript.record("no key", nobody.chat(&chat(false))).await;
    transcript
        .record("an unknown model", caller.chat(&unknown_model()))
        .await;
    let booking = caller.post("/v1/services/plumbers/bookings/7", "pump");
    transcript.record("a keyed route", booking).await;
    let booking = nobody.post("/v1/services/plumbers/bookings/7", "pump");
    transcript
        .record("a keyed route without a key", booking)
        .await;
    let status = nobody.get("/v1/services/plumbers/status/now");
    transcript.record("an open route", status).await;
    let other = Caller::new(fleet.callers_url(2), "key-of-the-plumbers");
    transcript
        .record("the other data centre", other.chat(&chat(false)))
        .await;

    let billed = fleet.wait_for_billed_requests(5).await;
    transcript.note("usage reports, summed", &billed);
    transcript.note("executions", &json!(fleet.executions().await));
    insta::assert_snapshot!(transcript.text());
}

/// No upstream sees a caller's key, whatever the route.
#[tokio::test]
async fn no_upstream_sees_the_key() {
    let fleet = Fleet::start().await;
    let caller = Caller::new(fleet.callers_url(0), "key-of-the-plumbers");
    for request in [
        caller.chat(&chat(true)),
        caller.post("/v1/services/plumbers/bookings/7", "x"),
    ] {
        let response = request.send().await.expect("an answer");
        assert!(response.status().is_success(), "{response:?}");
        response.bytes().await.expect("a whole answer");
    }
    let seen = fleet.keys_seen().await;
    assert_eq!(
        seen,
        (2, 0),
        "(calls that reached upstreams, those with a key)"
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
