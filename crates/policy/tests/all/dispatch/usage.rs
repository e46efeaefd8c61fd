//! Usage through restarts, cuts and steps of the clock.

use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{
    HostCounts, SumTimeouts, UsageCounts, UsageWindow, WallClock, WindowCounts, sum_window,
};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

const WINDOW_US: i64 = 5_000_000;
const PATIENCE: SumTimeouts = SumTimeouts {
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
    /// A host that is restarted any number of times is counted once for each
    /// request that any of its starts had published.
    fn restarts_count_each_request_once(starts: Vec<Vec<u8>>) -> bool {
        let mut total = 0;
        let mut earlier = BTreeMap::new();
        let mut last = host(0, &[]);
        for windows in starts {
            let mut ledger = UsageCounts::new(WINDOW_US);
            for window in &windows {
                ledger.count(i64::from(window % 3) * WINDOW_US, "w");
                total += u64::from(window % 3 == 1);
            }
            let recent = ledger.recent(2 * WINDOW_US).clone();
            last = HostCounts {
                windows: recent.into_iter().map(|(window, counts)| (window.0, counts)).collect(),
                earlier,
                ..host(0, &[])
            };
            earlier = last.carry_over(UsageWindow(0));
        }
        let sum = sum_window(&[last], UsageWindow(1), 0, 0, PATIENCE);
        let counted = sum.map_or(0, |sum| sum.values().sum());
        counted == total
    }
}

/// A host that is cut off from the store comes back within the patience.
#[test]
fn host_that_is_cut_off_is_waited_for() {
    let end_us = 2 * WINDOW_US;
    let hosts = [host(end_us + 100, &[(1, 10)]), host(end_us - 1, &[(1, 5)])];
    let sum = |unix_us| sum_window(&hosts, UsageWindow(1), end_us, unix_us, PATIENCE);
    assert_eq!(sum(end_us + 2_000_000), None);
    assert_eq!(sum(end_us + 7_600_000), Some(counts(15)));
}

/// A host that was replaced holds nothing up for long.
#[test]
fn host_that_is_gone_is_not_waited_for() {
    let end_us = 4 * WINDOW_US;
    let hosts = [
        host(end_us + 100, &[(3, 10)]),
        host(end_us - 9_000_000, &[]),
    ];
    let sum = sum_window(&hosts, UsageWindow(3), end_us, end_us + 2_000_000, PATIENCE);
    assert_eq!(sum, Some(counts(10)));
}

/// The system's clock jumps: the derived time doesn't.
#[test]
fn time_of_day_ignores_steps_after_the_start() {
    let clock = WallClock::new(at_ms(0), 1_000_000_000);
    assert_eq!(clock.unix_us(at_ms(10)), 1_000_010_000);
}

/// A process that starts while its clock is off takes the others' time; a single
/// other clock decides nothing.
#[test]
fn process_started_during_a_step_takes_the_majority() {
    let mut clock = WallClock::new(at_ms(0), 1_002_400_000);
    clock.record_peer(1, at_ms(0), at_ms(2), 1_000_001_000);
    assert_eq!(clock.synchronize(at_ms(2)), None);
    clock.record_peer(2, at_ms(0), at_ms(2), 1_000_051_000);
    assert_eq!(clock.synchronize(at_ms(2)), Some(-2_350_000));
    assert_eq!(clock.unix_us(at_ms(2)), 1_000_052_000);
}

/// Hosts whose clocks have jumped must not take along one that is right.
#[test]
fn minority_of_stepped_clocks_changes_nothing() {
    let mut clock = WallClock::new(at_ms(0), 1_000_000_000);
    for (peer, unix_us) in [(1, 1_002_400_000), (2, 1_000_000_000), (3, 1_002_400_000)] {
        clock.record_peer(peer, at_ms(0), at_ms(0), unix_us);
    }
    clock.record_peer(4, at_ms(0), at_ms(0), 1_000_010_000);
    assert_eq!(clock.synchronize(at_ms(0)), None);
}

/// After an outage of the store, what hosts said before it is seconds old and
/// says nothing of the time.
#[test]
fn old_answers_are_not_counted() {
    let mut clock = WallClock::new(at_ms(0), 1_000_000_000);
    for peer in 0..3 {
        clock.record_peer(peer, at_ms(0), at_ms(0), 992_000_000);
    }
    assert_eq!(clock.synchronize(at_ms(8_000)), None);
}
