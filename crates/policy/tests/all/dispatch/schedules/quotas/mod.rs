//! Tests of the quotas of workspaces under schedules of faults, and without faults.

mod simulation;

use self::simulation::{LARGE, Plan, RATE, STEP_MS, Simulation, WINDOW_MS};
use super::SCHEDULES;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{HostQuotas, QuotaLimits, QuotaRefusal, QuotaUnit};
use std::time::Duration;

fn run_faults(hosts: u64, schedules: u64) {
    for seed in 0..schedules {
        let mut simulation = Simulation::new(
            seed,
            Plan {
                hosts,
                length_ms: 18_000,
                requests_per_s: 8 + seed % 4 * 24,
                has_faults: true,
                is_single_host: seed % 5 == 0,
                unit: QuotaUnit::Tokens,
                first_ms: 0,
                is_within_quota: false,
            },
        );
        simulation.run();
        if let Err(fault) = simulation.check() {
            panic!("schedule {seed} of {hosts} hosts: {fault}");
        }
    }
}

/// Guards against two owners, and against shares of the slack that add up to more than it.
#[test]
fn quota_holds_over_6_hosts() {
    run_faults(6, SCHEDULES);
}

#[test]
fn quota_holds_over_66_hosts() {
    run_faults(66, 100);
}

#[test]
fn quota_holds_over_195_hosts() {
    run_faults(195, 30);
}

#[test]
fn quota_holds_over_757_hosts() {
    run_faults(757, 6);
}

/// Returns the plan of traffic of this share of the quota without faults.
fn sound_plan(hosts: u64, is_single_host: bool, share: f64) -> Plan {
    let mean_charge = 0.2 * 220.0 + 0.8 * LARGE as f64;
    Plan {
        hosts,
        length_ms: 20_000,
        requests_per_s: (share * RATE / mean_charge) as u64,
        has_faults: false,
        is_single_host,
        unit: QuotaUnit::Tokens,
        // The bucket of the first owner is empty, and takes two seconds to fill.
        first_ms: 4_000,
        is_within_quota: share <= 1.0,
    }
}

/// Runs traffic of this share of the quota without faults and returns the simulation.
fn run_sound(hosts: u64, is_single_host: bool, share: f64) -> Simulation {
    let mut simulation = Simulation::new(hosts, sound_plan(hosts, is_single_host, share));
    simulation.run();
    simulation
}

/// Guards against refusals within the quota, with a share of each host below one request.
#[test]
fn nothing_is_refused_within_the_quota() {
    for hosts in [6, 66, 195, 757] {
        for is_single_host in [false, true] {
            let simulation = run_sound(hosts, is_single_host, 0.9);
            assert!(simulation.charges.len() > 30);
            assert_eq!(simulation.refused, [], "{hosts} hosts, {is_single_host}");
        }
    }
}

/// Guards against messages that use up the links of hosts: 16 workspaces at 757 hosts.
#[test]
fn messages_stay_within_the_bound() {
    let simulation = run_sound(757, false, 0.9);
    let seconds = simulation.plan.length_ms / 1_000;
    // A message has at most 50 bytes, and as much again for the headers of the datagram.
    let bytes_per_s = 16 * simulation.sent_messages * 100 / seconds / simulation.plan.hosts;
    assert!(bytes_per_s <= 6_000, "{bytes_per_s} bytes a second");
}

/// Guards against a workspace that is refused everything: a burst of eight times the quota.
#[test]
fn quota_is_used_under_overload() {
    let simulation = run_sound(66, false, 8.0);
    let admitted: u64 = simulation.charges.iter().map(|(_, charge)| charge).sum();
    // A tenth of the charges is returned, and nothing is sent in the first four seconds.
    let expected = RATE * (simulation.plan.length_ms / 1_000 - 4) as f64;
    assert!(admitted as f64 >= 0.9 * expected, "{admitted}");
    for (_, refusal) in &simulation.refused {
        let QuotaRefusal::UsedUp { retry_after, .. } = refusal else {
            panic!("{refusal:?}");
        };
        let range = Duration::ZERO..=Duration::from_millis(WINDOW_MS);
        assert!(range.contains(retry_after), "{retry_after:?}");
    }
}

/// Guards against a time to come back at which there is no room, as all refused callers come
/// back at once: 30 requests at the same time, which have room within a window, and each comes
/// back when it is told to.
#[test]
fn refused_callers_are_served_when_they_come_back() {
    for hosts in [1, 2, 66] {
        let mut simulation = run_sound(66, false, 0.0);
        let start = simulation.plan.length_ms;
        for request in 0..30 {
            let host = request % hosts;
            simulation.hosts[host].backlog.push((start, LARGE));
        }
        let mut returning = Vec::new();
        let mut refused_again = 0;
        for now in (start..start + 2 * WINDOW_MS).step_by(STEP_MS as usize) {
            simulation.step(now);
            for (sent_ms, refusal) in std::mem::take(&mut simulation.refused) {
                refused_again += u32::from(sent_ms > start);
                let wait = refusal.retry_after().as_millis() as u64;
                returning.push(now + wait + 1);
            }
            for at in returning.extract_if(.., |at| *at <= now) {
                simulation.hosts[at as usize % hosts]
                    .backlog
                    .push((now, LARGE));
            }
        }
        assert_eq!(refused_again, 0, "{hosts} hosts");
        // Some charges are returned, as those requests find no upstream.
        assert!(simulation.charges.len() >= 20);
    }
}

/// Guards against workspaces that nobody owns while a third of the hosts is cut off: most
/// keep an owner among the others.
#[test]
fn owners_are_found_while_a_data_centre_is_cut_off() {
    let workspaces = 40;
    let mut owned = 0;
    for seed in 0..workspaces {
        let mut simulation = Simulation::new(seed, sound_plan(66, false, 0.0));
        simulation.run();
        let start = simulation.plan.length_ms;
        for host in simulation.hosts.iter_mut().take(22) {
            host.side = 1;
        }
        for now in (start..start + 4_000).step_by(STEP_MS as usize) {
            simulation.step(now);
        }
        let owners = (22..66).map(|host| simulation.owned_by(host, start + 4_000));
        owned += owners.sum::<usize>();
    }
    assert!(
        owned * 10 >= workspaces as usize * 9,
        "{owned} of {workspaces}"
    );
}

/// Guards against messages and work in a deployment without quotas.
#[test]
fn nothing_is_sent_without_quotas() {
    let own = "10.1.0.1:7662".parse().expect("an address");
    let mut quotas = HostQuotas::new(own, 7, QuotaLimits::default(), Timestamp(0));
    quotas.set_quotas(Timestamp(0), []);
    quotas.tick(Timestamp(5_000_000));
    assert!(quotas.is_empty());
    assert_eq!(quotas.take_outgoing(), []);
}
