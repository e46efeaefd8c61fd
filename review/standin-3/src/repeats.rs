//! A request that crashes runners comes again, one at a time or a few copies.

use crate::http::call;
use crate::record::Record;
use crate::runner::{Fleet, Nature};
use crate::{BAD_PATH, World};
use serde_json::json;
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
    event_gap: Duration::from_millis(20),
    slots: 6,
};

/// Bound of the users' sheet.
const CONTACT_MS: u64 = 3_000;

/// Time for which a runner is away if the request comes alone.
const AWAY_MS: u64 = 3_500;

/// Time between two times at which it comes, alone or several at once, the first one and the end.
const GAP_ALONE_MS: u64 = 1_000;
const WAVE_GAP_MS: u64 = 4_000;
const WAVES_FROM_MS: u64 = 5_000;
const END_MS: u64 = 45_000;

/// Time between two sound requests at each machine.
const GAP_MS: u64 = 100;

pub fn play(world: &World, copies: u64) -> ! {
    let record = &world.record;
    // TROUBLE=slow plays a single one with the time of several.
    let is_slow = env::var("TROUBLE").as_deref() == Ok("slow");
    let has_trouble = world.has_trouble || is_slow;
    let wave_gap_ms = match copies == 1 && !is_slow {
        true => GAP_ALONE_MS,
        false => WAVE_GAP_MS,
    };
    let attempts = if copies == 1 { 1 } else { 2 };
    let routes = json!([{"name": "status", "host": "desk.example", "prefix": "/desk/",
        "kind": "idempotent", "attempts": attempts, "timeoutMs": 2000, "targetLatencyMs": 300,
        "priority": 1, "service": "desk"}]);
    world.configure(routes, json!([{"name": "desk", "maxConnections": 110}]));
    let fleet = Fleet::start("desk", &[None; 3], 3, NATURE, &world.store, record);
    if copies == 1 {
        for runner in &fleet.runners {
            runner.keeps_id.store(true, Ordering::SeqCst);
            runner.crash_ms.store(AWAY_MS, Ordering::SeqCst);
        }
    }
    let machines = world.start_machines(&[&fleet]);
    let fronts: Vec<_> = machines.machines.iter().map(|one| one.front).collect();
    let start = record.now_ms();
    let (mut threads, mut number, mut waves) = (Vec::new(), 0_u64, 0_u64);
    while record.now_ms() - start < END_MS {
        let now = record.now_ms() - start;
        if has_trouble && now >= WAVES_FROM_MS + waves * wave_gap_ms {
            for copy in 0..copies {
                let front = fronts[waves as usize % fronts.len()];
                threads.push(send(
                    record,
                    front,
                    0xbad_0000 + waves * 16 + copy,
                    BAD_PATH,
                ));
            }
            waves += 1;
        }
        for (machine, front) in fronts.iter().enumerate() {
            let id = 0x1000 + number * 4 + machine as u64;
            threads.push(send(record, *front, id, &format!("/desk/item/{id}")));
        }
        number += 1;
        let next = start + number * GAP_MS;
        sleep(Duration::from_millis(next.saturating_sub(record.now_ms())));
    }
    threads.into_iter().for_each(|one| one.join().unwrap());
    let runs = fleet.runs.lock().unwrap().clone();
    let crashes = fleet.crashes.lock().unwrap().clone();
    record.say(&format!("{} crashes", crashes.len()));
    let Some(third) = crashes.get(2) else {
        record.say("fewer than three crashes");
        world.end(machines, false);
    };
    let late = runs
        .iter()
        .filter(|run| run.is_bad && run.at_ms > third + CONTACT_MS)
        .count();
    record.say(&format!(
        "the request reached runners {late} times later than {CONTACT_MS} ms after its third crash \
         (allowed: 3)"
    ));
    world.end(machines, late > 3)
}

fn send(record: &Arc<Record>, front: SocketAddr, id: u64, path: &str) -> JoinHandle<()> {
    let (record, path) = (Arc::clone(record), path.to_owned());
    spawn(move || {
        let id = format!("{id:016x}");
        record.line(&format!("{id} sent to {front}, {path}"));
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", "1500".to_owned()),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value));
        let answer = call(
            front,
            "GET",
            &path,
            &headers,
            b"",
            Duration::from_millis(1_500),
        );
        record.line(&format!("{id} answered: {}", answer.status));
    })
}
