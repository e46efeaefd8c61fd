//! Plain requests of three data centres whose hosts know the others' loads by reports that
//! are up to 25 ms old.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, table_of, view};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    EngineRole, FleetView, HostReport, InFlightLoad, PeerLoads, Placement, PlacementLimits,
    Upstream, UpstreamTable,
};
use std::time::Duration;

const SITES: [&str; 3] = ["a", "b", "c"];
const HOSTS: usize = 24;
const UPSTREAMS: usize = 6;
const SLOTS: usize = 6;
const QUEUE_PLACES: usize = 24;
const MEAN_WORK_MS: f64 = 30.0;
const REMOTE_MS: u64 = 2;
const GOAL_MS: u64 = 150;
const REPORT_INTERVAL_MS: u64 = 25;
const RUN_MS: u64 = 10_000;
const WARM_UP_MS: u64 = 2_000;

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    NeverLeave,
    LeastLoaded,
    /// Least loaded with a penalty of 0.05 requests per slot for another data centre.
    Penalty,
    Share,
}

struct Host {
    table: UpstreamTable,
    peers: PeerLoads,
    placement: Placement,
}

struct Sent {
    host: usize,
    sent_at: u64,
    left: u64,
}

#[derive(Debug, Default)]
struct Tally {
    arrived: [usize; 3],
    in_goal: [usize; 3],
    left: usize,
    /// Shares of the first data centre, every 50 ms.
    shares: Vec<f64>,
}

impl Tally {
    fn served(&self, site: usize) -> f64 {
        self.in_goal[site] as f64 / self.arrived[site] as f64
    }

    fn left_share(&self) -> f64 {
        self.left as f64 / self.arrived.iter().sum::<usize>() as f64
    }

    fn swing(&self) -> f64 {
        let most = self.shares.iter().copied().fold(0.0, f64::max);
        most - self.shares.iter().copied().fold(1.0, f64::min)
    }
}

struct Load {
    rule: Rule,
    hosts: Vec<Host>,
    upstreams: Vec<Vec<Sent>>,
    random: u64,
    tally: Tally,
}

