//! The engine stand-in streams, resumes, fails on command and logs what ran.

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
async fn a_stream_and_its_resumption_are_one_answer() {
    let engine = start_engine();
    let whole = post(&engine, &request(true, 0)).await.expect("an answer");
    let rest = post(&engine, &request(true, 2)).await.expect("an answer");
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
        .expect_err("no headers");
    post(&engine, &request(true, 0))
        .await
        .expect_err("cut after two tokens");
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
        .expect_err("nobody listens");
    engine.restart().expect("the port is still free");
    post(&engine, &request(false, 0)).await.expect("an answer");
}

/// No other server gets the port of a crashed engine and answers in its place.
///
/// Seen failing with the port given up.
#[tokio::test]
async fn a_crashed_engine_keeps_its_port() {
    let mut engine = start_engine();
    engine.crash();
    let other = TcpSocket::new_v4().expect("a socket");
    other.bind(engine.addr()).expect_err("the port is taken");
    engine.restart().expect("the port is free for the engine");
}

/// Whoever asks while the engine crashes is never told that the order failed,
/// and the port is free when it has crashed.
///
/// Seen failing with the order failed before the connections are broken, and
/// with a crash that doesn't wait for the server's end.
#[tokio::test]
async fn a_crashing_engine_tells_nobody_of_its_lost_order() {
    let mut config = config();
    config.order_duration = Duration::from_secs(30);
    let mut engine = start_with(config);
    let order = json!({
        "id": "r1", "fencing": 1, "change": { "load-version": "2" },
    });
    let url = format!("http://{}/orders", engine.addr());
    let accepted = reqwest::Client::new().post(&url).json(&order).send().await;
    accepted.expect("an answer");
    let askers: Vec<_> = (0..4).map(|_| spawn_asker(format!("{url}/r1"))).collect();
    for (first_answer, _) in &askers {
        first_answer.recv().expect("an answer");
    }
    engine.crash();
    for (_, asker) in askers {
        let states = asker.join().expect("it ends with the engine");
        assert!(states.iter().all(|state| state == "running"), "{states:?}");
    }
    engine.restart().expect("the port is free");
    let read = reqwest::get(format!("{url}/r1")).await.expect("an answer");
    let state: Value = read.json().await.expect("a state");
    assert_eq!(state["state"], "failed");
}

/// Asks for an order's state on a thread of its own until nobody answers;
/// signals the first answer and returns them all.
fn spawn_asker(url: String) -> (Receiver<()>, JoinHandle<Vec<String>>) {
    let (first_answer, heard) = mpsc::channel();
    let asker = thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let client = reqwest::Client::new();
            let mut states = Vec::new();
            while let Ok(read) = client.get(&url).send().await {
                let Ok(answer) = read.json::<Value>().await else {
                    break;
                };
                states.push(answer["state"].as_str().unwrap_or_default().to_owned());
                if states.len() == 1 {
                    first_answer.send(()).expect("the test listens");
                }
            }
            states
        })
    });
    (heard, asker)
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
        .expect("headers");
    let cancel = client.delete(format!("{url}/v1/requests/r1")).send().await;
    assert_eq!(cancel.expect("an answer").status(), 202);
    stream.text().await.expect("an ended stream");
    assert_eq!(engine.log().snapshot()[0].end, ExecutionEnd::Cancelled);
    let again = client.delete(format!("{url}/v1/requests/r1")).send().await;
    assert_eq!(again.expect("an answer").status(), 404);
}
