//! A release in place of all runners of a service while one machine is partitioned from the store.

use crate::World;
use crate::http::{Answer, call};
use crate::record::Record;
use crate::runner::{Fleet, Nature};
use serde_json::json;
use std::collections::BTreeSet;
use std::env;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

const NATURE: Nature = Nature {
    work: Duration::from_millis(60),
    error_share: 0.0,
    first_event: Duration::from_millis(20),
    event_gap: Duration::from_millis(60),
    slots: 32,
};

/// Long streams that are begun at the machine.
const STREAMS: usize = 12;

/// Short ones before them.
const EARLIER: usize = 40;

/// Pause between two steps of the release.
const GAP: Duration = Duration::from_millis(1_000);

/// Time for which a runner is away that is replaced in place.
const AWAY: Duration = Duration::from_millis(200);

pub fn play(world: &World, of_runners: bool) -> ! {
    let record = &world.record;
    let route = json!({"name": "triage", "host": "triage.example", "prefix": "/triage/",
        "kind": "streaming", "resumable": true, "sticky": true, "attempts": 2, "timeoutMs": 15000,
        "targetLatencyMs": 120, "targetGapMs": 150, "priority": 0, "service": "triage-llm"});
    let service = json!({"name": "triage-llm", "maxConnections": 250, "engine": {"slots": 32,
        "kvTokens": 232000, "kvTtlS": 5.0, "switchS": 3.0}});
    let prefill = if of_runners { 12 } else { 3 };
    let stages: Vec<_> = (0..prefill + 3)
        .map(|one| Some(if one < prefill { "prefill" } else { "decode" }))
        .collect();
    world.configure(json!([route]), json!([service]));
    let fleet = Fleet::start("triage-llm", &stages, 3, NATURE, &world.store, record);
    let machines = world.start_machines(&[&fleet]);
    let front = machines.machines[0].front;
    let earlier: Vec<_> = (0..EARLIER)
        .map(|number| {
            sleep(Duration::from_millis(200));
            begin(record, front, 0x1000 + number, 20)
        })
        .collect();
    earlier.into_iter().for_each(|client| drop(client.join()));
    sleep(Duration::from_millis(1_000));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| begin(record, front, 0x7000 + number, 180))
        .collect();
    sleep(Duration::from_millis(4_500));
    // The runner with the most streams is replaced last.
    let mut order: Vec<_> = fleet.runners[prefill..].iter().collect();
    order.sort_by_key(|runner| runner.streams.load(Ordering::SeqCst));
    if world.has_trouble && of_runners {
        order.iter().for_each(|runner| runner.cut_from_store());
    } else if world.has_trouble {
        record.line("machine 0 is partitioned from the store");
        machines.paths[0].is_cut.store(true, Ordering::SeqCst);
    }
    if world.has_trouble || env::var("TROUBLE").as_deref() == Ok("release") {
        sleep(Duration::from_millis(20));
        // Two at a time, and the one with the streams a gap later.
        for step in [&order[..2], &order[2..]] {
            step.iter()
                .for_each(|runner| runner.replace_in_place("v2", AWAY));
            sleep(GAP);
        }
        sleep(Duration::from_millis(2_900));
        machines.paths[0].is_cut.store(false, Ordering::SeqCst);
        if of_runners {
            fleet.runners[prefill..]
                .iter()
                .for_each(|runner| runner.heal_store());
        } else {
            record.line("machine 0 reaches the store");
        }
    }
    let answers: Vec<Answer> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let mixed = answers
        .iter()
        .filter(|answer| versions_of(answer).len() > 1)
        .count();
    let begun = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{begun} of {STREAMS} streams began; {mixed} hold events of two software versions (allowed: 2)"
    ));
    world.end(machines, mixed > 2)
}

/// Sends a request for a stream of so many events.
fn begin(
    record: &Arc<Record>,
    front: SocketAddr,
    number: usize,
    events: u32,
) -> JoinHandle<Answer> {
    let record = Arc::clone(record);
    spawn(move || {
        let id = format!("{number:016x}");
        record.line(&format!("{id} sent to machine 0"));
        let headers = [
            ("Host", "triage.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", "15000".to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Count", format!("220,{events}")),
            (
                "X-Prefix-Hash",
                format!("5c1e07a2:79,{:08x}:141", 0x51ab_0000 + number),
            ),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value));
        let answer = call(
            front,
            "POST",
            "/triage/x",
            &headers,
            b"{}",
            Duration::from_secs(15),
        );
        record.line(&format!(
            "{id} answered: {} {}, events of {:?}",
            answer.status,
            if answer.is_whole {
                "whole"
            } else {
                "broken off"
            },
            versions_of(&answer)
        ));
        answer
    })
}

/// Returns the software versions whose runners wrote the events of an answer.
fn versions_of(answer: &Answer) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|line| line.split(' ').next().map(str::to_owned))
        .collect()
}
