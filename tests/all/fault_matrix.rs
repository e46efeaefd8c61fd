//! The row of the fault matrix that needs separate processes: the entry daemon is
//! killed while it serves a request. The tests of the entry's crate cover the other
//! rows.

use crate::support::{Caller, ProcessSignal, TestDeployment, eventually};
use serde_json::json;

/// One cell of the matrix: the class of the request, whether it streams, and the
/// status of the caller's retry at another host.
struct Cell {
    class: &'static str,
    is_stream: bool,
    status: u16,
}

/// A caller's retry at another host runs an idempotent request again, and never a
/// booking, which is not idempotent.
#[tokio::test]
async fn work_of_a_killed_entry_is_repeated_only_if_it_may_be() {
    let cells = [
        ("default", true, 200),
        ("default", false, 200),
        ("booking", true, 409),
        ("booking", false, 409),
    ];
    for (class, is_stream, status) in cells {
        let cell = Cell {
            class,
            is_stream,
            status,
        };
        run_cell(cell).await;
    }
}

async fn run_cell(cell: Cell) {
    let mut deployment = TestDeployment::start_slow().await;
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 20,
        "stream": cell.is_stream,
    });
    let send_request = |entry: usize| {
        let caller = Caller::new(deployment.callers_url(entry), "key-of-the-plumbers");
        let request = caller.chat(&body).header("lagoonlift-class", cell.class);
        request.header("idempotency-key", "booking-1").send()
    };
    let interrupted = tokio::spawn(send_request(0));
    let retry = send_request(2);
    eventually("the engine to generate a token", || async {
        let runs = deployment.tokens_by_execution().await;
        runs.iter().any(|tokens| *tokens > 0).then_some(())
    })
    .await;
    deployment.entry(0).signal(ProcessSignal::Kill);
    // The first response is incomplete or missing.
    let interrupted = interrupted.await.expect("the task doesn't panic");
    let body = match interrupted {
        Ok(response) => response.text().await.unwrap_or_default(),
        Err(_) => String::new(),
    };
    assert!(!body.contains("[DONE]"), "{}: {body}", cell.class);
    let response = retry.await.expect("a response");
    let status = response.status().as_u16();
    assert_eq!(
        status, cell.status,
        "{}, stream: {}",
        cell.class, cell.is_stream
    );
    response.bytes().await.expect("the complete response");
    let runs = deployment.tokens_by_execution().await.len();
    let expected = if cell.class == "booking" { 1 } else { 2 };
    assert_eq!(runs, expected, "{}, stream: {}", cell.class, cell.is_stream);
}
