//! Tests of usage counts and the wall clock during restarts, partitions and clock
//! steps.

use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{
    HostCounts, PublishedCounts, SumTimeouts, UsageCopies, UsageCopy, UsageCounts, UsageWindow,
    WallClock, WindowCounts, sum_window,
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

/// Adds the names of the hosts to their counts.
fn published(hosts: &[HostCounts]) -> Vec<PublishedCounts> {
    let named = hosts
        .iter()
        .enumerate()
        .map(|(number, counts)| PublishedCounts {
            host: format!("h{number}"),
            counts: counts.clone(),
        });
    named.collect()
}

fn copy_of(host: usize, unix_us: i64, window: u64, count: u64) -> UsageCopy {
    UsageCopy {
        host: format!("h{host}"),
        start_id: 1,
        unix_us,
        window,
        counts: counts(count),
        is_unpublished: false,
    }
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
        incarnations: BTreeMap::new(),
        copies: Vec::new(),
    }
}

quickcheck! {
    /// Each request that any incarnation of a host has published is counted exactly
    /// once, whatever the number of restarts.
    fn restarts_count_each_request_once(incarnations: Vec<Vec<u8>>) -> bool {
        let mut total = 0;
        let mut earlier = BTreeMap::new();
        let mut last = host(0, &[]);
        for (start_id, windows) in incarnations.into_iter().enumerate() {
            let mut usage = UsageCounts::new(WINDOW_US);
            for window in &windows {
                usage.count(i64::from(window % 3) * WINDOW_US, "w");
                total += u64::from(window % 3 == 1);
            }
            let recent = usage.recent(2 * WINDOW_US).clone();
            last = HostCounts {
                start_id: start_id as i64,
                windows: recent.into_iter().map(|(window, counts)| (window.0, counts)).collect(),
                incarnations: earlier,
                ..host(0, &[])
            };
            earlier = last.carry_over(UsageWindow(0));
        }
        let sum = sum_window(&published(&[last]), UsageWindow(1), 0, 0, TIMEOUTS);
        let counted = sum.map_or(0, |sum| sum.values().sum());
        counted == total
    }
}

/// A host that is partitioned from the store is waited for up to the maximum wait.
#[test]
fn partitioned_host_is_waited_for() {
    let end_us = 2 * WINDOW_US;
    let hosts = [host(end_us + 100, &[(1, 10)]), host(end_us - 1, &[(1, 5)])];
    let hosts = published(&hosts);
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
    let hosts = published(&hosts);
    let sum = sum_window(&hosts, UsageWindow(3), end_us, end_us + 2_000_000, TIMEOUTS);
    assert_eq!(sum, Some(counts(10)));
}

/// A third of the hosts is cut off from the store when a window ends, and their last
/// publications are from the window before. Peers publish their counts for them, so the
/// sum is complete and isn't delayed.
#[test]
fn peers_publish_the_counts_of_hosts_without_a_store() {
    let end_us = 2 * WINDOW_US;
    let mut copies = UsageCopies::new();
    for number in 4..6 {
        let copy = copy_of(number, end_us + 1_000, 1, 7);
        copies.record(
            at_ms(0),
            UsageCopy {
                is_unpublished: true,
                ..copy
            },
        );
    }
    let mut hosts: Vec<HostCounts> = (0..6)
        .map(|number| match number < 4 {
            true => host(end_us + 100, &[(1, 10)]),
            false => host(end_us - WINDOW_US + 200, &[(0, 9)]),
        })
        .collect();
    let sum = |hosts: &[HostCounts]| {
        sum_window(
            &published(hosts),
            UsageWindow(1),
            end_us,
            end_us + 2_000_000,
            TIMEOUTS,
        )
    };
    assert_eq!(sum(&hosts), None);
    hosts[0].copies = copies.due(at_ms(10));
    assert_eq!(sum(&hosts), Some(counts(4 * 10 + 2 * 7)));
}

/// A host is killed in the middle of a window and starts again at once. What it had
/// counted since its last publication is known from its last copy at a peer.
#[test]
fn counts_of_a_killed_host_are_known_from_its_last_copy() {
    let end_us = 2 * WINDOW_US;
    let mut copies = UsageCopies::new();
    copies.record(at_ms(0), copy_of(1, end_us - 1_500_000, 1, 30));
    copies.record(at_ms(900), copy_of(1, end_us - 600_000, 1, 48));
    assert!(copies.due(at_ms(2_000)).is_empty());
    let mut restarted = host(end_us + 100, &[(1, 5)]);
    restarted.start_id = 2;
    restarted.incarnations = host(end_us - 4_000_000, &[(1, 12)]).carry_over(UsageWindow(0));
    let mut peer = host(end_us + 100, &[(1, 10)]);
    peer.copies = copies.due(at_ms(3_500));
    let hosts = published(&[peer, restarted]);
    let sum = sum_window(&hosts, UsageWindow(1), end_us, end_us + 2_000_000, TIMEOUTS);
    assert_eq!(sum, Some(counts(10 + 48 + 5)));
}

quickcheck! {
    /// Copies at any peers, early or late and published needlessly, count no request
    /// twice: the sum is that of the latest counts of each host.
    fn needless_copies_change_no_sum(copied: Vec<(u8, u8, u8)>) -> bool {
        let end_us = 2 * WINDOW_US;
        let mut hosts: Vec<HostCounts> = (0..4).map(|_| host(end_us, &[(1, 50)])).collect();
        let mut latest = [50_u64; 4];
        for (holder, owner, count) in copied {
            let owner = usize::from(owner % 4);
            let copy = copy_of(owner, end_us - 1, 1, u64::from(count % 80));
            latest[owner] = latest[owner].max(u64::from(count % 80));
            hosts[usize::from(holder % 4)].copies.push(copy);
        }
        let sum = sum_window(&published(&hosts), UsageWindow(1), end_us, end_us, TIMEOUTS);
        sum == Some(counts(latest.iter().sum()))
    }
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
