//! Streams that clients take up again at other machines, after a machine was killed.

use crate::common::{HOST, configuration, entry, start_gateways, unix_ms};
use crate::store::Store;
use crate::streams::{Clients, Runner, Streams, client, listen};
use crate::{Outcome, Run};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 6;

/// Time for which all machines are down.
const DOWN: Duration = Duration::from_millis(1_200);

/// `contactMs` of the sites.
const CONTACT: Duration = Duration::from_millis(3_000);

/// One kind of run.
struct Plan {
    /// Service and version of each runner.
    runners: Vec<(&'static str, u64)>,
    services: Vec<&'static str>,
    /// `service` or `trafficSplit` of the route.
    target: (&'static str, Value),
    timeout: Duration,
    events: u64,
    pause: Duration,
    /// Streams that begin before the machine is killed, in all, and the time for that.
    streams: usize,
    begin_time: Duration,
    /// Time from the start of the traffic until the machine is killed.
    kill_at: Duration,
    /// Whether all machines are killed, and start again after [`DOWN`].
    kills_all: bool,
    /// Pause of a client before it takes its stream up again.
    pause_before_retry: Duration,
    /// Streams that begin afterwards.
    new_streams: usize,
    /// Time from the kill until the run ends at the latest.
    rest: Duration,
}

/// Streams that have lasted for over a minute, at runners of two versions.
pub fn run_old(run: &Run) -> Outcome {
    // With `KILL_S=45`, all streams go on.
    let kill_s: f64 = std::env::var("KILL_S")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(70.0);
    play(
        run,
        &Plan {
            runners: vec![("desk", 1), ("desk", 1), ("desk", 2), ("desk", 2)],
            services: vec!["desk"],
            target: ("service", json!("desk")),
            timeout: Duration::from_secs(100),
            events: 160,
            pause: Duration::from_millis(500),
            streams: 96,
            begin_time: Duration::from_secs(4),
            kill_at: Duration::from_secs_f64(kill_s),
            kills_all: false,
            pause_before_retry: Duration::from_millis(50),
            new_streams: 24,
            rest: Duration::from_secs_f64(88.0 - kill_s),
        },
    )
}

/// Streams of a route that is split over several services.
pub fn run_split(run: &Run) -> Outcome {
    let services = ["desk-a", "desk-b", "desk-c", "desk-d"];
    let split: Vec<Value> = services
        .iter()
        .map(|service| json!({"service": service, "weight": 25}))
        .collect();
    play(
        run,
        &Plan {
            runners: services
                .iter()
                .flat_map(|service| [(*service, 1), (*service, 1)])
                .collect(),
            services: services.to_vec(),
            target: ("trafficSplit", json!(split)),
            timeout: Duration::from_secs(15),
            events: 90,
            pause: Duration::from_millis(100),
            streams: 144,
            begin_time: Duration::from_secs(4),
            kill_at: Duration::from_secs(5),
            kills_all: false,
            pause_before_retry: Duration::from_millis(50),
            new_streams: 24,
            rest: Duration::from_secs(16),
        },
    )
}

/// Streams at runners of two versions, when all machines are killed at once.
pub fn run_all_killed(run: &Run) -> Outcome {
    // With `VERSIONS=1`, all streams go on.
    let second = std::env::var("VERSIONS").map_or(2, |value| value.parse().unwrap_or(2));
    play(
        run,
        &Plan {
            runners: vec![("desk", 1), ("desk", 1), ("desk", second), ("desk", second)],
            services: vec!["desk"],
            target: ("service", json!("desk")),
            timeout: Duration::from_secs(15),
            events: 130,
            pause: Duration::from_millis(100),
            streams: 48,
            begin_time: Duration::from_secs(3),
            kill_at: Duration::from_secs(4),
            kills_all: true,
            pause_before_retry: DOWN + CONTACT + Duration::from_millis(1_500),
            new_streams: 24,
            rest: Duration::from_secs(22),
        },
    )
}

fn play(run: &Run, plan: &Plan) -> Outcome {
    let store = Store::start("127.0.0.1");
    let record = &run.record;
    for (number, (service, version)) in plan.runners.iter().enumerate() {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runner = Arc::new(Runner {
            id: format!("i-{number}"),
            number,
            address,
            version: AtomicU64::new(*version),
            is_down: AtomicBool::new(false),
            start: AtomicUsize::new(0),
            crashes_on: None,
            events: plan.events,
            pause: plan.pause,
        });
        let text = format!("v{version}");
        store.put(
            "servers",
            &runner.id,
            entry(service, address, number % GATEWAYS, &text, 64, unix_ms()),
        );
        let record = record.clone();
        thread::spawn(move || listen(&runner, listener, &record));
    }
    let mut route = json!({
        "name": "r-tell", "host": HOST, "prefix": "/tell/", "kind": "streaming",
        "timeoutMs": plan.timeout.as_millis() as u64, "targetLatencyMs": 120, "priority": 1,
        "attempts": 2, "public": false, "sticky": false, "resumable": true,
        "targetGapMs": plan.pause.as_millis() as u64 + 100,
    });
    route[plan.target.0] = plan.target.1.clone();
    store.put(
        "config",
        "main",
        configuration(3, vec![route], &plan.services),
    );
    let mut gateways = match start_gateways(run, &store, GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Outcome::Impossible(why),
    };
    // The traffic starts 10 s after the machines.
    thread::sleep(Duration::from_secs(8));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let streams = Streams::default();
    let clients = Clients {
        gateways: addresses,
        path: "/tell/1",
        deadline: plan.timeout,
        retries: 1,
        pause: plan.pause_before_retry,
        streams: Arc::clone(&streams),
        record: record.clone(),
    };
    record.line("the traffic starts");
    let start = Instant::now();
    let begin = |number: usize, clients: &Clients| {
        let clients = clients.clone();
        thread::spawn(move || client(number, &clients))
    };
    for number in 0..plan.streams {
        let due = start + plan.begin_time.mul_f64(number as f64 / plan.streams as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        begin(number, &clients);
    }
    thread::sleep((start + plan.kill_at).saturating_duration_since(Instant::now()));
    let killed = if plan.kills_all { GATEWAYS } else { 1 };
    if run.has_trouble {
        for gateway in &mut gateways[..killed] {
            record.line(&format!("{} is killed", gateway.name));
            gateway.kill();
        }
    }
    if plan.kills_all {
        thread::sleep(DOWN);
        if run.has_trouble {
            record.line("all gateways start again");
            gateways.iter_mut().for_each(|gateway| gateway.launch());
        }
        thread::sleep(CONTACT + Duration::from_secs(1));
    }
    thread::sleep(Duration::from_millis(300));
    let others = Clients {
        gateways: clients.gateways[1..].to_vec(),
        retries: 0,
        streams: Streams::default(),
        ..clients.clone()
    };
    for number in 0..plan.new_streams {
        begin(10_000 + number, &others);
        thread::sleep(Duration::from_millis(40));
    }
    let end = start + plan.kill_at + plan.rest;
    thread::sleep(end.saturating_duration_since(Instant::now()));
    judge(run, plan, &streams, &others.streams)
}

fn judge(run: &Run, plan: &Plan, streams: &Streams, new: &Streams) -> Outcome {
    let streams = streams.lock().expect("sound");
    let taken_up = streams.values().filter(|one| one.is_taken_up).count();
    let went_on = streams.values().filter(|one| one.went_on).count();
    // A new stream that was refused or failed has left an entry without events by now.
    let refused = new
        .lock()
        .expect("sound")
        .values()
        .filter(|one| one.versions.is_empty())
        .count();
    let begun = plan.new_streams - refused;
    run.record.line(&format!(
        "LOST: {taken_up} streams were taken up again, {went_on} of them went on; of {} new streams {begun} began",
        plan.new_streams
    ));
    let share = went_on as f64 / taken_up.max(1) as f64;
    let new_share = begun as f64 / plan.new_streams as f64;
    match taken_up >= 12 && share < new_share / 2.0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
