//! One machine's process is killed, and clients take up its streams at the other machines.
//! One software version serves. The runners close idle connections after half a second, which
//! no header can state, as it gives whole seconds.

use crate::client::{Answer, Request, send};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::{Verdict, setting};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const RUNNERS: usize = 3;

/// Deadline of the clients, which is the route's timeout.
const DEADLINE: Duration = Duration::from_secs(15);

/// Events of a stream, one each 300 ms.
const EVENTS: u64 = 14;
const GAP: Duration = Duration::from_millis(300);

/// Time in milliseconds after which runners close idle connections, which `IDLE_MS` replaces.
const IDLE_MS: u64 = 500;

/// Time at which the process is killed, and the end of new streams, after the first request.
const KILL_AT: Duration = Duration::from_secs(12);
const END_AT: Duration = Duration::from_secs(20);

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
        idle: Duration::from_millis(setting("IDLE_MS", IDLE_MS)),
        is_unframed: false,
        gap: GAP,
        bad_part: None,
        down: Duration::ZERO,
        first_beat: Duration::ZERO,
    };
    let store = deployment.store.clone();
    let _runners: Vec<Runner> = (1..=RUNNERS)
        .map(|number| Runner::start(number, kind.clone(), "v1", &store, record))
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
    let mut killed_at = None;
    let mut number = 0_u32;
    while start.elapsed() < END_AT {
        if has_trouble && killed_at.is_none() && start.elapsed() >= KILL_AT {
            deployment.hosts[0].kill();
            record.add("the process of edge-a-1 is killed");
            killed_at = Some(Instant::now());
        }
        if killed_at.is_some_and(|at| at.elapsed() >= Duration::from_secs(2)) {
            deployment.hosts[0].launch();
            record.add("the process of edge-a-1 starts again");
            // It starts once.
            killed_at = killed_at.map(|at| at + END_AT);
        }
        // Clients come in small groups, which leaves connections to runners idle between them.
        for host in 0..HOSTS {
            // The platform sends nobody to a machine that has ended.
            if host == 0 && killed_at.is_some() {
                continue;
            }
            for _ in 0..[6, 0, 0, 3][number as usize % 4] {
                let (fronts, counts) = (fronts.clone(), Arc::clone(&counts));
                let record = record.clone();
                let label = format!("h{}-{}", host + 1, clients.len());
                clients.push(thread::spawn(move || {
                    stream(&record, &fronts, host, &label, &counts);
                }));
            }
        }
        number += 1;
        sleep(Duration::from_millis(400));
    }
    for client in clients {
        client.join().expect("a client ends");
    }
    let counts = counts.lock().expect("a lock");
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let begun = share(counts.begun, counts.new);
    let gone_on = share(counts.gone_on, counts.taken_up);
    record.say(&format!(
        "new streams: {} of {} begun; taken up at machines in touch: {} of {} went on",
        counts.begun, counts.new, counts.gone_on, counts.taken_up
    ));
    match counts.taken_up >= 12 && gone_on < begun / 2.0 {
        true => Verdict::Broken,
        false if has_trouble && counts.taken_up < 12 => Verdict::CouldNotRun,
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
    counts: &Mutex<Counts>,
) {
    let start = Instant::now();
    let first = send(fronts[host], &request(label, DEADLINE, None));
    let last = first.events().last().copied();
    note(record, label, host, &first);
    {
        let mut counts = counts.lock().expect("a lock");
        counts.new += 1;
        counts.begun += usize::from(last.is_some());
    }
    // A stream that has brought all events is as good as whole.
    let (Some(mut last), false) = (last, first.is_complete) else {
        return;
    };
    if last >= EVENTS {
        return;
    }
    let mut goes_on = false;
    for attempt in 1..=TRIES {
        let left = DEADLINE.saturating_sub(start.elapsed());
        if left < Duration::from_millis(500) {
            break;
        }
        // The machines besides the one whose connection broke.
        let other = 1 + (host + attempt) % (fronts.len() - 1);
        let id = format!("{label}-r{attempt}");
        let answer = send(fronts[other], &request(&id, left, Some((label, last))));
        note(record, &id, other, &answer);
        let events = answer.events();
        goes_on |= events.first() == Some(&(last + 1));
        last = events.last().copied().unwrap_or(last);
        if answer.is_complete && answer.status == 200 {
            break;
        }
        // A time beyond a third of what is left isn't waited for.
        let wait = answer.retry_after.unwrap_or(Duration::from_millis(100));
        if wait > DEADLINE.saturating_sub(start.elapsed()) / 3 {
            break;
        }
        sleep(wait);
    }
    let mut counts = counts.lock().expect("a lock");
    counts.taken_up += 1;
    counts.gone_on += usize::from(goes_on);
}

fn note(record: &Record, id: &str, host: usize, answer: &Answer) {
    record.add(&format!(
        "{id} at edge-a-{}: status {}, retry after {:?}, events {:?}, complete {}",
        host + 1,
        answer.status,
        answer.retry_after,
        answer.events(),
        answer.is_complete
    ));
}
