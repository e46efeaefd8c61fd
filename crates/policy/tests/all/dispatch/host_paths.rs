//! Tests of hosts that are cut off from upstreams that others reach.

use super::schedules::Randomness;
use super::support::{SERVICE, at_ms};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{HostPaths, PathSign};
use slotmap::SlotMap;
use std::net::SocketAddr;

/// Requests of the host in flight, in tests that don't depend on them.
const IN_FLIGHT: u32 = 10;

fn keys(count: usize) -> Vec<UpstreamKey> {
    let mut upstreams: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    (0..count).map(|_| upstreams.insert(())).collect()
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host as u8], 7_662))
}

/// Returns the paths of hosts in the data centres, which know the upstreams and reached them
/// at 0 ms.
fn hosts(data_centres: &[&str], upstreams: &[UpstreamKey]) -> Vec<HostPaths> {
    let new = |data_centre: &&str| {
        let mut paths = HostPaths::new(data_centre);
        paths.set_serving(SERVICE, upstreams.to_vec());
        paths.record(at_ms(0), SERVICE, upstreams[0], PathSign::Reached);
        paths
    };
    data_centres.iter().map(new).collect()
}

/// Lets each host hear from the others.
fn exchange(hosts: &mut [HostPaths], now: u64) {
    let notices: Vec<_> = hosts
        .iter()
        .map(|host| host.notice(at_ms(now), IN_FLIGHT))
        .collect();
    for (to, host) in hosts.iter_mut().enumerate() {
        for (from, notice) in notices.iter().enumerate() {
            if from != to {
                host.record_notice(at_ms(now), address(from), notice.clone());
            }
        }
    }
}

fn target(host: &HostPaths, now: u64) -> Option<SocketAddr> {
    host.relay_target(at_ms(now), SERVICE, &[], [0.3, 0.7])
}

/// Guards against a host that refuses its callers although others reach the upstreams.
#[test]
fn host_that_alone_fails_is_cut_off() {
    let upstreams = keys(4);
    let mut hosts = hosts(&["a", "a", "b"], &upstreams);
    for upstream in &upstreams[..3] {
        hosts[0].record(at_ms(1_000), SERVICE, *upstream, PathSign::Failed);
    }
    // What the others reached before the cut shows nothing.
    exchange(&mut hosts, 1_010);
    assert!(!hosts[0].is_cut_off(at_ms(1_010), SERVICE));
    hosts[1].record(at_ms(1_050), SERVICE, upstreams[1], PathSign::Reached);
    exchange(&mut hosts, 1_060);
    assert!(hosts[0].is_cut_off(at_ms(1_060), SERVICE));
    assert_eq!(target(&hosts[0], 1_060), Some(address(1)));
    assert!(!hosts[1].is_cut_off(at_ms(1_060), SERVICE));
    for upstream in &upstreams[..2] {
        hosts[0].record(at_ms(1_500), SERVICE, *upstream, PathSign::Reached);
    }
    assert!(!hosts[0].is_cut_off(at_ms(1_500), SERVICE));
}

/// Guards against hosts that send requests to each other while all upstreams are down, or all
/// hosts are cut off.
#[test]
fn hosts_that_all_fail_send_nothing_to_each_other() {
    let upstreams = keys(4);
    let mut hosts = hosts(&["a", "a", "b"], &upstreams);
    for host in &mut hosts {
        for upstream in &upstreams {
            host.record(at_ms(1_000), SERVICE, *upstream, PathSign::Failed);
        }
    }
    exchange(&mut hosts, 1_010);
    for host in &hosts {
        assert!(!host.is_cut_off(at_ms(1_010), SERVICE));
        assert!(host.is_out_of_reach(SERVICE));
        assert_eq!(target(host, 1_010), None);
    }
}

/// Guards against a host that sends its requests elsewhere because one upstream crashed, or
/// because of upstreams that have left the list.
#[test]
fn crashed_upstreams_are_no_cut() {
    let upstreams = keys(6);
    let mut hosts = hosts(&["a", "b"], &upstreams);
    for upstream in &upstreams[..2] {
        hosts[0].record(at_ms(1_000), SERVICE, *upstream, PathSign::Failed);
    }
    hosts[1].record(at_ms(1_050), SERVICE, upstreams[5], PathSign::Reached);
    exchange(&mut hosts, 1_060);
    assert!(!hosts[0].is_cut_off(at_ms(1_060), SERVICE));
    hosts[0].record(at_ms(1_100), SERVICE, upstreams[2], PathSign::Failed);
    assert!(hosts[0].is_cut_off(at_ms(1_100), SERVICE));
    hosts[0].set_serving(SERVICE, upstreams[2..].to_vec());
    assert!(!hosts[0].is_cut_off(at_ms(1_100), SERVICE));
}

/// Guards against requests to a host that has ended, stops, or is cut off itself.
#[test]
fn only_hosts_that_say_so_get_requests() {
    let upstreams = keys(3);
    let mut hosts = hosts(&["a", "a", "a"], &upstreams);
    exchange(&mut hosts, 10);
    assert!(target(&hosts[0], 10).is_some());
    assert_eq!(target(&hosts[0], 600), None);
    for upstream in &upstreams {
        hosts[1].record(at_ms(650), SERVICE, *upstream, PathSign::Failed);
    }
    exchange(&mut hosts, 700);
    assert_eq!(target(&hosts[0], 700), Some(address(2)));
    let tried = [address(2)];
    let other = hosts[0].relay_target(at_ms(700), SERVICE, &tried, [0.1, 0.9]);
    assert_eq!(other, None);
}

