//! A key is taken away. Seconds later the store comes back from a copy from before that, and a
//! machine is killed and starts again.

use crate::World;
use crate::http::call;
use crate::runner::{Fleet, Nature};
use serde_json::json;
use std::collections::HashSet;
use std::env;
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
const REVOKE_MS: u64 = 5_000;

const OLD_KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// When, counted from the acknowledgement of the configuration that takes the key away, the store
/// goes away and comes back, the machine is killed and starts again, and the operator writes the
/// configuration again; and the end.
const AWAY_MS: u64 = 6_000;
const KILL_MS: u64 = 6_700;
const BACK_MS: u64 = 7_000;
const START_MS: u64 = 7_100;
const WRITE_MS: u64 = 9_000;
const END_MS: u64 = 14_000;

/// Time between two requests with the key, at each machine.
const GAP_MS: u64 = 100;

pub fn play(world: &World) -> ! {
    let record = &world.record;
    let routes = json!([{"name": "status", "host": "desk.example", "prefix": "/desk/",
        "kind": "idempotent", "attempts": 2, "timeoutMs": 2000, "targetLatencyMs": 300,
        "priority": 2, "service": "desk"}]);
    let services = json!([{"name": "desk", "maxConnections": 110}]);
    let tenants = |keys: &[&str]| {
        json!([{"name": "huka270", "apiKeys": keys},
        {"name": "puhu251", "apiKeys": ["9pq3kfexd9dnn2ctn4ab"]}])
    };
    let with_key = tenants(&[OLD_KEY, "7c1wu3fexd9dnn2ctn00"]);
    let without_key = tenants(&["7c1wu3fexd9dnn2ctn00"]);
    world.configure_tenants(4, routes.clone(), services.clone(), with_key);
    let fleet = Fleet::start("desk", &[None; 3], 3, NATURE, &world.store, record);
    let mut machines = world.start_machines(&[&fleet]);
    let copy = world.store.copy();
    sleep(Duration::from_millis(1_000));
    world.configure_tenants(7, routes.clone(), services.clone(), without_key.clone());
    let start = record.now_ms();
    record.line("version 7, which takes the key away, is acknowledged");
    let fronts: Vec<_> = machines.machines.iter().map(|one| one.front).collect();
    let client = {
        let record = Arc::clone(record);
        spawn(move || {
            let (mut sent, mut threads, mut number) = (Vec::new(), Vec::new(), 0_u64);
            while record.now_ms() - start < END_MS {
                for (machine, front) in fronts.iter().copied().enumerate() {
                    let id = format!("{:016x}", 0x1000 + number * 4 + machine as u64);
                    sent.push((record.now_ms() - start, machine, id.clone()));
                    let record = Arc::clone(&record);
                    threads.push(spawn(move || {
                        record.line(&format!("{id} sent to machine {machine} with the old key"));
                        let headers = [
                            ("Host", "desk.example".to_owned()),
                            ("X-Request-Id", id.clone()),
                            ("X-Deadline-Ms", "1500".to_owned()),
                            ("Authorization", format!("Bearer {OLD_KEY}")),
                        ];
                        let headers = headers.map(|(name, value)| (name.to_owned(), value));
                        let time = Duration::from_millis(1_500);
                        let answer = call(front, "GET", "/desk/x", &headers, b"", time);
                        record.line(&format!("{id} answered: {}", answer.status));
                    }));
                }
                number += 1;
                let next = start + number * GAP_MS;
                sleep(Duration::from_millis(next.saturating_sub(record.now_ms())));
            }
            threads.into_iter().for_each(|one| one.join().unwrap());
            sent
        })
    };
    let wait_until = |at: u64| {
        sleep(Duration::from_millis(
            (start + at).saturating_sub(record.now_ms()),
        ));
    };
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let (has_drill, has_kill) = (
        world.has_trouble || trouble == "drill",
        world.has_trouble || trouble == "kill",
    );
    if has_drill {
        wait_until(AWAY_MS);
        record.line("the store is away");
        machines
            .paths
            .iter()
            .for_each(|one| one.is_cut.store(true, Ordering::SeqCst));
    }
    if has_kill {
        wait_until(KILL_MS);
        record.line("machine 0 is killed");
        machines.machines[0].kill();
    }
    if has_drill {
        wait_until(BACK_MS);
        record.line("the store is back from a copy, which has version 4");
        world.store.restore(copy);
        machines
            .paths
            .iter()
            .for_each(|one| one.is_cut.store(false, Ordering::SeqCst));
    }
    if has_kill {
        wait_until(START_MS);
        record.line("machine 0 starts again");
        machines.machines[0].start_again();
    }
    if has_drill {
        wait_until(WRITE_MS);
        record.line("the operator writes version 7 again");
        world.configure_tenants(7, routes, services, without_key);
    }
    let sent = client.join().unwrap();
    let runs = fleet.runs.lock().unwrap().clone();
    let ran: HashSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let late: Vec<_> = sent
        .iter()
        .filter(|(at, _, id)| *at > REVOKE_MS && ran.contains(id.as_str()))
        .collect();
    for (at, machine, id) in &late {
        record.line(&format!(
            "{id}, sent {at} ms after the acknowledgement to machine {machine}, ran"
        ));
    }
    let of_late = sent.iter().filter(|(at, ..)| *at > REVOKE_MS).count();
    record.say(&format!(
        "{} of {of_late} requests with the key ran that were sent later than {REVOKE_MS} ms after the \
         acknowledgement (allowed: 0)",
        late.len()
    ));
    world.end(machines, !late.is_empty())
}
