//! Runners crash and start again under their ids with another version of their software,
//! while the platform's store is down.

use crate::common::{HOST, configuration, entry, start_gateways, unix_ms};
use crate::record::Record;
use crate::store::Store;
use crate::streams::{Clients, Runner, Streams, client, listen};
use crate::{Outcome, Run};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const RUNNERS: usize = 2;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);
/// Streams that clients begin each second.
const STREAMS_PER_S: f64 = 4.0;
/// Times in seconds from the start of the traffic.
const LENGTH_S: f64 = 26.0;
const STORE_DOWN_S: std::ops::Range<f64> = 12.0..16.5;
/// When each runner is down, one after the other.
const CRASH_S: [std::ops::Range<f64>; RUNNERS] = [12.3..13.8, 15.0..16.4];
/// What a client waits for its stream in all, and the times that it takes it up.
const DEADLINE: Duration = Duration::from_secs(15);
const RETRIES: usize = 1;

/// Writes the runner's entry as soon as the store takes it, as a runner does at its start
/// and with each heartbeat.
fn register(runner: &Runner, store: &Store, born: u64) -> bool {
    let version = format!("v{}", runner.version.load(Ordering::SeqCst));
    let record = entry("desk", runner.address, runner.number, &version, 32, born);
    !store.is_down() && store.put("servers", &runner.id, record) > 0
}

/// Lets the runner crash for the given time and start again at the next version.
fn crash(runner: &Arc<Runner>, store: &Store, record: &Record, down: Duration) {
    record.line(&format!("runner {} crashes", runner.id));
    runner.is_down.store(true, Ordering::SeqCst);
    thread::sleep(down);
    runner.version.fetch_add(1, Ordering::SeqCst);
    runner.start.fetch_add(1, Ordering::SeqCst);
    let born = unix_ms();
    // The entry is written before the first connection is accepted, if the store takes it.
    let mut is_registered = register(runner, store, born);
    runner.is_down.store(false, Ordering::SeqCst);
    let listener = TcpListener::bind(runner.address).expect("the same port");
    let version = runner.version.load(Ordering::SeqCst);
    record.line(&format!(
        "runner {} starts again at v{version}, registered: {is_registered}",
        runner.id
    ));
    {
        let (runner, record) = (Arc::clone(runner), record.clone());
        thread::spawn(move || listen(&runner, listener, &record));
    }
    while !is_registered {
        thread::sleep(Duration::from_millis(100));
        is_registered = register(runner, store, born);
        if is_registered {
            record.line(&format!("runner {} is registered at v{version}", runner.id));
        }
    }
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start("127.0.0.1");
    let record = &run.record;
    let streams = Streams::default();
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let runner = Arc::new(Runner {
            id: format!("i-{number}"),
            number,
            address: listener.local_addr().expect("an address"),
            version: AtomicU64::new(1),
            is_down: AtomicBool::new(false),
            start: AtomicUsize::new(0),
            crashes_on: None,
            events: EVENTS,
            pause: PAUSE,
        });
        register(&runner, &store, unix_ms());
        let (serving, record) = (Arc::clone(&runner), record.clone());
        thread::spawn(move || listen(&serving, listener, &record));
        runners.push(runner);
    }
    let route = json!({
        "name": "r-tell", "host": HOST, "prefix": "/tell/", "kind": "streaming",
        "timeoutMs": 15000, "targetLatencyMs": 120, "priority": 1, "service": "desk",
        "attempts": 2, "public": false, "sticky": false, "resumable": true, "targetGapMs": 150,
    });
    store.put("config", "main", configuration(3, vec![route], &["desk"]));
    let gateways = match start_gateways(run, &store, GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Outcome::Impossible(why),
    };
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    thread::sleep(Duration::from_secs(4));
    record.line("the traffic starts");
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    for (runner, down) in runners.iter().zip(CRASH_S) {
        let (runner, store, record) = (Arc::clone(runner), store.clone(), record.clone());
        let (from, down) = (
            at(down.start),
            Duration::from_secs_f64(down.end - down.start),
        );
        thread::spawn(move || {
            thread::sleep(from.saturating_duration_since(Instant::now()));
            crash(&runner, &store, &record, down);
        });
    }
    if run.has_trouble {
        let (store, record) = (store.clone(), record.clone());
        let (from, until) = (at(STORE_DOWN_S.start), at(STORE_DOWN_S.end));
        thread::spawn(move || {
            thread::sleep(from.saturating_duration_since(Instant::now()));
            record.line("the store is down");
            store.set_down(true);
            thread::sleep(until.saturating_duration_since(Instant::now()));
            store.set_down(false);
            record.line("the store is back");
        });
    }
    let clients = Clients {
        gateways: addresses,
        path: "/tell/1",
        deadline: DEADLINE,
        retries: RETRIES,
        pause: Duration::from_millis(50),
        streams: Arc::clone(&streams),
        record: record.clone(),
    };
    let mut running = Vec::new();
    for number in 0.. {
        let due = at(number as f64 / STREAMS_PER_S);
        if due > at(LENGTH_S) {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let clients = clients.clone();
        running.push(thread::spawn(move || client(number, &clients)));
    }
    for client in running {
        client.join().expect("a client ends");
    }
    let streams = streams.lock().expect("sound");
    let joined: Vec<&String> = streams
        .iter()
        .filter(|(_, one)| one.versions.len() > 1)
        .map(|(id, _)| id)
        .collect();
    record.line(&format!(
        "ORDER: {} of {} streams hold events of two versions: {joined:?}",
        joined.len(),
        streams.len()
    ));
    match joined.len() > 2 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