impl Load {
    fn new(rule: Rule) -> Self {
        let records = (0..UPSTREAMS).map(|number| {
            let mut record = engine(number, EngineRole::Decode);
            record.role = None;
            record.slots = SLOTS as u32;
            record
        });
        let table = table_of(records.collect());
        let hosts = (0..HOSTS).map(|host| Host {
            table: table.clone(),
            peers: PeerLoads::new(),
            placement: Placement::new(PlacementLimits::default(), SITES[host % 3]),
        });
        Self {
            rule,
            hosts: hosts.collect(),
            upstreams: (0..UPSTREAMS).map(|_| Vec::new()).collect(),
            random: 7,
            tally: Tally::default(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        (self.random >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn choose(&mut self, host: usize, ms: u64) -> UpstreamKey {
        let tie_breaker = self.draw();
        let one = &self.hosts[host];
        let view = FleetView {
            tie_breaker,
            ..view(&one.table, &one.peers, &[], ms)
        };
        let load = |upstream: &Upstream| {
            let is_remote = upstream.record.data_centre != SITES[host % 3];
            let penalty = match self.rule {
                Rule::NeverLeave if is_remote => 1_000.0,
                Rule::Penalty if is_remote => 0.05,
                _ => 0.0,
            };
            f64::from(upstream.requests_in_flight(&one.peers)) / SLOTS as f64 + penalty
        };
        if self.rule == Rule::Share {
            return one
                .placement
                .choose_upstream(view)
                .expect("upstreams are usable");
        }
        let loads: Vec<(f64, UpstreamKey)> =
            one.table.iter().map(|(key, up)| (load(up), key)).collect();
        let least = loads.iter().map(|(load, _)| *load).fold(f64::MAX, f64::min);
        let equals: Vec<_> = loads
            .iter()
            .filter(|(load, _)| *load <= least + 1e-9)
            .collect();
        equals[(tie_breaker * equals.len() as f64) as usize].1
    }

    fn arrive(&mut self, site: usize, ms: u64) {
        let host = (self.draw() * (HOSTS / 3) as f64) as usize * 3 + site;
        let key = self.choose(host, ms);
        let table = &mut self.hosts[host].table;
        let number = (0..UPSTREAMS)
            .find(|number| key_of(table, *number) == key)
            .expect("an upstream");
        let is_remote = number % 3 != site;
        if ms >= WARM_UP_MS {
            self.tally.arrived[site] += 1;
            self.tally.left += usize::from(is_remote);
        }
        if self.upstreams[number].len() >= SLOTS + QUEUE_PLACES {
            return;
        }
        table.get_mut(key).expect("it is listed").in_flight += 1;
        let extra = u64::from(is_remote) * REMOTE_MS;
        let left = (MEAN_WORK_MS * (0.5 + self.draw())) as u64;
        self.upstreams[number].push(Sent {
            host,
            sent_at: ms - extra,
            left,
        });
    }

    fn run_upstream(&mut self, number: usize, ms: u64) {
        for sent in self.upstreams[number].iter_mut().take(SLOTS) {
            sent.left -= 1;
        }
        for sent in self.upstreams[number].extract_if(.., |sent| sent.left == 0) {
            let table = &mut self.hosts[sent.host].table;
            let key = key_of(table, number);
            let upstream = table.get_mut(key).expect("it is listed");
            upstream.in_flight -= 1;
            let latency = ms - sent.sent_at;
            upstream.record_response(Duration::from_millis(latency));
            if sent.sent_at >= WARM_UP_MS && latency <= GOAL_MS {
                self.tally.in_goal[sent.host % 3] += 1;
            }
        }
    }

    fn report(&mut self, host: usize, ms: u64) {
        let busy = self.hosts[host].table.iter();
        let loads = busy.map(|(_, one)| {
            let load = InFlightLoad {
                requests: one.in_flight,
                prefill_tokens: 0,
            };
            (one.digest, load)
        });
        let report = HostReport {
            loads: loads.collect(),
            ..HostReport::default()
        };
        for peer in (0..HOSTS).filter(|peer| *peer != host) {
            let peers = &mut self.hosts[peer].peers;
            peers.record(at_ms(ms), host as u64, ms, report.clone());
        }
    }

    /// Runs with the demand of each data centre as a multiple of its own capacity.
    fn run(mut self, demand: impl Fn(usize, u64) -> f64) -> Tally {
        let capacity_per_ms = (UPSTREAMS / 3 * SLOTS) as f64 / MEAN_WORK_MS;
        for ms in 10..RUN_MS {
            for site in 0..3 {
                if self.draw() < demand(site, ms) * capacity_per_ms {
                    self.arrive(site, ms);
                }
            }
            (0..UPSTREAMS).for_each(|number| self.run_upstream(number, ms));
            (0..HOSTS)
                .filter(|host| (ms + *host as u64).is_multiple_of(REPORT_INTERVAL_MS))
                .for_each(|host| self.report(host, ms));
            if ms >= WARM_UP_MS && ms.is_multiple_of(50) {
                let host = &self.hosts[0];
                let share = host
                    .placement
                    .remote_share(view(&host.table, &host.peers, &[], ms));
                self.tally.shares.push(share);
            }
        }
        self.tally
    }
}

fn run(rule: Rule, demand: impl Fn(usize, u64) -> f64) -> Tally {
    Load::new(rule).run(demand)
}

/// Demand with a burst of 2 at the first data centre for 3 s.
fn burst(site: usize, ms: u64) -> f64 {
    match (site, ms) {
        (0, 4_000..7_000) => 1.3,
        _ => 0.65,
    }
}

/// Callers at a data centre with a burst must not wait there while others have room.
#[test]
fn burst_at_one_data_centre_is_served_as_by_a_pooled_fleet() {
    let [share, never] = [Rule::Share, Rule::NeverLeave].map(|rule| run(rule, burst));
    let [pooled, penalty] = [Rule::LeastLoaded, Rule::Penalty].map(|rule| run(rule, burst));
    let served = [&share, &never, &pooled, &penalty].map(|tally| tally.served(0));
    let left = [&share, &never, &pooled, &penalty].map(Tally::left_share);
    println!("share, never, pooled, penalty: served {served:.3?}, left {left:.3?}");
    assert!(served[0] >= 0.95 * served[2], "served {served:.3?}");
    assert!(served[0] > served[1], "served {served:.3?}");
    assert!(left[0] <= left[2] / 3.0, "left {left:.3?}");
}

/// A share that overshoots sends in waves, which fill the other data centres.
#[test]
fn share_swings_no_more_than_the_demand() {
    let demand = |site: usize, ms: u64| match site {
        0 => 1.0 + 0.55 * (ms as f64 / 2_800.0 * std::f64::consts::TAU).sin(),
        _ => 0.5,
    };
    let swing = run(Rule::Share, demand).swing();
    println!("swing {swing:.3}");
    // The demand's swing as a share of its peak.
    assert!(swing <= 1.1 / 1.55, "share swings by {swing:.3}");
}

/// Without need, responses are slower elsewhere and their bytes cost money.
#[test]
fn few_requests_leave_at_steady_even_load() {
    for load in [0.3, 0.5, 0.7, 0.8, 1.5] {
        let [share, penalty] =
            [Rule::Share, Rule::Penalty].map(|rule| run(rule, |_, _| load).left_share());
        println!("load {load}: share {share:.4}, penalty {penalty:.4}");
        assert!(share < 0.01, "{share:.4} leave at load {load}");
    }
}

/// Two data centres that send to the third must not fill it for its own callers.
#[test]
fn two_sending_data_centres_leave_the_third_its_room() {
    let demand = |site: usize, ms: u64| match (site, ms) {
        (0, 3_000..) | (1, 4_000..) => 1.2,
        _ => 0.4,
    };
    let [share, never] = [Rule::Share, Rule::NeverLeave].map(|rule| run(rule, demand));
    let pooled = run(Rule::LeastLoaded, demand);
    let served = [0, 1, 2].map(|site| (share.served(site), never.served(site)));
    let pooled_served = [0, 1, 2].map(|site| pooled.served(site));
    println!("share, never by data centre: {served:.3?}, pooled {pooled_served:.3?}");
    assert!(served[2].0 >= 0.95 * served[2].1, "served {served:.3?}");
    assert!(served[0].0 > served[0].1 && served[1].0 > served[1].1);
}

/// Returns a host's share of `data_centre` after `steps` of 50 ms with the given loads on
/// the upstreams of the three data centres, and reports until `reports_until`.
fn share_after(steps: u64, data_centre: &str, loads: [u32; 3], reports_until: u64) -> f64 {
    let mut load = Load::new(Rule::Share);
    let host = &mut load.hosts[0];
    host.placement = Placement::new(PlacementLimits::default(), data_centre);
    for number in 0..UPSTREAMS {
        let key = key_of(&host.table, number);
        let upstream = host.table.get_mut(key).expect("it is listed");
        upstream.record_response(Duration::from_millis(30));
        upstream.in_flight = loads[number % 3];
    }
    let mut share = 0.0;
    for ms in (0..steps).map(|step| step * 50) {
        if ms <= reports_until {
            let report = HostReport::default();
            host.peers.record(at_ms(ms), 1, ms + 1, report);
        }
        share = host
            .placement
            .remote_share(view(&host.table, &host.peers, &[], ms));
    }
    share
}

/// A sudden large share from all hosts fills the other data centres at once.
#[test]
fn share_moves_in_bounded_steps() {
    let early = share_after(4, "a", [24, 0, 0], 10_000);
    assert!(early > 0.0 && early <= 0.21, "share is {early}");
    assert!(share_after(40, "a", [24, 0, 0], 10_000) > 0.9);
}

/// Old news of free places elsewhere, full places and free ones at home keep requests home.
#[test]
fn nothing_leaves_without_known_room_elsewhere_and_need_at_home() {
    assert_eq!(share_after(100, "a", [24, 0, 0], 500), 0.0);
    assert_eq!(share_after(40, "a", [24, 24, 24], 10_000), 0.0);
    assert_eq!(share_after(40, "a", [3, 0, 0], 10_000), 0.0);
}

/// A data centre that lost its upstreams has no room to wait for.
#[test]
fn data_centre_without_upstreams_sends_everything() {
    assert_eq!(share_after(1, "d", [24, 24, 24], 10_000), 1.0);
    let table = table_of(vec![engine(1, EngineRole::Decode)]);
    let placement = Placement::new(PlacementLimits::default(), "d");
    let peers = PeerLoads::new();
    let chosen = placement.choose_upstream(view(&table, &peers, &[], 0));
    assert_eq!(chosen, Some(key_of(&table, 1)));
}

/// Requests that can't be sent twice were kept at a home upstream that had just failed one;
/// all of them at once back at one that has recovered would be a burst for it.
#[test]
fn requests_avoid_a_home_upstream_that_failed_and_return_in_steps() {
    let records = [0, 1].map(|number| engine(number, EngineRole::Decode));
    let mut table = table_of(records.to_vec());
    let placement = Placement::new(PlacementLimits::default(), "a");
    let peers = PeerLoads::new();
    let [home, elsewhere] = [0, 1].map(|number| key_of(&table, number));
    let choose = |table: &UpstreamTable, ms: u64| {
        let view = view(table, &peers, &[], ms);
        let chosen = placement.choose_upstream(view);
        (chosen, placement.remote_share(view))
    };
    assert_eq!(choose(&table, 0), (Some(home), 0.0));
    let upstream = table.get_mut(home).expect("it is listed");
    upstream.record_failure(at_ms(10), false);
    assert_eq!(choose(&table, 20), (Some(elsewhere), 1.0));
    let upstream = table.get_mut(home).expect("it is listed");
    (0..3).for_each(|_| upstream.record_response(Duration::from_millis(30)));
    let shares: Vec<f64> = (1..60)
        .map(|step| choose(&table, 20 + step * 50).1)
        .collect();
    assert!(shares[0] > 0.9, "share falls to {} at once", shares[0]);
    assert!(shares.windows(2).all(|pair| pair[0] - pair[1] <= 0.051));
    assert_eq!(shares.last(), Some(&0.0));
    let change = placement.take_share_change(SERVICE);
    assert_eq!(change.map(|change| change.to), Some(0.0));
    assert_eq!(placement.take_share_change(SERVICE), None);
}
