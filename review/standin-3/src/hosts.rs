//! A machine is partitioned from all runners for some seconds, several times.

use crate::World;
use crate::http::call;
use crate::runner::{Fleet, Nature, Run};
use crate::unit;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

const NATURE: Nature = Nature {
    work: Duration::from_millis(60),
    error_share: 0.14,
    first_event: Duration::from_millis(20),
    event_gap: Duration::from_millis(20),
    slots: 6,
};

/// `attempts` of the route.
const ATTEMPTS: usize = 2;

/// Requests a second at the machine that is partitioned, and at each of the others.
const PER_S: u64 = 40;
const OTHERS_PER_S: u64 = 60;

/// Length of a cut, time from one to the next, and number of such times.
const CUT_MS: u64 = 2_500;
const CYCLE_MS: u64 = 5_500;
const CYCLES: u64 = 18;

const RUNNERS: usize = 24;

pub fn play(world: &World) -> ! {
    let record = &world.record;
    let route = json!({"name": "status", "host": "desk.example", "prefix": "/desk/",
        "kind": "idempotent", "attempts": ATTEMPTS, "timeoutMs": 2000, "targetLatencyMs": 300,
        "priority": 2, "service": "desk"});
    world.configure(
        json!([route]),
        json!([{"name": "desk", "maxConnections": 110}]),
    );
    let fleet = Fleet::start("desk", &[None; RUNNERS], 3, NATURE, &world.store, record);
    let machines = world.start_machines(&[&fleet]);
    let start = record.now_ms();
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let mut sent: Vec<(u64, String)> = Vec::new();
    let mut number = 0;
    let mut is_cut = false;
    while record.now_ms() - start < CYCLES * CYCLE_MS {
        let now = record.now_ms() - start;
        let is_due = world.has_trouble && now % CYCLE_MS < CUT_MS && now >= CYCLE_MS / 2;
        if is_due != is_cut {
            is_cut = is_due;
            record.line(match is_cut {
                true => "machine 0 is partitioned from all runners",
                false => "machine 0 reaches the runners again",
            });
            for runner in &fleet.runners {
                match is_cut {
                    true => runner.cut_link(0),
                    false => runner.heal_link(0),
                }
            }
        }
        let at = |machine: usize, id: u64| {
            let (record, front) = (Arc::clone(record), machines.machines[machine].front);
            let id = format!("{id:016x}");
            let name = id.clone();
            let thread = spawn(move || {
                record.line(&format!("{id} sent to machine {machine}"));
                let headers = [
                    ("Host", "desk.example".to_owned()),
                    ("X-Request-Id", id.clone()),
                    ("X-Deadline-Ms", "1500".to_owned()),
                ];
                let headers = headers.map(|(name, value)| (name.to_owned(), value));
                let time = Duration::from_millis(1_500);
                let answer = call(front, "GET", "/desk/x", &headers, b"", time);
                record.line(&format!("{id} answered: {}", answer.status));
            });
            (thread, name)
        };
        let (thread, name) = at(0, 0x1000_0000 + number);
        sent.push((now, name));
        threads.push(thread);
        for other in 1..=2 {
            let more = OTHERS_PER_S as f64 / PER_S as f64 + unit(number * 2 + other);
            for one in 0..more as u64 {
                let id = 0x2000_0000 + (number * 2 + other) * 8 + one;
                threads.push(at(other as usize, id).0);
            }
        }
        number += 1;
        let next = start + number * 1_000 / PER_S;
        sleep(Duration::from_millis(next.saturating_sub(record.now_ms())));
    }
    threads.into_iter().for_each(|one| one.join().unwrap());
    let runs = fleet.runs.lock().unwrap().clone();
    let mut runners: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for Run {
        request, runner, ..
    } in &runs
    {
        runners.entry(request).or_default().insert(runner);
    }
    let is_over = |id: &str| runners.get(id).is_some_and(|on| on.len() > ATTEMPTS);
    // Requests during whose whole time no link was cut.
    let is_calm = |at: u64| at % CYCLE_MS >= CUT_MS + 50 && at % CYCLE_MS <= CYCLE_MS - 1_500;
    let over: Vec<_> = sent.iter().filter(|(_, id)| is_over(id)).collect();
    let calm = over.iter().filter(|(at, _)| is_calm(*at)).count();
    for (at, id) in &over {
        let on = &runners[id.as_str()];
        record.line(&format!(
            "{id}, sent at {:.3}, ran on {on:?}",
            (start + at) as f64 / 1_000.0
        ));
    }
    record.say(&format!(
        "{} requests; on more than {ATTEMPTS} runners ran {}, {calm} of them sent and ended while no \
         link was cut (allowed: 3)",
        sent.len(),
        over.len()
    ));
    world.end(machines, calm > 3)
}
