//! A part of a prompt crashes each engine that begins to answer on it. Meanwhile all
//! gateways are killed and start again.

use crate::common::{HOST, KEY, configuration, entry, start_gateways, unix_ms};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::streams::{Runner, listen};
use crate::{Outcome, Run};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const ENGINES: usize = 3;
/// Events of a sound stream, and the pause before each.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which a crashed engine is down.
const DOWN: Duration = Duration::from_millis(2_500);
/// Parts of prompts. Sound requests have the first and the shared one, those that crash
/// engines have the bad one in place of the first.
const FIRST_PART: &str = "5c1e07a2";
const BAD_PART: &str = "0bad07a2";
const SHARED_PART: &str = "91bd3f06";
/// Sound requests a second, and those with the bad part.
const SOUND_PER_S: f64 = 6.0;
const BAD_PER_S: f64 = 4.0;
/// Times in seconds from the start of the traffic.
const BAD_FROM_S: f64 = 8.0;
const KILL_S: f64 = 8.6;
const BACK_S: f64 = 9.8;
const LENGTH_S: f64 = 50.0;
/// `contactMs` of the sites.
const CONTACT_S: f64 = 3.0;

/// Times of the crashes, and of sound requests with whether they began.
type Times = Arc<Mutex<Vec<f64>>>;
type Begins = Arc<Mutex<Vec<(f64, bool)>>>;

/// Starts the engine again after each crash.
fn restart(runner: &Arc<Runner>, store: &Store, record: &Record, crashes: &Times) {
    loop {
        while !runner.is_down.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        crashes.lock().expect("sound").push(record.now());
        thread::sleep(DOWN);
        runner.start.fetch_add(1, Ordering::SeqCst);
        let listener = TcpListener::bind(runner.address).expect("the same port");
        register(runner, store);
        runner.is_down.store(false, Ordering::SeqCst);
        let (serving, record) = (Arc::clone(runner), record.clone());
        thread::spawn(move || listen(&serving, listener, &record));
    }
}

