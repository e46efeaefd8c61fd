//! Tests of the calls that hosts make while the store is unavailable.

use super::schedules::Randomness;
use super::support::at_ms;
use lagoonlift_policy::dispatch::{ProbeRole, StoreBackoff, StorePermit};

/// Tasks of a host that call the store.
const TASKS: usize = 3;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;
/// Time after which the failure of a call is known, in milliseconds.
const CALL_MS: u64 = 20;
/// Hosts that read the store for others.
const READERS: usize = 4;
/// Time until the report of a reader has reached all hosts, in milliseconds.
const REPORT_MS: u64 = 250;
/// Start and end of the outage, in milliseconds.
const OUTAGE: std::ops::Range<u64> = 1_000..9_000;

/// What a simulated outage cost.
#[derive(Debug, Default)]
struct OutageResult {
    failed_calls: u64,
    /// Calls in the second in which most were made, after the first second.
    most_per_second: u64,
    /// Times from the end of the outage until each host got a response, sorted.
    return_ms: Vec<u64>,
    /// Most hosts that got a response within 100 ms.
    most_returning: usize,
}

struct SimulatedHost {
    backoff: StoreBackoff,
    role: ProbeRole,
    /// Tasks that wait for a permit.
    waiting: usize,
    /// Calls in flight, with the time at which the result is known.
    calls: Vec<(u64, StorePermit)>,
    returned_ms: Option<u64>,
}

/// Simulates an outage of the store for the hosts for which `is_affected` is true. Each
/// host has `TASKS` watches open when it begins, which all fail.
fn simulate_outage(hosts: usize, seed: u64, is_affected: impl Fn(usize) -> bool) -> OutageResult {
    let mut randomness = Randomness::new(seed);
    let mut random = move || randomness.below(1_000) as f64 / 1_000.0;
    let mut all: Vec<SimulatedHost> = (0..hosts)
        .map(|number| SimulatedHost {
            backoff: StoreBackoff::new(),
            role: match number < READERS || hosts < 20 {
                true => ProbeRole::Reader,
                false => ProbeRole::Follower,
            },
            waiting: 0,
            calls: vec![(OUTAGE.start, StorePermit::Call); TASKS],
            returned_ms: None,
        })
        .collect();
    let mut result = OutageResult::default();
    let mut per_second = vec![0_u64; 30];
    let mut reader_since = None;
    for now in (OUTAGE.start..OUTAGE.end + 12_000).step_by(STEP_MS as usize) {
        let is_reported =
            !is_affected(0) || reader_since.is_some_and(|since| now >= since + REPORT_MS);
        for (number, host) in all
            .iter_mut()
            .enumerate()
            .filter(|(number, _)| is_affected(*number))
        {
            host.backoff
                .record_readers(at_ms(now), is_reported, random());
            let done: Vec<(u64, StorePermit)> =
                host.calls.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, permit) in done {
                match OUTAGE.contains(&now) {
                    true => {
                        result.failed_calls += 1;
                        host.backoff.record_failure(
                            at_ms(now),
                            permit,
                            host.role,
                            is_reported,
                            random(),
                        );
                        host.waiting += 1;
                    }
                    false => {
                        host.backoff.record_success();
                        host.returned_ms.get_or_insert(now - OUTAGE.end);
                        if number < READERS {
                            reader_since.get_or_insert(now);
                        }
                    }
                }
            }
            while host.waiting > 0 {
                let permit = host.backoff.permit(at_ms(now));
                if permit == StorePermit::Wait {
                    break;
                }
                host.waiting -= 1;
                host.calls.push((now + CALL_MS, permit));
                if now > OUTAGE.start + 1_000 && OUTAGE.contains(&now) {
                    per_second[(now / 1_000) as usize] += 1;
                }
            }
        }
    }
    result.most_per_second = per_second.into_iter().max().unwrap_or(0);
    let affected = all
        .iter()
        .enumerate()
        .filter(|(number, _)| is_affected(*number));
    result.return_ms = affected
        .map(|(_, host)| host.returned_ms.expect("every host gets a response"))
        .collect();
    result.return_ms.sort_unstable();
    result.most_returning = result
        .return_ms
        .iter()
        .map(|start| {
            let slot = start..&(start + 100);
            result
                .return_ms
                .iter()
                .filter(|ms| slot.contains(ms))
                .count()
        })
        .max()
        .unwrap_or(0);
    result
}

/// The store is away for 8 s for all of 195 hosts. The calls per second stay below one a
/// host, where every task of every host made five, and all hosts use the store again
/// within a second and a half, without a burst.
#[test]
fn store_outage_is_probed_by_a_few_hosts() {
    for seed in 0..20 {
        let result = simulate_outage(195, seed, |_| true);
        assert!(
            result.failed_calls < 195 * TASKS as u64 + 195 * 8,
            "{result:?}"
        );
        assert!(result.most_per_second <= 195, "{result:?}");
        assert!(result.return_ms.last() <= Some(&1_500), "{result:?}");
        assert!(result.most_returning <= 195 / 3, "{result:?}");
    }
}

/// The store refuses a third of the hosts, and not the readers, of which the others hear
/// all the while. The refused hosts probe by themselves, ever less often, and return
/// within the longest delay.
#[test]
fn refused_hosts_probe_by_themselves() {
    for seed in 0..20 {
        let result = simulate_outage(195, seed, |number| number % 3 == 1);
        assert!(result.failed_calls < 65 * (TASKS as u64 + 9), "{result:?}");
        assert!(result.return_ms.last() <= Some(&2_100), "{result:?}");
    }
}

/// The hosts of a small deployment probe often, so that they know soon which upstreams
/// drain; each makes at most seven calls a second, where its three tasks made fifteen.
#[test]
fn small_deployment_returns_at_once() {
    for seed in 0..20 {
        let result = simulate_outage(6, seed, |_| true);
        assert!(result.most_per_second <= 6 * 7, "{result:?}");
        assert!(result.return_ms.last() <= Some(&350), "{result:?}");
    }
}
