//! A graceful shutdown interrupts no request in flight.

use crate::support::{Caller, ProcessSignal, TestDeployment, eventually};
use futures::StreamExt;
use serde_json::json;

/// On SIGTERM with a stream in flight, readiness turns false, the listener closes, the
/// stream completes, and the process exits with status 0.
#[tokio::test]
async fn a_stream_in_flight_is_finished() {
    let mut deployment = TestDeployment::start_slow().await;
    let caller = Caller::new(deployment.callers_url(0), "key-of-the-plumbers");
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 40,
        "stream": true,
    });
    let response = caller
        .chat(&body)
        .send()
        .await
        .expect("the response headers");
    let mut stream = response.bytes_stream();
    let first = stream
        .next()
        .await
        .expect("the first event")
        .expect("the stream is not interrupted");
    let entry = deployment.entry(0);
    let ready_url = format!("{}/ready", entry.admin_url());
    entry.signal(ProcessSignal::Terminate);
    eventually("the readiness check to fail", || async {
        let response = reqwest::get(&ready_url).await.ok()?;
        (response.status() == 503).then_some(())
    })
    .await;
    eventually("new connections to be refused", || async {
        let new_caller = Caller::new(caller.url(), "key-of-the-plumbers");
        new_caller.get("/v1/models").send().await.err()
    })
    .await;
    let mut text = first.to_vec();
    while let Some(bytes) = stream.next().await {
        text.extend(bytes.expect("the stream is not interrupted"));
    }
    let text = String::from_utf8(text).expect("the stream is valid UTF-8");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(
        text.matches("token_index")
            .count()
            .max(text.matches("\"content\"").count()),
        40
    );
    let entry = deployment.entry(0);
    let status = eventually("the process to exit", || {
        let status = entry.exit_status();
        async move { status }
    })
    .await;
    assert_eq!(status.code(), Some(0));
}
