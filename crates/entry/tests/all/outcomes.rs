//! Snapshots of how each outcome appears on the wire.

use crate::support::{EntryFixture, FixtureOptions, KEY, crash, wide_limits};
use lagoonlift_standins::engine::EngineFault;
use lagoonlift_types::Limits;
use reqwest::{RequestBuilder, Response};
use std::fmt::Write;

/// Headers that are part of the protocol.
const SHOWN: [&str; 5] = [
    "content-type",
    "lagoonlift-outcome",
    "retry-after",
    "www-authenticate",
    "x-should-retry",
];

/// Returns a response as text, without the parts that differ between runs.
async fn transcript(request: RequestBuilder) -> String {
    let response: Response = request.send().await.expect("sent");
    let mut text = format!("{}\n", response.status());
    for name in SHOWN {
        if let Some(value) = response.headers().get(name) {
            let value = value.to_str().expect("a text");
            writeln!(text, "{name}: {value}").expect("writing to a string");
        }
    }
    let id = response.headers().get("lagoonlift-request-id");
    let id = id
        .expect("an identifier")
        .to_str()
        .expect("a text")
        .to_owned();
    let body = response.text().await.expect("a body");
    format!("{text}\n{}", body.replace(&id, "[id]"))
}

async fn start() -> EntryFixture {
    let mut plan = FixtureOptions::default();
    for engine in &mut plan.engines {
        engine.token_interval = std::time::Duration::from_millis(5);
    }
    EntryFixture::start(plan).await
}

#[tokio::test]
async fn answered() {
    let fixture = start().await;
    insta::assert_snapshot!(
        "answered_stream",
        transcript(fixture.chat("once", true, 2)).await
    );
    insta::assert_snapshot!(
        "answered_whole",
        transcript(fixture.chat("once", false, 2)).await
    );
}

#[tokio::test]
async fn answered_with_usage() {
    let fixture = start().await;
    let request = fixture.chat("default", true, 1).json(&serde_json::json!({
        "model": crate::support::MODEL,
        "messages": [{"role": "user", "content": "a b c"}],
        "max_tokens": 1,
        "stream": true,
        "stream_options": {"include_usage": true},
    }));
    insta::assert_snapshot!(transcript(request).await);
}

#[tokio::test]
async fn failed() {
    let fixture = start().await;
    // A crash could lose tokens in flight; an engine that stops sending
    // doesn't.
    let fault = EngineFault::SilentAfterTokens(2);
    fixture.engines[0].faults().push(fault.clone());
    insta::assert_snapshot!(
        "failed_stream",
        transcript(fixture.chat("once", true, 6)).await
    );
    fixture.engines[0].faults().push(fault);
    insta::assert_snapshot!(
        "failed_whole",
        transcript(fixture.chat("once", false, 6)).await
    );
}

#[tokio::test]
async fn unknown() {
    let fixture = start().await;
    fixture.engines[0]
        .faults()
        .push(EngineFault::CrashBeforeHeaders);
    insta::assert_snapshot!(transcript(fixture.chat("once", true, 2)).await);
}

#[tokio::test]
async fn not_run_for_want_of_an_upstream() {
    let mut fixture = start().await;
    for engine in &mut fixture.engines {
        crash(engine).await;
    }
    insta::assert_snapshot!(transcript(fixture.chat("once", true, 2)).await);
}

#[tokio::test]
async fn not_run_because_all_are_busy() {
    let fixture = start().await;
    for engine in &fixture.engines {
        engine.faults().set_default(Some(EngineFault::Busy));
    }
    insta::assert_snapshot!(transcript(fixture.chat("once", true, 2)).await);
}

#[tokio::test]
async fn not_run_for_the_limit() {
    let limits = Limits {
        requests_per_second: 0.2,
        burst_seconds: 1.0,
        ..wide_limits()
    };
    let plan = FixtureOptions {
        limits,
        ..FixtureOptions::default()
    };
    let fixture = EntryFixture::start(plan).await;
    transcript(fixture.chat("once", false, 1)).await;
    let response = fixture.chat("once", false, 1).send().await.expect("sent");
    let wait = response.headers().get("retry-after").expect("a wait");
    let wait: u64 = wait.to_str().expect("a text").parse().expect("seconds");
    assert!((4..=10).contains(&wait), "{wait}");
    assert_eq!(response.status(), 429);
    insta::assert_snapshot!(response.text().await.expect("a body"));
}

#[tokio::test]
async fn not_run_without_the_store() {
    let fixture = start().await;
    fixture.platform.faults().set_down(true);
    let request = fixture.chat("once", true, 2).header("idempotency-key", "a");
    insta::assert_snapshot!(transcript(request).await);
}

#[tokio::test]
async fn already_ran() {
    let fixture = start().await;
    let request = || {
        fixture
            .chat("once", false, 2)
            .header("idempotency-key", "a")
    };
    transcript(request()).await;
    insta::assert_snapshot!(transcript(request()).await);
}

#[tokio::test]
async fn not_run_for_the_key() {
    let fixture = start().await;
    let request = fixture.client.post(fixture.url("/v1/chat/completions"));
    let request = request.bearer_auth(format!("{KEY}x")).body("{}");
    insta::assert_snapshot!(transcript(request).await);
}
