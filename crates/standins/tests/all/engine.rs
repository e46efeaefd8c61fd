//! Tests that the engine stand-in streams and resumes completions, injects faults and
//! logs its executions.

use lagoonlift_standins::engine::{
    EngineConfig, EngineFault, EngineStandin, ExecutionEnd, completion_text,
};
use lagoonlift_types::ModelName;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::mpsc::{self, Receiver};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

fn start_engine() -> EngineStandin {
    start_with(config())
}

fn config() -> EngineConfig {
    let model = ModelName::new("tide-7b").expect("a valid name");
    EngineConfig::new(BTreeSet::from([model]))
}

fn start_with(config: EngineConfig) -> EngineStandin {
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    EngineStandin::start(listen, config).expect("a free port")
}

async fn post(engine: &EngineStandin, body: &Value) -> reqwest::Result<String> {
    let url = format!("http://{}/v1/chat/completions", engine.addr());
    let client = reqwest::Client::new();
    let response = client
        .post(url)
        .header("x-request-id", "r1")
        .json(body)
        .send()
        .await?;
    response.text().await
}

fn request(stream: bool, resume_from: u64) -> Value {
    json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed" }],
        "max_tokens": 4,
        "stream": stream,
        "resume_from": resume_from,
    })
}

fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).expect("JSON events"))
        .filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

#[tokio::test]
async fn a_resumed_stream_continues_the_same_completion() {
    let engine = start_engine();
    let whole = post(&engine, &request(true, 0)).await.expect("a response");
    let rest = post(&engine, &request(true, 2)).await.expect("a response");
    let expected = completion_text("which pipe failed", 4);
    let first_two = completion_text("which pipe failed", 2);
    assert_eq!(streamed_text(&whole), expected);
    assert_eq!(format!("{first_two}{}", streamed_text(&rest)), expected);
    assert!(whole.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn a_fault_breaks_the_connection_and_is_logged() {
    let engine = start_engine();
    engine.faults().push(EngineFault::CrashBeforeHeaders);
    engine.faults().push(EngineFault::CrashAfterTokens(2));
    post(&engine, &request(false, 0))
        .await
        .expect_err("no response headers");
    post(&engine, &request(true, 0))
        .await
        .expect_err("the connection is closed after two tokens");
    let log = engine.log().snapshot();
    let tokens: Vec<u64> = log.iter().map(|execution| execution.tokens).collect();
    assert_eq!(tokens, [0, 2]);
    assert!(
        log.iter()
            .all(|execution| execution.end == ExecutionEnd::Crashed)
    );
}

#[tokio::test]
async fn a_crashed_engine_refuses_connections_until_it_restarts() {
    let mut engine = start_engine();
    engine.crash();
    post(&engine, &request(false, 0))
        .await
        .expect_err("the connection is refused");
    engine
        .restart()
        .expect("the engine can bind its port again");
    post(&engine, &request(false, 0)).await.expect("a response");
}

/// Otherwise another server could bind the port and respond in place of the crashed
/// engine.
///
/// Fails if a crash releases the port.
#[tokio::test]
async fn a_crashed_engine_keeps_its_port() {
    let mut engine = start_engine();
    engine.crash();
    let other = TcpSocket::new_v4().expect("a socket");
    other.bind(engine.addr()).expect_err("the port is taken");
    engine
        .restart()
        .expect("the engine can bind its port again");
}

/// Clients that poll the order during the crash never read that it failed, and the
/// engine can bind its port again after the crash.
///
/// Fails if `crash` marks the order as failed before it closes the connections, or if
/// it doesn't wait until the server has stopped.
#[tokio::test]
async fn a_crashing_engine_does_not_report_its_failed_order() {
    let mut config = config();
    config.order_duration = Duration::from_secs(30);
    let mut engine = start_with(config);
    let order = json!({
        "id": "r1", "fencing": 1, "change": { "load-version": "2" },
    });
    let url = format!("http://{}/orders", engine.addr());
    let accepted = reqwest::Client::new().post(&url).json(&order).send().await;
    accepted.expect("a response");
    let pollers: Vec<_> = (0..4).map(|_| spawn_poller(format!("{url}/r1"))).collect();
    for (first_response, _) in &pollers {
        first_response.recv().expect("a response");
    }
    engine.crash();
    for (_, poller) in pollers {
        let states = poller
            .join()
            .expect("the polling thread ends without a panic");
        assert!(states.iter().all(|state| state == "running"), "{states:?}");
    }
    engine
        .restart()
        .expect("the engine can bind its port after the crash");
    let read = reqwest::get(format!("{url}/r1")).await.expect("a response");
    let state: Value = read.json().await.expect("a JSON state");
    assert_eq!(state["state"], "failed");
}

/// Polls an order's state on a separate thread until the engine no longer responds.
///
/// Returns a channel that signals the first response, and the thread, which returns all
/// states that it read.
fn spawn_poller(url: String) -> (Receiver<()>, JoinHandle<Vec<String>>) {
    let (first_response, receiver) = mpsc::channel();
    let poller = thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let client = reqwest::Client::new();
            let mut states = Vec::new();
            while let Ok(read) = client.get(&url).send().await {
                let Ok(body) = read.json::<Value>().await else {
                    break;
                };
                states.push(body["state"].as_str().unwrap_or_default().to_owned());
                if states.len() == 1 {
                    first_response
                        .send(())
                        .expect("the test holds the receiver");
                }
            }
            states
        })
    });
    (receiver, poller)
}

#[tokio::test]
async fn a_cancelled_request_stops_and_frees_its_slot() {
    let engine = start_engine();
    engine.faults().push(EngineFault::SilentAfterTokens(1));
    let client = reqwest::Client::new();
    let url = format!("http://{}", engine.addr());
    let stream = client
        .post(format!("{url}/v1/chat/completions"))
        .header("x-request-id", "r1")
        .json(&request(true, 0))
        .send()
        .await
        .expect("response headers");
    let cancel = client.delete(format!("{url}/v1/requests/r1")).send().await;
    assert_eq!(cancel.expect("a response").status(), 202);
    stream.text().await.expect("the end of the stream");
    assert_eq!(engine.log().snapshot()[0].end, ExecutionEnd::Cancelled);
    let again = client.delete(format!("{url}/v1/requests/r1")).send().await;
    assert_eq!(again.expect("a response").status(), 404);
}
