//! Runners that send one of their answers twice, the second time at the point where the
//! next answer is expected.

use crate::common::{HOST, KEY, Random, configuration, entry, start_gateways, unix_ms};
use crate::http::{self, Reader, response};
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, Run};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that a runner works on at once, and those that it queues.
const SLOTS: usize = 6;
const QUEUE: usize = 2;
/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(15);
/// Share of the answers that come twice.
const EXTRA_SHARE: f64 = 0.03;
/// Services with one runner each; only the runner of the first one is faulty.
const SERVICES: [&str; 2] = ["app", "notes"];
const GATEWAYS: usize = 3;
/// Requests a second of all clients together, which come at random.
const RATE: f64 = 340.0;
/// Length of the run, and the seconds of it in which the runner is faulty.
const LENGTH_S: f64 = 96.0;
const TROUBLE_S: [std::ops::Range<f64>; 6] = [
    10.0..15.0,
    25.0..30.0,
    40.0..45.0,
    55.0..60.0,
    70.0..75.0,
    85.0..90.0,
];
/// One request in so many is for the second service.
const REQUESTS_PER_NOTE: u64 = 20;

/// What happened to one attempt of a client.
#[derive(Default)]
struct Attempt {
    runs: usize,
    status: Option<u16>,
    has_seal: bool,
}

type Attempts = Arc<Mutex<HashMap<String, Attempt>>>;

struct Runner {
    id: String,
    has_trouble: bool,
    busy: Mutex<usize>,
    freed: Condvar,
    running: Mutex<usize>,
    random: Mutex<Random>,
    answers: Mutex<u64>,
    extras: Mutex<u64>,
    /// Time of the record at which the load began, in milliseconds.
    start_s: AtomicU64,
}

impl Runner {
    /// Returns whether the answer that was just made comes a second time.
    fn repeats(&self, at: f64) -> bool {
        if !self.has_trouble || !TROUBLE_S.iter().any(|span| span.contains(&at)) {
            return false;
        }
        let mut answers = self.answers.lock().expect("sound");
        *answers += 1;
        let repeats = self.random.lock().expect("sound").next() < EXTRA_SHARE;
        *self.extras.lock().expect("sound") += u64::from(repeats);
        repeats
    }
}

fn serve(runner: &Runner, stream: std::net::TcpStream, attempts: &Attempts, record: &Record) {
    stream.set_nodelay(true).ok();
    let mut reader = Reader::new(stream);
    let mut late: Option<Vec<u8>> = None;
    while let Ok(Some(request)) = reader.request() {
        if request.path() == "/healthz" {
            let headers = [("X-Instance-Id", runner.id.clone())];
            if reader
                .stream
                .write_all(&response(200, &headers, b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        let id = request.header("x-request-id").unwrap_or_default();
        if let Some(extra) = late.take() {
            record.line(&format!(
                "runner {} sends its answer before once more, as {id} arrives",
                runner.id
            ));
            if reader.stream.write_all(&extra).is_err() {
                return;
            }
        }
        let is_full = {
            let mut busy = runner.busy.lock().expect("sound");
            let is_full = *busy >= SLOTS + QUEUE;
            *busy += usize::from(!is_full);
            is_full
        };
        let answer = if is_full {
            record.line(&format!(
                "runner {} is full, answers {id} 503 X-Not-Executed",
                runner.id
            ));
            let headers = [
                ("X-Request-Id", id.clone()),
                ("X-Not-Executed", "1".to_owned()),
            ];
            response(503, &headers, b"")
        } else {
            let mut running = runner.running.lock().expect("sound");
            while *running >= SLOTS {
                running = runner.freed.wait(running).expect("sound");
            }
            *running += 1;
            drop(running);
            attempts
                .lock()
                .expect("sound")
                .entry(id.clone())
                .or_default()
                .runs += 1;
            record.line(&format!("runner {} runs {id}", runner.id));
            thread::sleep(WORK);
            *runner.running.lock().expect("sound") -= 1;
            runner.freed.notify_one();
            *runner.busy.lock().expect("sound") -= 1;
            let headers = [
                ("X-Request-Id", id.clone()),
                ("X-Response-Seal", format!("seal-{id}")),
            ];
            response(200, &headers, format!("done {id}").as_bytes())
        };
        if runner.repeats(record.now() - runner.start_s.load(Ordering::Relaxed) as f64 / 1e3) {
            late = Some(answer.clone());
        }
        if reader.stream.write_all(&answer).is_err() {
            return;
        }
    }
}

fn start_runner(number: usize, run: &Run, attempts: &Attempts, store: &Store) -> Arc<Runner> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let runner = Arc::new(Runner {
        id: format!("i-{number}"),
        has_trouble: run.has_trouble && number == 0,
        start_s: AtomicU64::new(u64::MAX),
        busy: Mutex::new(0),
        freed: Condvar::new(),
        running: Mutex::new(0),
        random: Mutex::new(Random::new(2)),
        answers: Mutex::new(0),
        extras: Mutex::new(0),
    });
    let record = entry(SERVICES[number], address, number, "v1", SLOTS, unix_ms());
    store.put("servers", &runner.id, record);
    let (serving, attempts, record) = (
        Arc::clone(&runner),
        Arc::clone(attempts),
        run.record.clone(),
    );
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runner, attempts, record) =
                (Arc::clone(&serving), Arc::clone(&attempts), record.clone());
            thread::spawn(move || serve(&runner, stream, &attempts, &record));
        }
    });
    runner
}

