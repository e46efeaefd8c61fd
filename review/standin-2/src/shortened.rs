//! Runners are replaced by others of another software version, the operator shortens the time-out
//! of the route, and some seconds later all processes of the system are killed. Clients take up
//! the streams that the replaced runners were still serving.

use crate::client::{Answer, Request, send};
use crate::deployment::{Deployment, configuration};
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::{Verdict, setting};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;

/// Deadline of the clients, which is the route's timeout when they come.
const DEADLINE: Duration = Duration::from_secs(45);

/// The route's timeout from [`CHANGE_AT`] on in milliseconds, which `TIMEOUT_MS` replaces.
const TIMEOUT_MS: u64 = 4_000;

/// Events of a stream, one each 800 ms.
const EVENTS: u64 = 50;
const GAP: Duration = Duration::from_millis(800);

/// Streams that begin at each machine, and the interval between them.
const STREAMS: usize = 6;
const INTERVAL: Duration = Duration::from_millis(60);

/// Times after the first request: the new runners come, the entries of the old ones go, the
/// configuration changes, the processes are killed and start again.
const NEW_AT: Duration = Duration::from_secs(2);
const GONE_AT: Duration = Duration::from_secs(5);
const CHANGE_AT: Duration = Duration::from_secs(7);
const KILL_AT: Duration = Duration::from_secs(28);
const DOWN: Duration = Duration::from_millis(500);

/// Tries of a client to take its stream up, and the time between them.
const TRIES: usize = 6;
const TRY_INTERVAL: Duration = Duration::from_secs(1);

fn with_timeout(version: u64, timeout_ms: u64) -> Value {
    let mut config = configuration();
    let routes = config["routes"].as_array_mut().expect("a list");
    let of_streams = routes.iter_mut().find(|route| route["name"] == "tell");
    of_streams.expect("a route")["timeoutMs"] = json!(timeout_ms);
    config["version"] = json!(version);
    config
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new();
    let kind = Kind {
        service: "desk",
        stage: None,
        idle: Duration::from_secs(10),
        is_unframed: false,
        gap: GAP,
        bad_part: None,
        down: Duration::ZERO,
        first_beat: Duration::ZERO,
    };
    let store = deployment.store.clone();
    store.put(
        "config",
        "main",
        with_timeout(8, DEADLINE.as_millis() as u64),
    );
    let start_runner =
        |number, version| Runner::start(number, kind.clone(), version, &store, record);
    let old = [1, 2].map(|number| start_runner(number, "v1"));
    if !deployment.start_hosts(HOSTS) {
        record.say("a machine didn't become ready");
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.front).collect();
    let joined: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    let start = Instant::now();
    let until = |at: Duration| sleep(at.saturating_sub(start.elapsed()));
    for number in 0..STREAMS * HOSTS {
        let (fronts, joined, record) = (fronts.clone(), Arc::clone(&joined), record.clone());
        clients.push(thread::spawn(move || {
            stream(
                &record,
                &fronts,
                number % HOSTS,
                &format!("s{number}"),
                &joined,
            );
        }));
        sleep(INTERVAL);
    }
    until(NEW_AT);
    let _new = [3, 4].map(|number| start_runner(number, "v2"));
    until(GONE_AT);
    for runner in &old {
        store.remove("servers", &runner.id);
        record.add(&format!(
            "the entry of {} is removed, it serves on",
            runner.id
        ));
    }
    until(CHANGE_AT);
    let timeout_ms = setting("TIMEOUT_MS", TIMEOUT_MS);
    store.put("config", "main", with_timeout(9, timeout_ms));
    record.add(&format!(
        "the configuration 9: a timeout of {timeout_ms} ms"
    ));
    until(KILL_AT);
    if has_trouble {
        deployment.hosts.iter_mut().for_each(|host| host.kill());
        record.add("all processes of the system are killed");
        sleep(DOWN);
        deployment.hosts.iter_mut().for_each(|host| host.launch());
        record.add("they start again");
    }
    let all = clients.len();
    for client in clients {
        client.join().expect("a client ends");
    }
    let joined = joined.lock().expect("a lock");
    record.say(&format!(
        "{} of {all} streams hold events of two versions: {}",
        joined.len(),
        joined.join("; ")
    ));
    match joined.len() > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn request(id: &str, deadline: Duration, resumed: Option<(&str, u64)>) -> Request {
    let mut headers = Vec::new();
    if let Some((first, last)) = resumed {
        headers.push(("Resumes", first.to_owned()));
        headers.push(("Last-Event-Id", last.to_string()));
    }
    Request {
        method: "POST",
        path: format!("/tell/{EVENTS}"),
        id: id.to_owned(),
        deadline,
        headers,
        body: "{}".to_owned(),
    }
}

/// A client with one stream, which it takes up at another machine if its connection breaks.
fn stream(
    record: &Record,
    fronts: &[SocketAddr],
    host: usize,
    label: &str,
    joined: &Mutex<Vec<String>>,
) {
    let start = Instant::now();
    let first = send(fronts[host], &request(label, DEADLINE, None));
    note(record, label, host, &first);
    let mut data = first.data();
    let mut last = first.events().last().copied().unwrap_or(0);
    for attempt in 1..=TRIES {
        let left = DEADLINE.saturating_sub(start.elapsed());
        if last == 0 || last >= EVENTS || left < TRY_INTERVAL {
            break;
        }
        let other = (host + attempt) % fronts.len();
        let id = format!("{label}-r{attempt}");
        let answer = send(fronts[other], &request(&id, left, Some((label, last))));
        note(record, &id, other, &answer);
        data.extend(answer.data());
        last = answer.events().last().copied().unwrap_or(last);
        sleep(TRY_INTERVAL);
    }
    let versions: BTreeSet<&str> = data
        .iter()
        .filter_map(|one| one.split('/').nth(1))
        .collect();
    if versions.len() > 1 {
        let runs: BTreeSet<&str> = data.iter().map(String::as_str).collect();
        let runs: Vec<&str> = runs.into_iter().collect();
        let runs = runs.join(" + ");
        joined
            .lock()
            .expect("a lock")
            .push(format!("{label} {runs}"));
    }
}

fn note(record: &Record, id: &str, host: usize, answer: &Answer) {
    let events = answer.events();
    record.add(&format!(
        "{id} at edge-a-{}: status {}, complete {}, events {:?} to {:?} of {:?}",
        host + 1,
        answer.status,
        answer.is_complete,
        events.first(),
        events.last(),
        answer.data().into_iter().collect::<BTreeSet<String>>()
    ));
}
