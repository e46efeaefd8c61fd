//! One part of a prompt crashes each engine that begins to answer it, and the engines' answers
//! have neither a length nor chunks and end with their connections. Bad prompts share their
//! caller and their second part with the sound ones.

use crate::client::{Answer, Request, send};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::{Verdict, setting};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const ENGINES: usize = 8;

/// `contactMs` of the sheets.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Deadline of the clients, which is the route's timeout.
const DEADLINE: Duration = Duration::from_secs(4);

/// Events of an answer, one each 40 ms.
const EVENTS: u64 = 5;
const GAP: Duration = Duration::from_millis(40);

/// The part that crashes engines, and the part that all prompts share.
const BAD: &str = "bad0";
const SHARED: &str = "5a5a";

/// First prompts with the bad part, after the first request, and the interval between them.
const BAD_FROM: Duration = Duration::from_secs(8);
const BAD_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between two sound prompts.
const SOUND_INTERVAL: Duration = Duration::from_millis(60);

const END_AT: Duration = Duration::from_secs(36);

/// A first try of a sound client: when it came, and whether its answer began.
type Try = (Duration, bool);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new();
    let kind = |stage| Kind {
        service: "llm",
        stage: Some(stage),
        idle: Duration::from_secs(10),
        is_unframed: setting("FRAMED", 0) == 0,
        gap: GAP,
        bad_part: Some(BAD),
        down: Duration::from_secs(2),
        first_beat: Duration::ZERO,
    };
    let store = deployment.store.clone();
    let engines: Vec<Runner> = (1..=ENGINES)
        .map(|number| {
            let stage = if number % 3 == 0 { "prefill" } else { "decode" };
            Runner::start(number, kind(stage), "v1", &store, record)
        })
        .collect();
    if !deployment.start_hosts(HOSTS) {
        record.say("a machine didn't become ready");
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.front).collect();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    let start = Instant::now();
    let crashes = || {
        let crashes = engines.iter().map(|one| one.crashes.load(Ordering::SeqCst));
        crashes.sum::<u64>()
    };
    let mut first_crash = None;
    let mut fifth_crash = None;
    let mut next_bad = BAD_FROM;
    let mut number = 0;
    while start.elapsed() < END_AT {
        if crashes() >= 1 {
            first_crash.get_or_insert(start.elapsed());
        }
        if crashes() >= 5 && fifth_crash.is_none() {
            fifth_crash = Some(start.elapsed());
            record.add("the fifth crash");
        }
        let front = fronts[number % HOSTS];
        if has_trouble && start.elapsed() >= next_bad {
            next_bad += BAD_INTERVAL;
            let request = prompt(&format!("bad-{number}"), BAD, number);
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let answer = send(front, &request);
                note(&record, &request.id, &answer);
            }));
        }
        // Sound prompts begin with one of four other parts.
        let request = prompt(
            &format!("sound-{number}"),
            &format!("a{}", number % 4),
            number,
        );
        let (record, tries) = (record.clone(), Arc::clone(&tries));
        clients.push(thread::spawn(move || {
            let at = start.elapsed();
            let answer = send(front, &request);
            note(&record, &request.id, &answer);
            let has_begun = answer.status == 200 && !answer.events().is_empty();
            tries.lock().expect("a lock").push((at, has_begun));
        }));
        number += 1;
        sleep(SOUND_INTERVAL);
    }
    for client in clients {
        client.join().expect("a client ends");
    }
    let tries = tries.lock().expect("a lock");
    let count = |from: Duration, to: Duration| {
        let within = tries.iter().filter(|(at, _)| *at >= from && *at < to);
        let begun = within.clone().filter(|(_, has_begun)| *has_begun).count();
        (begun, within.count())
    };
    let share = |(begun, all): (usize, usize)| begun as f64 / all.max(1) as f64;
    let before = count(Duration::ZERO, first_crash.unwrap_or(END_AT));
    let Some(fifth) = fifth_crash else {
        record.say(&format!(
            "{} crashes; sound prompts that began at the first try: {} of {}",
            crashes(),
            before.0,
            before.1
        ));
        return match has_trouble {
            true => Verdict::CouldNotRun,
            false if share(before) > 0.9 => Verdict::Held,
            false => Verdict::Broken,
        };
    };
    let from = fifth + 2 * CONTACT;
    let later = count(from, END_AT);
    record.say(&format!(
        "{} crashes, the fifth at {:.1} s; sound prompts that began at the first try: before \
         the first crash {} of {}, from {:.1} s on {} of {}",
        crashes(),
        fifth.as_secs_f64(),
        before.0,
        before.1,
        from.as_secs_f64(),
        later.0,
        later.1
    ));
    match before.1 >= 20 && later.1 >= 20 && share(later) < share(before) / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A prompt of less than a thousand tokens; the last part is its own.
fn prompt(id: &str, first: &str, number: usize) -> Request {
    let parts = format!("{first}:120,{SHARED}:300,{:x}:60", 0x10_0000 + number);
    Request {
        method: "POST",
        path: format!("/ask/{EVENTS}"),
        id: id.to_owned(),
        deadline: DEADLINE,
        headers: vec![
            ("X-Model", "m".to_owned()),
            ("X-Token-Count", "480,5".to_owned()),
            ("X-Prefix-Hash", parts),
        ],
        body: format!("{{\"n\":{number}}}"),
    }
}

fn note(record: &Record, id: &str, answer: &Answer) {
    record.add(&format!(
        "{id}: status {}, events {:?}, complete {}",
        answer.status,
        answer.events(),
        answer.is_complete
    ));
}
