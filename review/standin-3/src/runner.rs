//! Runners of a service. A runner has a port for each machine, which stands for the link between
//! the two, so that one link can be cut.

use crate::http::{Request, read_request, respond};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Three times the interval at which runners write to the store.
const SILENCE: Duration = Duration::from_millis(3_600);

/// What differs between the services of the cases.
#[derive(Clone, Copy)]
pub struct Nature {
    /// Work of a plain request.
    pub work: Duration,
    /// Share of plain requests that a runner runs and answers with 500.
    pub error_share: f64,
    /// Time from the arrival of a stream's request to its first event.
    pub first_event: Duration,
    /// Time between two events.
    pub event_gap: Duration,
    pub slots: u32,
}

/// One run that a runner began, or a request that it rejected.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub request: String,
    pub runner: String,
    pub version: String,
    pub machine: usize,
    /// First event of a stream that this run was to write.
    pub first_event: u64,
    pub is_bad: bool,
}

struct Process {
    id: String,
    version: String,
    born: u64,
    stage: Option<&'static str>,
    orders: u64,
    is_up: bool,
    /// Whether the runner leaves, which its answers say.
    is_leaving: bool,
    /// Whether the runner reaches the store.
    is_cut: bool,
    connections: Vec<TcpStream>,
}

pub struct Runner {
    number: usize,
    service: &'static str,
    zone: &'static str,
    nature: Nature,
    process: Mutex<Process>,
    /// Rises with each end and start of the process.
    turns: AtomicU64,
    ports: Vec<SocketAddr>,
    links_cut: Vec<AtomicBool>,
    link_connections: Vec<Mutex<Vec<TcpStream>>>,
    pub streams: AtomicU64,
    /// Longest stream, in events; 0 is any.
    pub max_events: AtomicU64,
    /// Whether the runner has the same id when it is back after a crash.
    pub keeps_id: AtomicBool,
    /// Time for which the runner is away after a prompt has crashed it, in milliseconds.
    pub crash_ms: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    crashes: Arc<Mutex<Vec<u64>>>,
    draws: AtomicU64,
}

