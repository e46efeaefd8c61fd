//! A route is split over three services. A machine is killed, and clients take their streams up at
//! the others.

use crate::World;
use crate::http::{Answer, call};
use crate::record::Record;
use crate::runner::{Fleet, Nature};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

const NATURE: Nature = Nature {
    work: Duration::from_millis(60),
    error_share: 0.0,
    first_event: Duration::from_millis(20),
    event_gap: Duration::from_millis(60),
    slots: 32,
};

const SERVICES: [&str; 3] = ["triage-a", "triage-b", "triage-c"];

/// Streams at the machine that is killed, and new ones at the others afterwards.
const STREAMS: usize = 36;
const NEW_STREAMS: usize = 36;

/// Events of a stream.
const EVENTS: u32 = 100;

pub fn play(world: &World) -> ! {
    let record = &world.record;
    let split: Vec<_> = SERVICES
        .iter()
        .map(|service| json!({"service": service, "weight": 1.0}))
        .collect();
    let route = json!({"name": "triage", "host": "triage.example", "prefix": "/triage/",
        "kind": "streaming", "resumable": true, "sticky": true, "attempts": 2, "timeoutMs": 15000,
        "targetLatencyMs": 120, "targetGapMs": 150, "priority": 0, "trafficSplit": split});
    let services: Vec<_> = SERVICES
        .iter()
        .map(|service| {
            json!({"name": service, "maxConnections": 250, "engine": {"slots": 32,
                "kvTokens": 232000, "kvTtlS": 5.0, "switchS": 3.0}})
        })
        .collect();
    world.configure(json!([route]), json!(services));
    let stages = [
        Some("prefill"),
        Some("decode"),
        Some("decode"),
        Some("decode"),
    ];
    let fleets =
        SERVICES.map(|service| Fleet::start(service, &stages, 3, NATURE, &world.store, record));
    let mut machines = world.start_machines(&fleets.each_ref());
    let fronts: Vec<_> = machines.machines.iter().map(|one| one.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            sleep(Duration::from_millis(20));
            send(record, fronts[0], "machine 0", 0x1000 + number, None)
        })
        .collect();
    sleep(Duration::from_millis(1_500));
    if world.has_trouble {
        record.line("machine 0 is killed");
        machines.machines[0].kill();
    }
    let answers: Vec<Answer> = clients.into_iter().map(|one| one.join().unwrap()).collect();
    // Whoever has got events and no end takes the stream up at another machine.
    let broken = answers
        .iter()
        .enumerate()
        .filter(|(_, one)| one.status == 200 && !one.is_whole);
    let taken_up: Vec<_> = broken
        .map(|(number, answer)| {
            sleep(Duration::from_millis(20));
            let resumed = (0x1000 + number, last_event(answer));
            let machine = 1 + number % 2;
            let name = format!("machine {machine}");
            (
                resumed.1,
                send(
                    record,
                    fronts[machine],
                    &name,
                    0x2000 + number,
                    Some(resumed),
                ),
            )
        })
        .collect();
    let new: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            sleep(Duration::from_millis(20));
            let machine = 1 + number % 2;
            send(
                record,
                fronts[machine],
                &format!("machine {machine}"),
                0x3000 + number,
                None,
            )
        })
        .collect();
    let tried = taken_up.len();
    let went_on = taken_up
        .into_iter()
        .map(|(last, one)| (last, one.join().unwrap()))
        .filter(|(last, answer)| answer.status == 200 && last_event(answer) > *last)
        .count();
    let begun = new
        .into_iter()
        .map(|one| one.join().unwrap())
        .filter(|answer| answer.status == 200 && last_event(answer) > 0)
        .count();
    record.say(&format!(
        "{went_on} of {tried} streams that were taken up went on; {begun} of {NEW_STREAMS} new streams \
         began (half of that share is owed)"
    ));
    let is_broken = tried >= 12 && went_on * 2 * NEW_STREAMS < begun * tried;
    world.end(machines, is_broken)
}

fn last_event(answer: &Answer) -> u64 {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    numbers
        .filter_map(|number| number.trim().parse().ok())
        .max()
        .unwrap_or(0)
}

/// Sends a request for a stream; `resumed` names the attempt that began it and its last event.
fn send(
    record: &Arc<Record>,
    front: SocketAddr,
    machine: &str,
    number: usize,
    resumed: Option<(usize, u64)>,
) -> JoinHandle<Answer> {
    let (record, machine) = (Arc::clone(record), machine.to_owned());
    spawn(move || {
        let id = format!("{number:016x}");
        // The prompt is that of the attempt that began the stream.
        let prompt = 0x51ab_0000 + resumed.map_or(number, |(attempt, _)| attempt);
        let mut headers = vec![
            ("Host", "triage.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", "12000".to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Count", format!("220,{EVENTS}")),
            ("X-Prefix-Hash", format!("5c1e07a2:79,{prompt:08x}:141")),
        ];
        let mut goes_on = String::new();
        if let Some((attempt, event)) = resumed {
            goes_on = format!(", to go on with {attempt:016x} after event {event}");
            headers.push(("Resumes", format!("{attempt:016x}")));
            headers.push(("Last-Event-Id", event.to_string()));
        }
        record.line(&format!("{id} sent to {machine}{goes_on}"));
        let headers: Vec<(String, String)> = headers
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect();
        let answer = call(
            front,
            "POST",
            "/triage/x",
            &headers,
            b"{}",
            Duration::from_secs(12),
        );
        record.line(&format!(
            "{id} answered: {} {}, last event {}",
            answer.status,
            if answer.is_whole {
                "whole"
            } else {
                "broken off"
            },
            last_event(&answer)
        ));
        answer
    })
}
