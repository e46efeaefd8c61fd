//! Entries serve on while the platform, the stewards or other entries are away.

use crate::support::{Caller, Fleet, ProcessSignal};
use serde_json::{Value, json};

fn chat() -> Value {
    json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 3,
    })
}

async fn assert_served(fleet: &Fleet, what: &str) {
    let caller = Caller::new(fleet.callers_url(0), "key-of-the-plumbers");
    let response = caller.chat(&chat()).send().await.expect("a response");
    assert!(response.status().is_success(), "{what}: {response:?}");
    let answer: Value = response.json().await.expect("a whole answer");
    assert_eq!(answer["usage"]["completion_tokens"], 3, "{what}: {answer}");
}

/// Nothing that a request needs is asked for while it runs.
#[tokio::test]
async fn an_entry_serves_while_everything_else_is_away() {
    let mut fleet = Fleet::start().await;
    assert_served(&fleet, "all are up").await;
    fleet.steward(0).signal(ProcessSignal::Stop);
    fleet.steward(1).signal(ProcessSignal::Kill);
    assert_served(&fleet, "the stewards are paused or killed").await;
    fleet.entry(2).signal(ProcessSignal::Kill);
    assert_served(&fleet, "the other data centre's entry is killed").await;
    fleet.stop_platform();
    assert_served(&fleet, "the platform is away").await;
    fleet.steward(0).signal(ProcessSignal::Continue);
    assert_served(&fleet, "a steward is back without the platform").await;
}
