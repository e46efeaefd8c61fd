//! Runners of two software versions serve side by side, and streams last for more than a minute,
//! as their route allows. One machine's process is killed, and clients take up its streams at
//! the other machines.

use crate::client::{Answer, Request, send};
use crate::deployment::{Deployment, configuration};
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::{Verdict, setting};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// Deadline of the clients, which is the route's timeout.
const DEADLINE: Duration = Duration::from_secs(100);

/// Events of a stream, one each 800 ms.
const EVENTS: u64 = 90;
const GAP: Duration = Duration::from_millis(800);

/// Streams that begin at each machine at first, and the interval between them.
const STREAMS: usize = 16;
const INTERVAL: Duration = Duration::from_millis(60);

/// Time in milliseconds at which the process is killed, after the first request, which
/// `KILL_AT_MS` replaces; the others begin streams from then on.
const KILL_AT_MS: u64 = 66_000;
const NEW_STREAMS: usize = 20;

/// Tries of a client to take its stream up, each after the time that the answer names.
const TRIES: usize = 3;

#[derive(Default)]
struct Counts {
    new: usize,
    begun: usize,
    taken_up: usize,
    gone_on: usize,
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
    let mut config = configuration();
    let routes = config["routes"].as_array_mut().expect("a list");
    let mut tell = routes.iter_mut().filter(|route| route["name"] == "tell");
    tell.next().expect("a route")["timeoutMs"] = json!(DEADLINE.as_millis() as u64);
    drop(tell);
    config["version"] = json!(8);
    store.put("config", "main", config);
    let _runners: Vec<Runner> = (1..)
        .zip(VERSIONS)
        .map(|(number, version)| Runner::start(number, kind.clone(), version, &store, record))
        .collect();
    if !deployment.start_hosts(HOSTS) {
        record.say("a machine didn't become ready");
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.front).collect();
    let counts = Arc::new(Mutex::new(Counts::default()));
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    let start = Instant::now();
    let mut begin = |host: usize, label: String, events: u64| {
        let (fronts, counts, record) = (fronts.clone(), Arc::clone(&counts), record.clone());
        clients.push(thread::spawn(move || {
            stream(&record, &fronts, host, &label, events, &counts);
        }));
    };
    for number in 0..STREAMS {
        for host in 0..HOSTS {
            begin(host, format!("h{}-{number}", host + 1), EVENTS);
        }
        sleep(INTERVAL);
    }
    let kill_at = Duration::from_millis(setting("KILL_AT_MS", KILL_AT_MS));
    sleep(kill_at.saturating_sub(start.elapsed()));
    if has_trouble {
        deployment.hosts[0].kill();
        record.add("the process of edge-a-1 is killed");
    }
    for number in 0..NEW_STREAMS {
        begin(1 + number % (HOSTS - 1), format!("new-{number}"), 2);
        sleep(INTERVAL);
    }
    if has_trouble {
        sleep(Duration::from_secs(1));
        deployment.hosts[0].launch();
        record.add("the process of edge-a-1 starts again");
    }
    for client in clients {
        client.join().expect("a client ends");
    }
    let counts = counts.lock().expect("a lock");
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    record.say(&format!(
        "new streams: {} of {} begun; taken up at machines in touch: {} of {} went on",
        counts.begun, counts.new, counts.gone_on, counts.taken_up
    ));
    let begun = share(counts.begun, counts.new);
    match counts.taken_up >= 12 && share(counts.gone_on, counts.taken_up) < begun / 2.0 {
        true => Verdict::Broken,
        false if has_trouble && counts.taken_up < 12 => Verdict::CouldNotRun,
        false => Verdict::Held,
    }
}

fn request(id: &str, events: u64, deadline: Duration, resumed: Option<(&str, u64)>) -> Request {
    let mut headers = Vec::new();
    if let Some((first, last)) = resumed {
        headers.push(("Resumes", first.to_owned()));
        headers.push(("Last-Event-Id", last.to_string()));
    }
    Request {
        method: "POST",
        path: format!("/tell/{events}"),
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
    events: u64,
    counts: &Mutex<Counts>,
) {
    let start = Instant::now();
    let first = send(fronts[host], &request(label, events, DEADLINE, None));
    note(record, label, host, &first);
    let last = first.events().last().copied();
    {
        let mut counts = counts.lock().expect("a lock");
        counts.new += 1;
        counts.begun += usize::from(last.is_some());
    }
    let (Some(mut last), false) = (last, first.is_complete) else {
        return;
    };
    if last >= events {
        return;
    }
    let mut goes_on = false;
    for attempt in 1..=TRIES {
        let left = DEADLINE.saturating_sub(start.elapsed());
        if left < Duration::from_secs(1) {
            break;
        }
        // The machines besides the one whose connection broke.
        let other = 1 + (host + attempt) % (fronts.len() - 1);
        let id = format!("{label}-r{attempt}");
        let answer = send(
            fronts[other],
            &request(&id, events, left, Some((label, last))),
        );
        note(record, &id, other, &answer);
        let numbers = answer.events();
        goes_on |= numbers.first() == Some(&(last + 1));
        last = numbers.last().copied().unwrap_or(last);
        if answer.is_complete && answer.status == 200 {
            break;
        }
        sleep(answer.retry_after.unwrap_or(Duration::from_millis(100)));
    }
    let mut counts = counts.lock().expect("a lock");
    counts.taken_up += 1;
    counts.gone_on += usize::from(goes_on);
}

fn note(record: &Record, id: &str, host: usize, answer: &Answer) {
    let events = answer.events();
    record.add(&format!(
        "{id} at edge-a-{}: status {}, retry after {:?}, events {:?} to {:?}, complete {}",
        host + 1,
        answer.status,
        answer.retry_after,
        events.first(),
        events.last(),
        answer.is_complete
    ));
}