fn routes() -> Vec<Value> {
    let route = |service: &str| {
        json!({
            "name": format!("r-{service}"), "host": HOST, "prefix": format!("/{service}/"),
            "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
            "service": service, "attempts": 1, "public": false, "sticky": false,
        })
    };
    SERVICES.map(route).to_vec()
}

/// Sends one request that must not run twice, without a retry.
fn book(gateway: SocketAddr, service: &str, id: &str, attempts: &Attempts, record: &Record) {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", "1500".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("Connection", "close".to_owned()),
    ];
    let bytes = http::request("POST", &format!("/{service}/1"), &headers, b"one visit");
    let answer = http::send(gateway, &bytes, Duration::from_millis(2_500));
    let text = match &answer {
        Ok(Some(answer)) => {
            let mut attempts = attempts.lock().expect("sound");
            let attempt = attempts.entry(id.to_owned()).or_default();
            attempt.status = Some(answer.status);
            attempt.has_seal = answer.header("x-response-seal").is_some();
            let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
            format!("{} seal {} {body:?}", answer.status, attempt.has_seal)
        }
        other => format!("no answer: {:?}", other.as_ref().err()),
    };
    record.line(&format!("client {id} at {gateway} gets {text}"));
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start("127.0.0.1");
    let attempts = Attempts::default();
    let runners: Vec<Arc<Runner>> = (0..SERVICES.len())
        .map(|number| start_runner(number, run, &attempts, &store))
        .collect();
    store.put("config", "main", configuration(3, routes(), &SERVICES));
    let gateways = match start_gateways(run, &store, GATEWAYS) {
        Ok(gateways) => gateways,
        Err(why) => return Outcome::Impossible(why),
    };
    let start_s = run.record.now();
    for runner in &runners {
        runner
            .start_s
            .store((start_s * 1e3) as u64, Ordering::Relaxed);
    }
    let mut random = Random::new(1);
    let mut at = start_s;
    for number in 0.. {
        at += -(1.0 - random.next()).ln() / RATE;
        if at - start_s > LENGTH_S {
            break;
        }
        thread::sleep(Duration::from_secs_f64((at - run.record.now()).max(0.0)));
        let id = format!("{number:016x}");
        let service = SERVICES[usize::from(number % REQUESTS_PER_NOTE == 0)];
        let gateway = gateways[(random.next() * GATEWAYS as f64) as usize].callers;
        let (attempts, record) = (Arc::clone(&attempts), run.record.clone());
        thread::spawn(move || book(gateway, service, &id, &attempts, &record));
    }
    // The last clients wait for their answers.
    thread::sleep(Duration::from_millis(2_500));
    thread::sleep(Duration::from_millis(500));
    judge(&attempts, &runners, &run.record)
}

fn judge(attempts: &Attempts, runners: &[Arc<Runner>], record: &Record) -> Outcome {
    let attempts = attempts.lock().expect("sound");
    let mut is_broken = false;
    let mut statuses: HashMap<Option<u16>, usize> = HashMap::new();
    for (id, attempt) in attempts.iter() {
        *statuses.entry(attempt.status).or_default() += 1;
        let is_promise = matches!(attempt.status, Some(429 | 503 | 408 | 421)) && !attempt.has_seal;
        if is_promise && attempt.runs > 0 {
            is_broken = true;
            record.line(&format!(
                "REFUSED: {id} was answered {:?} and ran {} times",
                attempt.status, attempt.runs
            ));
        }
        if attempt.runs > 1 {
            is_broken = true;
            record.line(&format!("TWICE: {id} ran {} times", attempt.runs));
        }
    }
    for runner in runners {
        let (answers, extras) = (
            *runner.answers.lock().expect("sound"),
            *runner.extras.lock().expect("sound"),
        );
        record.line(&format!(
            "runner {} made {answers} answers, {extras} of them twice",
            runner.id
        ));
    }
    record.line(&format!("answers by status: {statuses:?}"));
    match is_broken {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
