//! A runner leaves: its entry is removed, and it serves on for some seconds. The store comes back
//! from a copy from before that.

use crate::World;
use crate::http::call;
use crate::runner::{Fleet, Nature};
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::Duration;

const NATURE: Nature = Nature {
    work: Duration::from_millis(60),
    error_share: 0.0,
    first_event: Duration::from_millis(20),
    event_gap: Duration::from_millis(20),
    slots: 6,
};

/// Bound of the users' sheet.
const DRAIN_MS: u64 = 2_000;

/// Times, counted from the removal of the runner's entry: the store goes away and comes back, the
/// entry is removed again after three intervals of silence, and the runner exits.
const AWAY_MS: u64 = 4_000;
const BACK_MS: u64 = 5_000;
const SILENCE_MS: u64 = 3_600;
const EXIT_MS: u64 = 9_000;
const END_MS: u64 = 12_000;

/// Runners of the service, one of which leaves: a share of 0.14.
const RUNNERS: usize = 7;

/// Time between two requests at each machine.
const GAP_MS: u64 = 150;

pub fn play(world: &World) -> ! {
    let record = &world.record;
    let routes = json!([{"name": "booking", "host": "desk.example", "prefix": "/desk/",
        "kind": "non_idempotent", "attempts": 1, "timeoutMs": 1500, "targetLatencyMs": 300,
        "priority": 1, "service": "desk"}]);
    world.configure(routes, json!([{"name": "desk", "maxConnections": 110}]));
    let fleet = Fleet::start("desk", &[None; RUNNERS], 3, NATURE, &world.store, record);
    let machines = world.start_machines(&[&fleet]);
    let fronts: Vec<_> = machines.machines.iter().map(|one| one.front).collect();
    let begin = record.now_ms();
    let client = {
        let record = Arc::clone(record);
        spawn(move || {
            let (mut sent, mut threads, mut number) = (HashMap::new(), Vec::new(), 0_u64);
            while record.now_ms() - begin < 2_000 + END_MS {
                for (machine, front) in fronts.iter().copied().enumerate() {
                    let id = format!("{:016x}", 0x1000 + number * 4 + machine as u64);
                    sent.insert(id.clone(), record.now_ms());
                    let record = Arc::clone(&record);
                    threads.push(spawn(move || {
                        record.line(&format!("{id} sent to machine {machine}"));
                        let headers = [
                            ("Host", "desk.example".to_owned()),
                            ("X-Request-Id", id.clone()),
                            ("X-Deadline-Ms", "1500".to_owned()),
                        ];
                        let headers = headers.map(|(name, value)| (name.to_owned(), value));
                        let time = Duration::from_millis(1_500);
                        let answer = call(front, "POST", "/desk/x", &headers, b"{}", time);
                        record.line(&format!("{id} answered: {}", answer.status));
                    }));
                }
                number += 1;
                let next = begin + number * GAP_MS;
                sleep(Duration::from_millis(next.saturating_sub(record.now_ms())));
            }
            threads.into_iter().for_each(|one| one.join().unwrap());
            sent
        })
    };
    sleep(Duration::from_millis(1_500));
    let copy = world.store.copy();
    // The runner has no request when it begins to leave.
    sleep(Duration::from_millis(550));
    let leaver = &fleet.runners[RUNNERS - 1];
    let name = leaver.id();
    leaver.leave(Duration::from_millis(EXIT_MS));
    let start = record.now_ms();
    let wait_until = |at: u64| {
        sleep(Duration::from_millis(
            (start + at).saturating_sub(record.now_ms()),
        ));
    };
    if world.has_trouble {
        wait_until(AWAY_MS);
        record.line("the store is away");
        machines
            .paths
            .iter()
            .for_each(|one| one.is_cut.store(true, Ordering::SeqCst));
        wait_until(BACK_MS);
        record.line(&format!("the store is back from a copy, which has {name}"));
        world.store.restore(copy);
        machines
            .paths
            .iter()
            .for_each(|one| one.is_cut.store(false, Ordering::SeqCst));
        wait_until(BACK_MS + SILENCE_MS);
        record.line(&format!("the entry of {name} is removed after its silence"));
        world.store.remove("servers", &name);
    }
    let sent = client.join().unwrap();
    let runs = fleet.runs.lock().unwrap().clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.runner == name && sent[&run.request] > start + DRAIN_MS)
        .collect();
    for run in &late {
        let at = run.at_ms - start;
        record.line(&format!(
            "{} reached {name} {at} ms after its removal, from machine {}",
            run.request, run.machine
        ));
    }
    record.say(&format!(
        "{} requests that were sent later than {DRAIN_MS} ms after the removal of {name} reached it \
         (allowed: 0)",
        late.len()
    ));
    world.end(machines, !late.is_empty())
}
