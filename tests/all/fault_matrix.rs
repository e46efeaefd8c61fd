//! The row of the fault matrix that needs processes: the entry is killed while
//! it serves. The other rows are in the entry's own tests.

use crate::support::{Caller, Fleet, ProcessSignal, eventually};
use serde_json::json;

/// One cell: a class, a form, and what a repeat at another host is told.
struct Cell {
    class: &'static str,
    stream: bool,
    status: u16,
}

/// Idempotent work runs again where the caller repeats it; a booking never.
#[tokio::test]
async fn work_of_a_killed_entry_is_repeated_only_if_it_may_be() {
    let cells = [
        ("default", true, 200),
        ("default", false, 200),
        ("booking", true, 409),
        ("booking", false, 409),
    ];
    for (class, stream, status) in cells {
        let cell = Cell {
            class,
            stream,
            status,
        };
        run_cell(cell).await;
    }
}

async fn run_cell(cell: Cell) {
    let mut fleet = Fleet::start_slow().await;
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 20,
        "stream": cell.stream,
    });
    let ask = |entry: usize| {
        let caller = Caller::new(fleet.callers_url(entry), "key-of-the-plumbers");
        let request = caller.chat(&body).header("lagoonlift-class", cell.class);
        request.header("idempotency-key", "booking-1").send()
    };
    let cut = tokio::spawn(ask(0));
    let repeat = ask(2);
    eventually("the engine to run", || async {
        let runs = fleet.executions().await;
        runs.iter().any(|tokens| *tokens > 0).then_some(())
    })
    .await;
    fleet.entry(0).signal(ProcessSignal::Kill);
    // Whatever came of the first answer, it didn't end.
    let cut = cut.await.expect("no panic");
    let body = match cut {
        Ok(response) => response.text().await.unwrap_or_default(),
        Err(_) => String::new(),
    };
    assert!(!body.contains("[DONE]"), "{}: {body}", cell.class);
    let response = repeat.await.expect("an answer");
    let status = response.status().as_u16();
    assert_eq!(
        status, cell.status,
        "{}, stream: {}",
        cell.class, cell.stream
    );
    response.bytes().await.expect("a whole answer");
    let runs = fleet.executions().await.len();
    let expected = if cell.class == "booking" { 1 } else { 2 };
    assert_eq!(runs, expected, "{}, stream: {}", cell.class, cell.stream);
}
