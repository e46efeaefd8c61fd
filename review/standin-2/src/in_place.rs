//! Runners are upgraded in place, one after the other: a runner ends, starts again under its
//! id at another software version, and ends once more some seconds later. Its first write to
//! the store comes within a heartbeat of its start.

use crate::client::{Answer, Request, send};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::runner::{HEARTBEAT, Kind, Runner};
use crate::{Verdict, setting};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const RUNNERS: usize = 6;

/// Runners that are upgraded.
const UPGRADED: usize = 3;

/// Deadline of the clients, which is the route's timeout.
const DEADLINE: Duration = Duration::from_secs(15);

/// Events of a stream, one each 300 ms.
const EVENTS: u64 = 16;
const GAP: Duration = Duration::from_millis(300);

/// Clients that come at once, in each turn, and the time of a turn.
const GROUP: usize = 12;
const TURN: Duration = Duration::from_secs(13);

/// Times in a turn: the runner ends, starts at the new version, ends again, starts again. The
/// clients come after its first start.
const ENDS: Duration = Duration::from_secs(6);
const STARTS: Duration = Duration::from_secs(7);
const CLIENTS: Duration = Duration::from_millis(7_150);
const ENDS_AGAIN: Duration = Duration::from_secs(10);
const STARTS_AGAIN: Duration = Duration::from_millis(11_500);

/// Time between the start of a runner and its first write to the store in milliseconds, which
/// `FIRST_BEAT_MS` replaces; less than a heartbeat.
const FIRST_BEAT_MS: u64 = 1_100;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new();
    let kind = Kind {
        service: "desk",
        stage: None,
        idle: Duration::from_secs(2),
        is_unframed: false,
        gap: GAP,
        bad_part: None,
        down: Duration::ZERO,
        first_beat: Duration::from_millis(setting("FIRST_BEAT_MS", FIRST_BEAT_MS)),
    };
    assert!(kind.first_beat < HEARTBEAT, "the page allows no more");
    let store = deployment.store.clone();
    let runners: Vec<Runner> = (1..=RUNNERS)
        .map(|number| Runner::start(number, kind.clone(), "v1", &store, record))
        .collect();
    if !deployment.start_hosts(HOSTS) {
        record.say("a machine didn't become ready");
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.front).collect();
    let joined: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for (turn, runner) in runners.iter().take(UPGRADED).enumerate() {
        let start = Instant::now();
        let until = |at: Duration| sleep(at.saturating_sub(start.elapsed()));
        until(ENDS);
        if has_trouble {
            runner.crash();
        }
        until(STARTS);
        if has_trouble {
            runner.restart("v2");
        }
        until(CLIENTS);
        for number in 0..GROUP {
            let (fronts, joined, record) = (fronts.clone(), Arc::clone(&joined), record.clone());
            let label = format!("t{turn}-{number}");
            clients.push(thread::spawn(move || {
                stream(&record, &fronts, number % HOSTS, &label, &joined);
            }));
            sleep(Duration::from_millis(40));
        }
        until(ENDS_AGAIN);
        if has_trouble {
            runner.crash();
        }
        until(STARTS_AGAIN);
        if has_trouble {
            runner.restart("v2");
        }
        until(TURN);
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

/// A client with one stream, which it takes up once at another machine if its connection
/// breaks.
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
    let last = first.events().last().copied();
    if let (Some(last), false) = (last, first.is_complete) {
        let left = DEADLINE.saturating_sub(start.elapsed());
        let other = (host + 1) % fronts.len();
        let id = format!("{label}-r");
        let answer = send(fronts[other], &request(&id, left, Some((label, last))));
        note(record, &id, other, &answer);
        data.extend(answer.data());
    }
    let versions: BTreeSet<&str> = data
        .iter()
        .filter_map(|one| one.split('/').nth(1))
        .collect();
    if versions.len() > 1 {
        let runs: BTreeSet<&str> = data.iter().map(String::as_str).collect();
        let runs: Vec<&str> = runs.into_iter().collect();
        joined
            .lock()
            .expect("a lock")
            .push(format!("{label} {}", runs.join(" + ")));
    }
}

fn note(record: &Record, id: &str, host: usize, answer: &Answer) {
    record.add(&format!(
        "{id} at edge-a-{}: status {}, complete {}, events {:?} of {:?}",
        host + 1,
        answer.status,
        answer.is_complete,
        answer.events(),
        answer.data().into_iter().collect::<BTreeSet<String>>()
    ));
}
