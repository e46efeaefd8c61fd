//! Measures the request path under faults, and the memory of open streams.
//!
//! `cargo run --release -p lagoonlift-entry --example request_path -- faults`
//! runs closed loops of callers of two workspaces against one entry daemon and
//! three engines. It prints goodput, the answered share of the workspace that
//! fares worse, and retries per complete response, before, during and after
//! each fault.
//!
//! `-- memory-engine` and `-- memory-entry` print the resident memory of the
//! process against the number of open streams, straight to the engines and
//! through the entry daemon.
//!
//! Everything runs in this process, over loopback.

#[path = "../tests/all/support/mod.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod support;

use futures::future::join_all;
use lagoonlift_entry::EntryTuning;
use lagoonlift_standins::engine::{EngineConfig, EngineFault, completion_text};
use reqwest::{Client, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use support::{
    EntryFixture, FixtureOptions, KEY, OTHER_KEY, PROMPT, chat_body, engine_config, streamed_text,
};
use tokio::time::{Instant, sleep};

/// Time before, during and after a fault.
const PHASE: Duration = Duration::from_secs(5);
/// Output tokens of each response in the fault runs.
const TOKENS: u64 = 20;
/// Interval between tokens in the fault runs.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Number of concurrent callers of the large and of the small workspace.
const CALLERS: [(&str, usize); 2] = [(KEY, 24), (OTHER_KEY, 4)];
/// Number of streams opened between two readings of memory.
const STREAM_STEP: usize = 400;
/// Number of memory readings.
const STREAM_STEPS: usize = 5;
/// Number of engines in the memory runs. Each engine takes at most 64 streams
/// from one entry daemon.
const MEMORY_ENGINES: usize = 36;

#[tokio::main]
async fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("faults") => run_faults().await,
        Some("memory-engine") => run_memory(StreamPath::Engine).await,
        Some("memory-entry") => run_memory(StreamPath::Entry).await,
        _ => eprintln!("usage: request_path faults|memory-engine|memory-entry"),
    }
}

/// Counts the responses to the callers of one workspace.
#[derive(Debug, Default)]
struct Tally {
    whole: AtomicU64,
    other: AtomicU64,
    wrong: AtomicU64,
}

impl Tally {
    fn take(&self) -> (u64, u64, u64) {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        (take(&self.whole), take(&self.other), take(&self.wrong))
    }
}

async fn run_faults() {
    println!("fault | phase | whole/s | worse workspace answered | wrong | repeats per whole");
    for name in ["crash", "silent", "errors", "busy", "platform"] {
        run_fault(name).await;
    }
}

async fn run_fault(name: &str) {
    let config = EngineConfig {
        token_interval: TOKEN_INTERVAL,
        ..engine_config()
    };
    let plan = FixtureOptions {
        engines: vec![config; 3],
        ..FixtureOptions::default()
    };
    let mut fixture = EntryFixture::start(plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut tallies = Vec::new();
    for (key, callers) in CALLERS {
        let tally = Arc::new(Tally::default());
        for _ in 0..callers {
            let url = fixture.url("/v1/chat/completions");
            tokio::spawn(call_in_a_loop(
                url,
                key,
                Arc::clone(&tally),
                Arc::clone(&stop),
            ));
        }
        tallies.push(tally);
    }
    let mut repeats = 0.0;
    for phase in ["before", "during", "after"] {
        match phase {
            "during" => begin_fault(&mut fixture, name),
            "after" => end_fault(&mut fixture, name),
            _ => {}
        }
        let started = Instant::now();
        sleep(PHASE).await;
        let seconds = started.elapsed().as_secs_f64();
        let counts: Vec<(u64, u64, u64)> = tallies.iter().map(|tally| tally.take()).collect();
        let whole: u64 = counts.iter().map(|(whole, ..)| whole).sum();
        let wrong: u64 = counts.iter().map(|(.., wrong)| wrong).sum();
        let shares = counts
            .iter()
            .map(|(whole, other, wrong)| *whole as f64 / (whole + other + wrong).max(1) as f64);
        let worst = shares.fold(1.0, f64::min);
        let total = fixture.metric("lagoonlift_attempts", "retry");
        println!(
            "{name} | {phase} | {:.0} | {:.1}% | {wrong} | {:.4}",
            whole as f64 / seconds,
            100.0 * worst,
            (total - repeats) / whole.max(1) as f64,
        );
        repeats = total;
    }
    stop.store(true, Ordering::Relaxed);
}

fn begin_fault(fixture: &mut EntryFixture, name: &str) {
    let always = |fault| fixture.engines[0].faults().set_default(Some(fault));
    match name {
        "crash" => fixture.engines[0].crash(),
        "silent" => always(EngineFault::SilentAfterTokens(3)),
        "errors" => always(EngineFault::ServerError),
        "busy" => always(EngineFault::Busy),
        _ => fixture.platform.faults().set_down(true),
    }
}

fn end_fault(fixture: &mut EntryFixture, name: &str) {
    match name {
        "crash" => fixture.engines[0].restart().expect("the port is free"),
        "platform" => fixture.platform.faults().set_down(false),
        _ => fixture.engines[0].faults().set_default(None),
    }
}

async fn call_in_a_loop(url: String, key: &'static str, tally: Arc<Tally>, stop: Arc<AtomicBool>) {
    let client = Client::new();
    let whole = completion_text(PROMPT, TOKENS);
    while !stop.load(Ordering::Relaxed) {
        let request = client
            .post(&url)
            .bearer_auth(key)
            .json(&chat_body(true, TOKENS));
        let body = match request.send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        };
        let counter = match body.ends_with("data: [DONE]\n\n") {
            true if streamed_text(&body) == whole => &tally.whole,
            true => &tally.wrong,
            false => &tally.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Path of the measured streams.
#[derive(Clone, Copy, Debug)]
enum StreamPath {
    /// Straight to the engines.
    Engine,
    /// Through the entry daemon.
    Entry,
}

async fn run_memory(path: StreamPath) {
    let config = EngineConfig {
        token_interval: Duration::from_secs(1),
        ..engine_config()
    };
    let plan = FixtureOptions {
        engines: vec![config; MEMORY_ENGINES],
        tuning: EntryTuning::default(),
        ..FixtureOptions::default()
    };
    let fixture = EntryFixture::start(plan).await;
    let client = Client::new();
    println!("path | streams | resident KiB | KiB a stream");
    let mut held: Vec<Response> = Vec::new();
    let start = resident_kib();
    for _ in 0..STREAM_STEPS {
        let opened = (0..STREAM_STEP).map(|index| {
            let engine = &fixture.engines[index % MEMORY_ENGINES];
            let url = match path {
                StreamPath::Engine => format!("http://{}/v1/chat/completions", engine.addr()),
                StreamPath::Entry => fixture.url("/v1/chat/completions"),
            };
            let request = client.post(url).bearer_auth(KEY);
            request.json(&chat_body(true, 300)).send()
        });
        let opened = join_all(opened).await;
        held.extend(opened.into_iter().map(|opened| opened.expect("a stream")));
        let whole = held.iter().filter(|response| response.status() == 200);
        assert_eq!(whole.count(), held.len(), "every stream is open");
        // Lets all streams receive some tokens.
        sleep(Duration::from_secs(3)).await;
        let now = resident_kib();
        let each = (now - start) as f64 / held.len() as f64;
        println!("{path:?} | {} | {now} | {each:.1}", held.len());
    }
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("a number")
}