fn register(runner: &Runner, store: &Store) {
    let mut engine = entry("desk", runner.address, runner.number, "v1", 32, unix_ms());
    engine["stage"] = json!("decode");
    engine["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
    store.put("servers", &runner.id, engine);
}

/// Sends a prompt; returns whether its stream begins.
fn ask(gateway: SocketAddr, number: usize, first: &str, record: &Record) -> bool {
    let id = format!("{first}{number:08x}");
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.clone()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Count", "460,80".to_owned()),
        (
            "X-Prefix-Hash",
            format!(
                "{first}:200,{SHARED_PART}:200,{:x}:60",
                0x1000_0000 + number
            ),
        ),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("Connection", "close".to_owned()),
    ];
    let body = format!("question {number} of {first}");
    let bytes = http::request("POST", "/tell/1", &headers, body.as_bytes());
    let begin = || -> std::io::Result<(String, bool)> {
        let mut reader = http::connect(gateway, Duration::from_secs(15))?;
        reader.stream.write_all(&bytes)?;
        let Some(head) = reader.until(b"\r\n\r\n")? else {
            return Ok(("no answer".to_owned(), false));
        };
        let head = String::from_utf8_lossy(&head).into_owned();
        let status = head.split(' ').nth(1).unwrap_or("").to_owned();
        let has_begun = status == "200" && reader.until(b"\n\n")?.is_some();
        while has_begun && reader.until(b"\n\n")?.is_some() {}
        Ok((status, has_begun))
    };
    let (text, has_begun) = begin().unwrap_or_else(|error| (error.to_string(), false));
    record.line(&format!(
        "client {id} at {gateway} gets {text}, begun {has_begun}"
    ));
    has_begun
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start("127.0.0.1");
    let record = &run.record;
    let crashes = Times::default();
    for number in 0..ENGINES {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let runner = Arc::new(Runner {
            id: format!("i-{number}"),
            number,
            address: listener.local_addr().expect("an address"),
            version: AtomicU64::new(1),
            is_down: AtomicBool::new(false),
            start: AtomicUsize::new(0),
            crashes_on: Some(BAD_PART),
            events: EVENTS,
            pause: PAUSE,
        });
        register(&runner, &store);
        {
            let (runner, record) = (Arc::clone(&runner), record.clone());
            thread::spawn(move || listen(&runner, listener, &record));
        }
        let (store, record, crashes) = (store.clone(), record.clone(), Arc::clone(&crashes));
        thread::spawn(move || restart(&runner, &store, &record, &crashes));
    }
    let route = json!({
        "name": "r-tell", "host": HOST, "prefix": "/tell/", "kind": "streaming",
        "timeoutMs": 15000, "targetLatencyMs": 120, "priority": 1, "service": "desk",
        "attempts": 1, "public": false, "sticky": true, "resumable": false, "targetGapMs": 200,
    });
    store.put("config", "main", configuration(3, vec![route], &["desk"]));
    let mut gateways = match start_gateways(run, &store, GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Outcome::Impossible(why),
    };
    thread::sleep(Duration::from_secs(5));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    record.line("the traffic starts");
    let start_s = record.now();
    let start = Instant::now();
    let begins = Begins::default();
    let mut events: Vec<(f64, Option<bool>)> = Vec::new();
    let times = |per_s: f64, from: f64| {
        (0..)
            .map(move |number| from + f64::from(number) / per_s)
            .take_while(|at| *at < LENGTH_S)
    };
    events.extend(times(SOUND_PER_S, 0.0).map(|at| (at, Some(true))));
    events.extend(times(BAD_PER_S, BAD_FROM_S).map(|at| (at, Some(false))));
    events.extend([(KILL_S, None), (BACK_S, None)]);
    events.sort_by(|one, other| one.0.total_cmp(&other.0));
    for (number, (at, event)) in events.into_iter().enumerate() {
        thread::sleep(
            (start + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now()),
        );
        let Some(is_sound) = event else {
            match run.has_trouble {
                true if at < BACK_S => {
                    record.line("all gateways are killed");
                    gateways.iter_mut().for_each(|gateway| gateway.kill());
                }
                true => {
                    gateways.iter_mut().for_each(|gateway| gateway.launch());
                    record.line("all gateways start again");
                }
                false => {}
            }
            continue;
        };
        let gateway = addresses[number % GATEWAYS];
        let (begins, record) = (Arc::clone(&begins), record.clone());
        thread::spawn(move || {
            let first = if is_sound { FIRST_PART } else { BAD_PART };
            let has_begun = ask(gateway, number, first, &record);
            if is_sound {
                begins.lock().expect("sound").push((at, has_begun));
            }
        });
    }
    thread::sleep(Duration::from_secs(6));
    let crashes: Vec<f64> = crashes
        .lock()
        .expect("sound")
        .iter()
        .map(|at| at - start_s)
        .collect();
    record.line(&format!("crashes: {crashes:.1?}"));
    let begins = begins.lock().expect("sound");
    let share = |from: f64, until: f64| {
        let span = begins.iter().filter(|(at, _)| (from..until).contains(at));
        let (begun, other): (Vec<&(f64, bool)>, Vec<&(f64, bool)>) =
            span.partition(|(_, has_begun)| *has_begun);
        (begun.len(), begun.len() + other.len())
    };
    // The fifth crash, or the last one if there are fewer.
    let Some(fifth) = crashes.get(4).or(crashes.last()) else {
        return Outcome::Impossible("no engine crashed".to_owned());
    };
    let before = share(0.0, BAD_FROM_S - CONTACT_S);
    let after = share((fifth + 2.0 * CONTACT_S).max(BACK_S + CONTACT_S), LENGTH_S);
    record.line(&format!(
        "LOST: {} of {} sound requests began before, {} of {} later than {} s after the fifth crash at {fifth:.1} s",
        before.0, before.1, after.0, after.1, 2.0 * CONTACT_S
    ));
    let rate = |(begun, all): (usize, usize)| begun as f64 / all.max(1) as f64;
    match before.1 >= 20 && after.1 >= 20 && rate(after) < rate(before) / 2.0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
