//! Tests of usage counts and the wall clock during restarts, partitions and clock
//! steps.

use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{
    HostCounts, SumTimeouts, UsageCounts, UsageWindow, WallClock, WindowCounts, sum_window,
};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

const WINDOW_US: i64 = 5_000_000;
const TIMEOUTS: SumTimeouts = SumTimeouts {
    max_wait_us: 7_500_000,
    silent_host_us: 9_000_000,
};

fn counts(count: u64) -> WindowCounts {
    WindowCounts::from([("w".to_owned(), count)])
}

fn host(unix_us: i64, windows: &[(u64, u64)]) -> HostCounts {
    HostCounts {
        start_id: 1,
        unix_us,
        peer_address: None,
        windows: windows
            .iter()
            .map(|(window, count)| (*window, counts(*count)))
            .collect(),
        earlier: BTreeMap::new(),
    }
}

quickcheck! {
    /// Each request that any incarnation of a host has published is counted exactly
    /// once, whatever the number of restarts.
    fn restarts_count_each_request_once(incarnations: Vec<Vec<u8>>) -> bool {
        let mut total = 0;
        let mut earlier = BTreeMap::new();
        let mut last = host(0, &[]);
        for windows in incarnations {
            let mut usage = UsageCounts::new(WINDOW_US);
            for window in &windows {
                usage.count(i64::from(window % 3) * WINDOW_US, "w");
                total += u64::from(window % 3 == 1);
            }
            let recent = usage.recent(2 * WINDOW_US).clone();
            last = HostCounts {
                windows: recent.into_iter().map(|(window, counts)| (window.0, counts)).collect(),
                earlier,
                ..host(0, &[])
            };
            earlier = last.carry_over(UsageWindow(0));
        }
        let sum = sum_window(&[last], UsageWindow(1), 0, 0, TIMEOUTS);
        let counted = sum.map_or(0, |sum| sum.values().sum());
        counted == total
    }
}

/// A host that is partitioned from the store is waited for up to the maximum wait.
#[test]
fn partitioned_host_is_waited_for() {
    let end_us = 2 * WINDOW_US;
    let hosts = [host(end_us + 100, &[(1, 10)]), host(end_us - 1, &[(1, 5)])];
    let sum = |unix_us| sum_window(&hosts, UsageWindow(1), end_us, unix_us, TIMEOUTS);
    assert_eq!(sum(end_us + 2_000_000), None);
    assert_eq!(sum(end_us + 7_600_000), Some(counts(15)));
}

/// A host that has not published for 9 s, such as a replaced one, does not delay the sum.
#[test]
fn removed_host_is_not_waited_for() {
    let end_us = 4 * WINDOW_US;
    let hosts = [
        host(end_us + 100, &[(3, 10)]),
        host(end_us - 9_000_000, &[]),
    ];
    let sum = sum_window(&hosts, UsageWindow(3), end_us, end_us + 2_000_000, TIMEOUTS);
    assert_eq!(sum, Some(counts(10)));
}

/// The derived time does not follow steps of the system clock.
#[test]
fn time_of_day_ignores_steps_after_the_start() {
    let clock = WallClock::new(at_ms(0), 1_000_000_000);
    assert_eq!(clock.unix_us(at_ms(10)), 1_000_010_000);
}

/// A process that starts while its system clock is wrong adopts the time of its peers.
/// The clock of a single peer is not enough for that.
#[test]
fn process_started_during_a_step_adopts_the_median() {
    let mut clock = WallClock::new(at_ms(0), 1_002_400_000);
    clock.record_peer(1, at_ms(0), at_ms(2), 1_000_001_000);
    assert_eq!(clock.synchronize(at_ms(2)), None);
    clock.record_peer(2, at_ms(0), at_ms(2), 1_000_051_000);
    assert_eq!(clock.synchronize(at_ms(2)), Some(-2_350_000));
    assert_eq!(clock.unix_us(at_ms(2)), 1_000_052_000);
}

/// A minority of hosts with stepped clocks must not change a correct clock.
#[test]
fn minority_of_stepped_clocks_changes_nothing() {
    let mut clock = WallClock::new(at_ms(0), 1_000_000_000);
    for (peer, unix_us) in [(1, 1_002_400_000), (2, 1_000_000_000), (3, 1_002_400_000)] {
        clock.record_peer(peer, at_ms(0), at_ms(0), unix_us);
    }
    clock.record_peer(4, at_ms(0), at_ms(0), 1_000_010_000);
    assert_eq!(clock.synchronize(at_ms(0)), None);
}

/// After a store outage, earlier responses of the peers are seconds old and are
/// ignored.
#[test]
fn old_responses_are_ignored() {
    let mut clock = WallClock::new(at_ms(0), 1_000_000_000);
    for peer in 0..3 {
        clock.record_peer(peer, at_ms(0), at_ms(0), 992_000_000);
    }
    assert_eq!(clock.synchronize(at_ms(8_000)), None);
}
