//! Tests of the share of a host in the rate that an upstream states, from few hosts to
//! hundreds: the rate is kept, and it is used.

use super::support::{SERVICE, at_ms, engine, key_of, table_of};
use lagoonlift_policy::dispatch::{
    EngineRole, HostPosition, RateSharing, RateStatement, UpstreamTable,
};

/// Numbers of hosts, up to that of the largest deployment.
const SIZES: [usize; 4] = [6, 30, 195, 757];
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;
/// Length of a simulation, in milliseconds.
const LENGTH_MS: u64 = 20_000;
/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Unix time at the start, in microseconds.
const START_UNIX_US: i64 = 1_772_271_000_000_000;

/// Returns the tables of hosts that know of the same rate.
fn hosts(count: usize, per_second: f64) -> Vec<UpstreamTable> {
    let table_at = |position: usize| {
        let record = engine(0, EngineRole::Decode);
        let mut table = table_of(vec![record.clone()]);
        let statement = RateStatement {
            per_second: Some(per_second),
            sent_at: at_ms(0),
            answered_at: at_ms(1),
        };
        table.record_stated_rate(at_ms(1), &record, statement);
        table.set_rate_sharing(RateSharing {
            host: Some(HostPosition {
                position,
                hosts: count,
            }),
            unix_offset_us: START_UNIX_US,
        });
        table
    };
    (0..count).map(table_at).collect()
}

/// Returns the requests of all hosts in each step. Each host has one to send in one of
/// `interval` steps.
fn sends(hosts: &mut [UpstreamTable], interval: usize) -> Vec<u32> {
    let steps = LENGTH_MS / STEP_MS;
    let in_step = |step: u64| {
        let now = at_ms(1_000 + step * STEP_MS);
        let mut count = 0;
        for (number, table) in hosts.iter_mut().enumerate() {
            let has_request = (step as usize + number).is_multiple_of(interval);
            let is_usable = table.usable(SERVICE, now).next().is_some();
            if has_request && is_usable && table.take_rate_share(now, key_of(table, 0)) {
                count += 1;
            }
        }
        count
    };
    (0..steps).map(in_step).collect()
}

fn most_in_a_window(sends: &[u32]) -> u32 {
    let steps = (WINDOW_MS / STEP_MS) as usize;
    let windows = sends.windows(steps).map(|window| window.iter().sum());
    windows.max().unwrap_or(0)
}

/// Guards against shares that add up to more than the rate, or that are nothing at all where
/// a host's part is less than a request: with hosts that always have requests, at least
/// eight tenths of the rate are used, and never more than one and a half times the rate and
/// five requests in a window.
#[test]
fn rate_is_kept_and_used_at_all_sizes() {
    for count in SIZES {
        for rate in [0.5, 2.0, 7.6, 40.0, 900.0] {
            let sends = sends(&mut hosts(count, rate), 1);
            let most = most_in_a_window(&sends);
            let allowed = 1.5 * rate * WINDOW_MS as f64 / 1e3 + 5.0;
            assert!(f64::from(most) <= allowed, "{count} hosts, {rate}: {most}");
            let sent: u32 = sends.iter().sum();
            // One request a step and host is the most that the simulation sends.
            let possible = (rate * LENGTH_MS as f64 / 1e3).min(sends.len() as f64 * count as f64);
            let used = f64::from(sent) / possible;
            println!("{count} hosts, {rate}/s: at most {most} in 4 s, {used:.2} used");
            assert!(used >= 0.8, "{count} hosts, {rate}: {used}");
        }
    }
}

/// Guards against a small rate that lapses because it is dealt out to hosts that have
/// nothing to send: each host has a request a second.
#[test]
fn small_rate_is_used_by_hosts_with_few_requests() {
    for count in SIZES {
        let sends = sends(&mut hosts(count, 5.0), 20);
        let sent: u32 = sends.iter().sum();
        let used = f64::from(sent) / (5.0 * LENGTH_MS as f64 / 1e3);
        println!("{count} hosts with a request a second, 5/s: {used:.2} used");
        assert!(used >= 0.7, "{count} hosts: {used}");
    }
}

/// Guards against a paused host, or one without requests, that has many in store
/// afterwards: it may send no more at once than in any other second.
#[test]
fn share_that_is_not_used_lapses() {
    let mut hosts = hosts(1, 10.0);
    let table = &mut hosts[0];
    let key = key_of(table, 0);
    let now = at_ms(3_600_000);
    let sent = (0..1_000).filter(|_| table.take_rate_share(now, key));
    assert!(sent.count() <= 10);
}
