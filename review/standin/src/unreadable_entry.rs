//! Another writer puts an entry among those of the runners that can't be read. Later all
//! processes are killed and start again.

use crate::common::{HOST, KEY, configuration, entry, start_gateways, unix_ms};
use crate::http::{self, Reader, response};
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, Run};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const RUNNERS: usize = 3;
const WORK: Duration = Duration::from_millis(20);
/// Requests a second.
const RATE: f64 = 20.0;
/// Times in seconds from the start of the traffic.
const ENTRY_S: f64 = 5.0;
const KILL_S: f64 = 8.0;
const DOWN_S: f64 = 1.2;
/// `recoverS` of the sites.
const RECOVER_S: f64 = 12.0;
const LENGTH_S: f64 = 35.0;

fn serve(id: &str, stream: TcpStream, record: &Record) {
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.request() {
        let request_id = request.header("x-request-id").unwrap_or_default();
        let is_other = request
            .header("x-target-instance")
            .is_some_and(|target| target != id);
        let answer = match is_other {
            true => response(
                421,
                &[
                    ("X-Instance-Id", id.to_owned()),
                    ("X-Request-Id", request_id),
                ],
                b"",
            ),
            false => {
                record.line(&format!("runner {id} runs {request_id}"));
                thread::sleep(WORK);
                let headers = [
                    ("X-Request-Id", request_id.clone()),
                    ("X-Response-Seal", format!("seal-{request_id}")),
                ];
                response(200, &headers, b"done")
            }
        };
        if reader.stream.write_all(&answer).is_err() {
            return;
        }
    }
}

fn look(gateway: SocketAddr, id: &str, record: &Record) -> bool {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", "1500".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("Connection", "close".to_owned()),
    ];
    let bytes = http::request("GET", "/look/1", &headers, b"");
    let answer = http::send(gateway, &bytes, Duration::from_millis(2_000));
    let (text, is_served) = match &answer {
        Ok(Some(answer)) => {
            let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
            (format!("{} {body:?}", answer.status), answer.status == 200)
        }
        other => (format!("no answer: {:?}", other.as_ref().err()), false),
    };
    record.line(&format!("client {id} at {gateway} gets {text}"));
    is_served
}

fn route() -> Value {
    json!({
        "name": "r-look", "host": HOST, "prefix": "/look/", "kind": "idempotent",
        "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "app",
        "attempts": 2, "public": false, "sticky": false,
    })
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start("127.0.0.1");
    let record = &run.record;
    for number in 0..RUNNERS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = format!("i-{number}");
        store.put(
            "servers",
            &id,
            entry("app", address, number, "v1", 6, unix_ms()),
        );
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                thread::spawn(move || serve(&id, stream, &record));
            }
        });
    }
    store.put("config", "main", configuration(3, vec![route()], &["app"]));
    let mut gateways = match start_gateways(run, &store, GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Outcome::Impossible(why),
    };
    thread::sleep(Duration::from_secs(3));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    // Whether each request was served, with the time at which it was sent.
    let served: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    record.line("the traffic starts");
    let start = Instant::now();
    let (mut has_entry, mut is_killed, mut is_back) = (false, false, false);
    let mut clients = Vec::new();
    for number in 0.. {
        let at = number as f64 / RATE;
        if at > LENGTH_S {
            break;
        }
        thread::sleep(
            (start + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now()),
        );
        if at >= ENTRY_S && !has_entry {
            has_entry = true;
            if run.has_trouble {
                record.line("another writer puts an entry that can't be read");
                store.put_unreadable("servers", "x-0");
            }
        }
        if at >= KILL_S && !is_killed {
            is_killed = true;
            record.line("all gateways are killed");
            gateways.iter_mut().for_each(|gateway| gateway.kill());
        }
        if at >= KILL_S + DOWN_S && !is_back {
            is_back = true;
            gateways.iter_mut().for_each(|gateway| gateway.launch());
            record.line("all gateways start again");
        }
        let gateway = addresses[number % GATEWAYS];
        let (served, record) = (Arc::clone(&served), record.clone());
        clients.push(thread::spawn(move || {
            let is_served = look(gateway, &format!("{number:016x}"), &record);
            served.lock().expect("sound").push((at, is_served));
        }));
    }
    for client in clients {
        client.join().expect("a client ends");
    }
    for gateway in &gateways {
        record.line(&format!(
            "{} is ready: {}",
            gateway.name,
            gateway.is_ready()
        ));
    }
    let served = served.lock().expect("sound");
    let share = |from: f64, until: f64| {
        let span: Vec<bool> = served
            .iter()
            .filter(|(at, _)| (from..until).contains(at))
            .map(|(_, one)| *one)
            .collect();
        let count = span.iter().filter(|one| **one).count();
        (count, span.len(), count as f64 / span.len().max(1) as f64)
    };
    let before = share(0.0, KILL_S);
    let after = share(KILL_S + DOWN_S + RECOVER_S, LENGTH_S);
    record.line(&format!(
        "RECOVER: {} of {} requests were served before the final fault, {} of {} later than {RECOVER_S} s after the machines were back",
        before.0, before.1, after.0, after.1
    ));
    match before.2 >= 0.25 && after.2 < 0.25 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
