//! Entry daemons keep serving while the platform, the stewards or other entry daemons
//! are unavailable.

use crate::support::{Caller, ProcessSignal, TestDeployment};
use serde_json::{Value, json};

fn chat() -> Value {
    json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 3,
    })
}

async fn assert_served(deployment: &TestDeployment, what: &str) {
    let caller = Caller::new(deployment.callers_url(0), "key-of-the-plumbers");
    let response = caller.chat(&chat()).send().await.expect("a response");
    assert!(response.status().is_success(), "{what}: {response:?}");
    let response_body: Value = response.json().await.expect("the complete response");
    assert_eq!(
        response_body["usage"]["completion_tokens"], 3,
        "{what}: {response_body}"
    );
}

/// An entry daemon requests nothing from these processes while it serves a request.
#[tokio::test]
async fn an_entry_serves_while_everything_else_is_away() {
    let mut deployment = TestDeployment::start().await;
    assert_served(&deployment, "all processes run").await;
    deployment.steward(0).signal(ProcessSignal::Stop);
    deployment.steward(1).signal(ProcessSignal::Kill);
    assert_served(
        &deployment,
        "one steward is suspended and the other is killed",
    )
    .await;
    deployment.entry(2).signal(ProcessSignal::Kill);
    assert_served(
        &deployment,
        "the entry daemon of the other data centre is killed",
    )
    .await;
    deployment.stop_platform();
    assert_served(&deployment, "the platform is unavailable").await;
    deployment.steward(0).signal(ProcessSignal::Continue);
    assert_served(
        &deployment,
        "a steward is resumed while the platform is unavailable",
    )
    .await;
}
