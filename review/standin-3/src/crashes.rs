//! Prompts with a part that crashes runners, on a route that is split over three services (one at a
//! time), or on a route with one service (several in the time for which a runner is away).

use crate::World;
use crate::http::call;
use crate::record::Record;
use crate::runner::{Fleet, Nature, Run};
use crate::{BAD_PART, unit};
use serde_json::json;
use std::collections::HashSet;
use std::env;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

const NATURE: Nature = Nature {
    work: Duration::from_millis(60),
    error_share: 0.0,
    first_event: Duration::from_millis(30),
    event_gap: Duration::from_millis(8),
    slots: 32,
};

/// Bound of the users' sheet.
const CONTACT_MS: u64 = 3_000;

/// Sound requests a second.
const SOUND_PER_S: u64 = 10;

const SERVICES: [&str; 3] = ["triage-a", "triage-b", "triage-c"];

/// Time between two prompts with the bad part, the first of them and the end.
const BAD_GAP_MS: u64 = 3_500;
const SHORT_BAD_GAP_MS: u64 = 500;
const BAD_FROM_MS: u64 = 10_000;
const END_MS: u64 = 60_000;

pub fn play(world: &World, has_one_service: bool) -> ! {
    let record = &world.record;
    // TROUBLE=whole plays the same on a route with one service, TROUBLE=slow with as few prompts as
    // on a split route.
    let is_whole = env::var("TROUBLE").as_deref() == Ok("whole");
    let is_slow = env::var("TROUBLE").as_deref() == Ok("slow");
    let count = match has_one_service || is_whole {
        true => 1,
        false => SERVICES.len(),
    };
    let bad_gap_ms = match has_one_service && !is_slow {
        true => SHORT_BAD_GAP_MS,
        false => BAD_GAP_MS,
    };
    // As in the sheet: one attempt for `history-summary`, two for `flood-triage`.
    let attempts = if has_one_service { 1 } else { 2 };
    let split: Vec<_> = SERVICES[..count]
        .iter()
        .map(|service| json!({"service": service, "weight": 1.0}))
        .collect();
    let route = json!({"name": "triage", "host": "triage.example", "prefix": "/triage/",
        "kind": "streaming", "resumable": true, "sticky": true, "attempts": attempts, "timeoutMs": 15000,
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
    for runner in fleets.iter().flat_map(|fleet| &fleet.runners) {
        runner.keeps_id.store(has_one_service, Ordering::SeqCst);
    }
    let machines = world.start_machines(&fleets.each_ref());
    let has_trouble = world.has_trouble || is_whole || is_slow;
    let fronts: Vec<SocketAddr> = machines.machines.iter().map(|one| one.front).collect();
    let start = record.now_ms();
    let mut sound: Vec<(u64, String)> = Vec::new();
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let mut number = 0;
    let mut bad = 0;
    loop {
        let now = record.now_ms() - start;
        if now >= END_MS {
            break;
        }
        if has_trouble && now >= BAD_FROM_MS + bad * bad_gap_ms {
            // They come at any machine, no two alike.
            let front = fronts[bad as usize % fronts.len()];
            let id = format!("{:016x}", 0xbad_0000 + bad);
            let parts = format!("5c1e07a2:79,{BAD_PART}60,{:08x}:81", 0x6000_0000 + bad);
            threads.push(send(record, front, id, parts));
            bad += 1;
        }
        let id = format!("{:016x}", 0x5000_0000 + number);
        let parts = format!("5c1e07a2:79,{:08x}:141", 0x5100_0000 + number);
        let front = fronts[(unit(number) * fronts.len() as f64) as usize];
        sound.push((now, id.clone()));
        threads.push(send(record, front, id, parts));
        number += 1;
        let next = start + number * 1_000 / SOUND_PER_S;
        sleep(Duration::from_millis(next.saturating_sub(record.now_ms())));
    }
    threads.into_iter().for_each(|one| one.join().unwrap());
    let runs: Vec<Run> = fleets
        .iter()
        .flat_map(|fleet| fleet.runs.lock().unwrap().clone())
        .collect();
    let mut crashes: Vec<u64> = fleets
        .iter()
        .flat_map(|fleet| fleet.crashes.lock().unwrap().clone())
        .collect();
    crashes.sort_unstable();
    let began: HashSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let share = |from: u64, to: u64| {
        let sent: Vec<_> = sound
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .collect();
        let begun = sent
            .iter()
            .filter(|(_, id)| began.contains(id.as_str()))
            .count();
        (begun, sent.len())
    };
    let before = share(0, BAD_FROM_MS);
    record.say(&format!(
        "{} crashes; sound requests that began before: {before:?}",
        crashes.len()
    ));
    let Some(fifth) = crashes.get(4) else {
        record.say("fewer than five crashes");
        world.end(machines, false);
    };
    let late = runs
        .iter()
        .filter(|run| run.is_bad && run.at_ms > fifth + CONTACT_MS)
        .count();
    let from = fifth + 2 * CONTACT_MS - start;
    let after = share(from, END_MS);
    record.say(&format!(
        "bad prompts that reached runners later than {CONTACT_MS} ms after the fifth crash: {late} \
         (allowed: 3); sound requests from twice that on that began: {after:?}"
    ));
    let has_enough = before.1 >= 20 && after.1 >= 20;
    let is_lost = has_enough && after.0 * 2 * before.1 < before.0 * after.1;
    if is_lost {
        record.say("sound requests began less than half as often");
    }
    world.end(machines, late > 3 || is_lost)
}

fn send(record: &Arc<Record>, front: SocketAddr, id: String, parts: String) -> JoinHandle<()> {
    let record = Arc::clone(record);
    spawn(move || {
        record.line(&format!("{id} sent to {front} with {parts}"));
        let headers = [
            ("Host", "triage.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", "15000".to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Count", "220,90".to_owned()),
            ("X-Prefix-Hash", parts),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value));
        let time = Duration::from_secs(15);
        // No two are alike.
        let body = format!("{{\"prompt\": \"{id}\"}}");
        let answer = call(front, "POST", "/triage/x", &headers, body.as_bytes(), time);
        let end = if answer.is_whole {
            "whole"
        } else {
            "broken off"
        };
        record.line(&format!("{id} answered: {} {end}", answer.status));
    })
}