pub struct Fleet {
    pub runners: Vec<Arc<Runner>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Times of the crashes that prompts caused.
    pub crashes: Arc<Mutex<Vec<u64>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Fleet {
    /// Starts runners of `service` at `v1`, with these stages.
    pub fn start(
        service: &'static str,
        stages: &[Option<&'static str>],
        machines: usize,
        nature: Nature,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Self {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let crashes: Arc<Mutex<Vec<u64>>> = Arc::default();
        let runners = stages.iter().enumerate().map(|(number, stage)| {
            let ports = (0..machines).map(|_| {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
                listener.local_addr().unwrap()
            });
            let process = Process {
                id: format!("i-{service}-{number}"),
                version: "v1".to_owned(),
                born: unix_ms(),
                stage: *stage,
                orders: 0,
                is_up: false,
                is_leaving: false,
                is_cut: false,
                connections: Vec::new(),
            };
            let runner = Arc::new(Runner {
                number,
                service,
                zone: ["a", "b", "c"][number % 3],
                nature,
                process: Mutex::new(process),
                turns: AtomicU64::new(0),
                ports: ports.collect(),
                links_cut: (0..machines).map(|_| AtomicBool::new(false)).collect(),
                link_connections: (0..machines).map(|_| Mutex::default()).collect(),
                streams: AtomicU64::new(0),
                max_events: AtomicU64::new(0),
                keeps_id: AtomicBool::new(false),
                crash_ms: AtomicU64::new(2_000),
                store: Arc::clone(store),
                record: Arc::clone(record),
                runs: Arc::clone(&runs),
                crashes: Arc::clone(&crashes),
                draws: AtomicU64::new(number as u64 * 7_919),
            });
            runner.begin();
            runner
        });
        let runners: Vec<Arc<Runner>> = runners.collect();
        Self {
            runners,
            runs,
            crashes,
        }
    }

    /// Puts the addresses that `machine` has to use into what the store shows.
    pub fn show(&self, machine: usize) -> impl Fn(&mut Value) + Send + Sync + 'static {
        let ports: Vec<String> = self
            .runners
            .iter()
            .map(|one| one.ports[machine].to_string())
            .collect();
        let prefix = format!("runner:{}:", self.runners[0].service);
        move |value| replace_addresses(value, &prefix, &ports)
    }
}

fn replace_addresses(value: &mut Value, prefix: &str, ports: &[String]) {
    match value {
        Value::String(text) => {
            let number = text
                .strip_prefix(prefix)
                .and_then(|text| text.parse::<usize>().ok());
            if let Some(number) = number {
                *text = ports[number].clone();
            }
        }
        Value::Array(items) => items
            .iter_mut()
            .for_each(|one| replace_addresses(one, prefix, ports)),
        Value::Object(fields) => {
            fields
                .values_mut()
                .for_each(|one| replace_addresses(one, prefix, ports));
        }
        _ => {}
    }
}

impl Runner {
    pub fn id(&self) -> String {
        self.process.lock().unwrap().id.clone()
    }

    /// Begins to listen, and registers.
    fn begin(self: &Arc<Self>) {
        self.turns.fetch_add(1, Ordering::SeqCst);
        self.process.lock().unwrap().is_up = true;
        for machine in 0..self.ports.len() {
            self.listen(machine);
        }
        self.write_entry();
    }

    fn write_entry(&self) {
        let process = self.process.lock().unwrap();
        let mut entry = json!({"service": self.service, "address": format!("runner:{}:{}", self.service, self.number),
            "zone": self.zone, "version": process.version, "slots": self.nature.slots,
            "state": "ready", "coldRemainingMs": 0, "seq": process.orders, "born": process.born});
        if let Some(stage) = process.stage {
            entry["stage"] = json!(stage);
            entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
        }
        let (id, is_cut) = (process.id.clone(), process.is_cut);
        drop(process);
        if !is_cut {
            self.store.put("servers", &id, entry);
        }
    }

    /// Ends the process: its connections close and its ports refuse.
    fn end(&self) {
        self.turns.fetch_add(1, Ordering::SeqCst);
        let mut process = self.process.lock().unwrap();
        process.is_up = false;
        for connection in process.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Replaces the process in place by one of `version`, which has the same id and comes after
    /// `away`.
    pub fn replace_in_place(self: &Arc<Self>, version: &str, away: Duration) {
        self.record.line(&format!(
            "{} ends, to be replaced in place by {version}",
            self.id()
        ));
        self.end();
        let (runner, version) = (Arc::clone(self), version.to_owned());
        spawn(move || {
            sleep(away);
            {
                let mut process = runner.process.lock().unwrap();
                process.version = version.clone();
                process.born = unix_ms();
                process.orders = 0;
            }
            runner.begin();
            runner
                .record
                .line(&format!("{} serves again, at {version}", runner.id()));
        });
    }

    /// Ends the process because of a prompt; another one comes, under a new id or the same.
    fn crash(self: &Arc<Self>) {
        {
            let process = self.process.lock().unwrap();
            if !process.is_up {
                return;
            }
        }
        self.end();
        let old = self.id();
        self.record.line(&format!("{old} crashes"));
        self.crashes.lock().unwrap().push(self.record.now_ms());
        let runner = Arc::clone(self);
        spawn(move || {
            let away = Duration::from_millis(runner.crash_ms.load(Ordering::SeqCst));
            sleep(away);
            {
                let mut process = runner.process.lock().unwrap();
                process.born = unix_ms();
                process.orders = 0;
                if !runner.keeps_id.load(Ordering::SeqCst) {
                    process.id = format!("i-{}-{}-{}", runner.service, runner.number, process.born);
                }
            }
            runner.begin();
            runner
                .record
                .line(&format!("{} serves in place of {old}", runner.id()));
            if runner.id() == old {
                return;
            }
            sleep(SILENCE.saturating_sub(away));
            runner.store.remove("servers", &old);
        });
    }

    /// Cuts the runner off from the store, where its entry lapses after some silence.
    pub fn cut_from_store(self: &Arc<Self>) {
        self.process.lock().unwrap().is_cut = true;
        self.record
            .line(&format!("{} is partitioned from the store", self.id()));
        let runner = Arc::clone(self);
        spawn(move || {
            sleep(SILENCE);
            if runner.process.lock().unwrap().is_cut {
                runner
                    .record
                    .line(&format!("the entry of {} lapses", runner.id()));
                runner.store.remove("servers", &runner.id());
            }
        });
    }

    /// Ends the cut; the runner writes its entry.
    pub fn heal_store(&self) {
        self.process.lock().unwrap().is_cut = false;
        self.record
            .line(&format!("{} reaches the store again", self.id()));
        self.write_entry();
    }

    /// Begins to leave: the entry is removed without a report of `draining`, and the runner serves
    /// on for `time`.
    pub fn leave(self: &Arc<Self>, time: Duration) {
        self.process.lock().unwrap().is_leaving = true;
        let id = self.id();
        self.store.remove("servers", &id);
        self.record
            .line(&format!("{id} leaves: its entry is removed"));
        let runner = Arc::clone(self);
        spawn(move || {
            sleep(time);
            runner.end();
            runner.record.line(&format!("{id} exits"));
        });
    }

    /// Cuts the link to a machine: its connections end and new ones are refused.
    pub fn cut_link(&self, machine: usize) {
        self.links_cut[machine].store(true, Ordering::SeqCst);
        for connection in self.link_connections[machine].lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn heal_link(self: &Arc<Self>, machine: usize) {
        self.links_cut[machine].store(false, Ordering::SeqCst);
        self.listen(machine);
    }

    /// Accepts connections of a machine while the process runs and the link isn't cut.
    fn listen(self: &Arc<Self>, machine: usize) {
        let (runner, turn) = (Arc::clone(self), self.turns.load(Ordering::SeqCst));
        let listener = loop {
            match TcpListener::bind(self.ports[machine]) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(1)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        spawn(move || {
            let is_open = || {
                runner.turns.load(Ordering::SeqCst) == turn
                    && !runner.links_cut[machine].load(Ordering::SeqCst)
            };
            while is_open() {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let kept = (stream.try_clone(), stream.try_clone());
                if let (Ok(first), Ok(second)) = kept {
                    runner.process.lock().unwrap().connections.push(first);
                    runner.link_connections[machine]
                        .lock()
                        .unwrap()
                        .push(second);
                }
                if !is_open() {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                let runner = Arc::clone(&runner);
                spawn(move || runner.serve(stream, machine, turn));
            }
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, machine: usize, turn: u64) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.turns.load(Ordering::SeqCst) != turn
                || self.handle(&request, &mut writer, machine, turn).is_err()
            {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn handle(
        self: &Arc<Self>,
        request: &Request,
        writer: &mut TcpStream,
        machine: usize,
        turn: u64,
    ) -> std::io::Result<()> {
        let (id, stage, orders, born) = {
            let process = self.process.lock().unwrap();
            (
                process.id.clone(),
                process.stage,
                process.orders,
                process.born,
            )
        };
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != id) {
            let headers = [("X-Request-Id", request_id.as_str())];
            return respond(writer, 421, &headers, b"");
        }
        match (request.method.as_str(), request.route()) {
            ("GET", "/report") => {
                let active = self.streams.load(Ordering::SeqCst);
                let report = json!({"stage": stage, "models": [{"name": "m", "version": 1,
                    "adapters": []}], "busy": false, "seq": orders, "queueDepth": 0,
                    "activeRequests": active, "kvUsed": 0, "kvTotal": 232_000, "kvHandles": 0,
                    "born": born});
                respond(writer, 200, &[], report.to_string().as_bytes())
            }
            ("POST", "/order") => respond(writer, 409, &[], b""),
            ("DELETE", _) => respond(writer, 200, &[], b""),
            (_, path) if path.starts_with("/desk/") => {
                self.note_run(request, &request_id, machine, 0);
                if is_bad(request) {
                    self.crash();
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                sleep(self.nature.work);
                if self.turns.load(Ordering::SeqCst) != turn {
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                let seal = format!("{id}.{request_id}");
                let mut headers = vec![
                    ("X-Request-Id", request_id.as_str()),
                    ("X-Response-Seal", &seal),
                    ("Keep-Alive", "timeout=5"),
                ];
                if self.process.lock().unwrap().is_leaving {
                    headers.push(("Server-Leaving", "1"));
                }
                match self.draw() < self.nature.error_share {
                    true => respond(writer, 500, &headers, b"failed\n"),
                    false => respond(writer, 200, &headers, b"here you are\n"),
                }
            }
            _ if stage == Some("prefill") => {
                respond(writer, 421, &[("X-Request-Id", request_id.as_str())], b"")
            }
            _ => self.stream(request, &request_id, writer, machine, turn),
        }
    }

    fn note_run(&self, request: &Request, request_id: &str, machine: usize, first_event: u64) {
        let process = self.process.lock().unwrap();
        let run = Run {
            at_ms: self.record.now_ms(),
            request: request_id.to_owned(),
            runner: process.id.clone(),
            version: process.version.clone(),
            machine,
            first_event,
            is_bad: is_bad(request),
        };
        drop(process);
        self.record.line(&format!(
            "{} ({}) runs {request_id} from machine {machine}, from event {first_event}{}",
            run.runner,
            run.version,
            if run.is_bad { ", bad part" } else { "" }
        ));
        self.runs.lock().unwrap().push(run);
    }

    fn stream(
        self: &Arc<Self>,
        request: &Request,
        request_id: &str,
        writer: &mut TcpStream,
        machine: usize,
        turn: u64,
    ) -> std::io::Result<()> {
        let (id, version) = {
            let process = self.process.lock().unwrap();
            (process.id.clone(), process.version.clone())
        };
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let first: u64 = last.map_or(1, |last: u64| last + 1);
        let tokens = request.header("x-token-count").unwrap_or("200,50");
        let events = tokens
            .split(',')
            .nth(1)
            .and_then(|text| text.trim().parse().ok());
        let mut events: u64 = events.unwrap_or(50);
        let most = self.max_events.load(Ordering::SeqCst);
        if most > 0 {
            events = events.min(most);
        }
        self.note_run(request, request_id, machine, first);
        self.streams.fetch_add(1, Ordering::SeqCst);
        let result = (|| {
            sleep(self.nature.first_event);
            if is_bad(request) {
                self.crash();
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                 X-Request-Id: {request_id}\r\nX-Response-Seal: {id}.{request_id}\r\n\
                 X-Weight-Versions: 1\r\n\r\n"
            );
            if self.turns.load(Ordering::SeqCst) != turn {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            writer.write_all(head.as_bytes())?;
            for number in first..=events {
                if self.turns.load(Ordering::SeqCst) != turn {
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
                writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                sleep(self.nature.event_gap);
            }
            writer.write_all(b"0\r\n\r\n")
        })();
        self.streams.fetch_sub(1, Ordering::SeqCst);
        result
    }

    /// Returns a number from 0 to 1 of a fixed series.
    fn draw(&self) -> f64 {
        let count = self.draws.fetch_add(1, Ordering::SeqCst);
        crate::unit(count.wrapping_mul(31).wrapping_add(self.number as u64))
    }
}

/// Returns whether the request, or a part of its prompt, crashes runners.
fn is_bad(request: &Request) -> bool {
    if request.route() == crate::BAD_PATH {
        return true;
    }
    let parts = request.header("x-prefix-hash").unwrap_or("");
    parts
        .split(',')
        .any(|part| part.starts_with(crate::BAD_PART))
}
