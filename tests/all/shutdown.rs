//! A graceful shutdown cuts no request.

use crate::support::{Caller, Fleet, ProcessSignal, eventually};
use futures::StreamExt;
use serde_json::json;

/// SIGTERM with a stream in flight: readiness goes false, the listener closes,
/// the stream ends whole, the process exits with status 0.
#[tokio::test]
async fn a_stream_in_flight_is_finished() {
    let mut fleet = Fleet::start_slow().await;
    let caller = Caller::new(fleet.callers_url(0), "key-of-the-plumbers");
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 40,
        "stream": true,
    });
    let response = caller.chat(&body).send().await.expect("headers");
    let mut stream = response.bytes_stream();
    let first = stream.next().await.expect("an event").expect("no cut");
    let entry = fleet.entry(0);
    let ready_url = format!("{}/ready", entry.admin_url());
    entry.signal(ProcessSignal::Terminate);
    eventually("readiness to go false", || async {
        let response = reqwest::get(&ready_url).await.ok()?;
        (response.status() == 503).then_some(())
    })
    .await;
    eventually("new callers to be turned away", || async {
        let stranger = Caller::new(caller.url(), "key-of-the-plumbers");
        stranger.get("/v1/models").send().await.err()
    })
    .await;
    let mut text = first.to_vec();
    while let Some(bytes) = stream.next().await {
        text.extend(bytes.expect("the stream is not cut"));
    }
    let text = String::from_utf8(text).expect("plain text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(
        text.matches("token_index")
            .count()
            .max(text.matches("\"content\"").count()),
        40
    );
    let entry = fleet.entry(0);
    let status = eventually("the process to end", || {
        let status = entry.exited();
        async move { status }
    })
    .await;
    assert_eq!(status.code(), Some(0));
}