/// Returns the busiest host's share of the requests of three hosts that are cut off, over the
/// mean of the three others in the same data centre. `choose` gets the hosts' requests of 100 ms
/// ago.
fn busiest_over_mean(choose: impl Fn(&HostPaths, u64, [f64; 2]) -> usize) -> f64 {
    let upstreams = keys(4);
    let mut hosts = hosts(&["a"; 6], &upstreams);
    let mut randomness = Randomness::new(7);
    let mut draw = || randomness.below(1_000_000) as f64 / 1_000_000.0;
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut in_flight = [0_u32; 6];
    let mut taken = [0_u32; 6];
    for now in 1..20_000 {
        let now_at = at_ms(now);
        ends.retain(|(end, host)| {
            let is_running = *end > now;
            if !is_running {
                in_flight[*host] -= 1;
            }
            is_running
        });
        if now.is_multiple_of(100) {
            for host in 3..6 {
                hosts[host].record(now_at, SERVICE, upstreams[0], PathSign::Reached);
                let notice = hosts[host].notice(now_at, in_flight[host]);
                hosts[0].record_notice(now_at, address(host), notice);
            }
        }
        if now > 100 && now.is_multiple_of(5) {
            let host = choose(&hosts[0], now, [draw(), draw()]);
            in_flight[host] += 1;
            taken[host] += 1;
            ends.push((now + 60 + (draw() * 240.0) as u64, host));
        }
    }
    let busiest = f64::from(taken.into_iter().max().unwrap_or(0));
    busiest * 3.0 / f64::from(taken.iter().sum::<u32>())
}

/// Guards against all requests of the hosts that are cut off going to one other host. The rule
/// is compared with one that takes the same host each time.
#[test]
fn requests_of_a_cut_off_host_are_shared_by_the_others() {
    let host_of =
        |address: SocketAddr| (0..6).find(|host| super::host_paths::address(*host) == address);
    let by_rule = busiest_over_mean(|host, now, draws| {
        let target = host.relay_target(at_ms(now), SERVICE, &[], draws);
        target.and_then(host_of).expect("a host")
    });
    let always_first = busiest_over_mean(|host, now, _| {
        let target = host.relay_target(at_ms(now), SERVICE, &[], [0.0, 0.0]);
        target.and_then(host_of).expect("a host")
    });
    assert!(by_rule <= 1.25, "{by_rule}");
    assert!(by_rule < always_first, "{by_rule}, first {always_first}");
}

/// Guards against bytes between data centres while a near host has room, and against a near
/// host that gets more than it can carry.
#[test]
fn busy_hosts_nearby_are_relieved_by_others() {
    let upstreams = keys(3);
    let mut hosts = hosts(&["a", "a", "b"], &upstreams);
    let mut chosen = |near_in_flight| {
        let near = hosts[1].notice(at_ms(10), near_in_flight);
        let far = hosts[2].notice(at_ms(10), IN_FLIGHT);
        hosts[0].record_notice(at_ms(10), address(1), near);
        hosts[0].record_notice(at_ms(10), address(2), far);
        target(&hosts[0], 10)
    };
    assert_eq!(chosen(60), Some(address(1)));
    assert_eq!(chosen(500), Some(address(2)));
}

/// Guards against a host with many upstreams that takes long to find out that it is cut off: the
/// platform's rule counts from three seconds on, and an attempt that hangs takes 400 ms.
#[test]
fn time_to_find_out_hardly_grows_with_the_upstreams() {
    for count in [1, 9, 95, 250] {
        let upstreams = keys(count);
        let mut hosts = hosts(&["a", "b"], &upstreams);
        hosts[0].record(at_ms(1_000), SERVICE, upstreams[0], PathSign::Failed);
        let mut now = 1_000;
        while hosts[0].is_undecided(SERVICE) {
            now += 400;
            let trials = hosts[0].trials(SERVICE);
            assert!(trials <= 32, "{trials} connections at a time");
            for upstream in hosts[0].serving(SERVICE).into_iter().take(trials) {
                hosts[0].record(at_ms(now), SERVICE, upstream, PathSign::Failed);
            }
        }
        hosts[1].record(at_ms(now), SERVICE, upstreams[0], PathSign::Reached);
        exchange(&mut hosts, now);
        assert!(hosts[0].is_cut_off(at_ms(now), SERVICE), "{count}");
        assert!(now <= 4_000, "{count} upstreams: {now} ms");
    }
}

/// Guards against many connections on each host whenever one upstream ends.
#[test]
fn one_failure_beside_others_that_are_reached_causes_few_connections() {
    let upstreams = keys(95);
    let mut host = hosts(&["a"], &upstreams).remove(0);
    assert_eq!(host.trials(SERVICE), 0);
    host.record(at_ms(1_000), SERVICE, upstreams[0], PathSign::Failed);
    assert!(host.is_undecided(SERVICE) && host.trials(SERVICE) <= 4);
    host.record(at_ms(1_100), SERVICE, upstreams[1], PathSign::Reached);
    assert!(!host.is_undecided(SERVICE) && host.trials(SERVICE) <= 2);
}
