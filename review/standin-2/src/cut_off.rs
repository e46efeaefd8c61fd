//! One machine is partitioned from all runners, which the other machines reach: its connections
//! to runners are reset, and new ones as soon as they have opened.

use crate::Verdict;
use crate::client::{Request, send};
use crate::deployment::Deployment;
use crate::link::Link;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const RUNNERS: usize = 6;

/// `contactMs` of the sheets.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Deadline of the clients, which is the routes' timeout.
const DEADLINE: Duration = Duration::from_secs(2);

/// The cut, after the first request, and the end of the requests.
const CUT_AT: Duration = Duration::from_secs(6);
const CUT_FOR: Duration = Duration::from_secs(12);
const END_AT: Duration = Duration::from_secs(20);

/// Interval between two requests to each machine.
const INTERVAL: Duration = Duration::from_millis(40);

/// A first try: the machine, when it was sent, the status of its answer.
type Try = (usize, Duration, u16);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new();
    let kind = Kind {
        service: "desk",
        stage: None,
        idle: Duration::from_secs(5),
        is_unframed: false,
        gap: Duration::from_millis(40),
        bad_part: None,
        down: Duration::ZERO,
        first_beat: Duration::ZERO,
    };
    let store = deployment.store.clone();
    let runners: Vec<Runner> = (1..=RUNNERS)
        .map(|number| Runner::start(number, kind.clone(), "v1", &store, record))
        .collect();
    let links: Vec<Link> = runners.iter().map(|one| Link::start(one.address)).collect();
    let quoted = |address: SocketAddr| format!("\"{address}\"");
    let pairs = runners.iter().zip(&links);
    let pairs = pairs.map(|(runner, link)| (quoted(runner.address), quoted(link.address)));
    let first = store.start_view(pairs.collect());
    if !deployment.start_hosts_apart(HOSTS, first) {
        record.say("a machine didn't become ready");
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(4));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    let start = Instant::now();
    let mut is_cut = false;
    let mut number = 0_u32;
    while start.elapsed() < END_AT {
        let is_due = start.elapsed() >= CUT_AT && start.elapsed() < CUT_AT + CUT_FOR;
        if has_trouble && is_due != is_cut {
            is_cut = is_due;
            links.iter().for_each(|link| link.set_cut(is_cut));
            record.add(&format!("edge-a-1 is cut off from the runners: {is_cut}"));
        }
        for (host, one) in deployment.hosts.iter().enumerate() {
            let (front, tries, record) = (one.front, Arc::clone(&tries), record.clone());
            let (method, path) = [("GET", "/read/x"), ("POST", "/book/x")][number as usize % 2];
            let request = Request {
                method,
                path: path.to_owned(),
                id: format!("h{}-{number}", host + 1),
                deadline: DEADLINE,
                headers: Vec::new(),
                body: if method == "GET" { "" } else { "{}" }.to_owned(),
            };
            clients.push(thread::spawn(move || {
                let at = start.elapsed();
                let answer = send(front, &request);
                let (id, status) = (&request.id, answer.status);
                record.add(&format!("{id} {path} at edge-a-{}: {status}", host + 1));
                tries.lock().expect("a lock").push((host, at, status));
            }));
        }
        number += 1;
        sleep(INTERVAL);
    }
    for client in clients {
        client.join().expect("a client ends");
    }
    let tries = tries.lock().expect("a lock");
    let (from, to) = (CUT_AT + CONTACT, CUT_AT + CUT_FOR);
    let count = |is_first: bool| {
        let these = tries
            .iter()
            .filter(|(host, at, _)| (*host == 0) == is_first && *at >= from && *at < to);
        let served = these
            .clone()
            .filter(|(_, _, status)| *status == 200)
            .count();
        (served, these.count())
    };
    let (first, others) = (count(true), count(false));
    record.say(&format!(
        "first tries from {} ms after the cut on: {} of {} served at the machine that is cut off, \
         {} of {} at the others",
        CONTACT.as_millis(),
        first.0,
        first.1,
        others.0,
        others.1
    ));
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    let failed = first.1 - first.0;
    let all = first.1 + others.1;
    let is_broken =
        share(first) < share(others) * 2.0 / 3.0 && failed as f64 > 10.0 + all as f64 / 50.0;
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
