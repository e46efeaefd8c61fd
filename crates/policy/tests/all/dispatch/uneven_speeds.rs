//! Upstreams of different speeds that get requests from 66 hosts. What a host knows of the
//! others is 100 ms old.

use crate::dispatch::support::{at_ms, engine, key_of, prompt, table_of, view};
use lagoonlift_policy::dispatch::{
    EngineRole, FleetView, HostReport, InFlightLoad, PeerLoads, Placement, PlacementLimits,
    PromptPlan, UpstreamTable, WorkSample,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const HOSTS: usize = 66;
const UPSTREAMS: usize = 12;
const NEWS_INTERVAL_US: u64 = 25_000;
const NEWS_DELAY: usize = 4;
const RUN_US: u64 = 8_000_000;
/// Time from which on responses count, when the speeds are known.
const MEASURED_FROM_US: u64 = 2_000_000;
const LIMIT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Work {
    /// 30 ms in one of six slots.
    Plain,
    /// 9,190 prompt tokens, of which 6,300 are shared, at 1,320 tokens a millisecond.
    Prefill,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// The placement without samples of speeds.
    Load,
    /// The placement with samples.
    Time,
    RoundRobin,
    RandomOfTwo,
}

/// A request that ends: time, host, upstream, units of work, time taken.
type End = Reverse<(u64, usize, usize, u64, u64)>;

struct Run {
    work: Work,
    rule: Rule,
    speeds: Vec<f64>,
    /// Whether each upstream is 2.5 times slower for 600 ms of every 4.2 s.
    has_slow_phases: bool,
    tables: Vec<UpstreamTable>,
    peers: Vec<PeerLoads>,
    keys: Vec<UpstreamKey>,
    placement: Placement,
    /// Time from which on each slot is free.
    free_at: Vec<Vec<u64>>,
    ends: BinaryHeap<End>,
    news: VecDeque<Vec<Vec<InFlightLoad>>>,
    random: u64,
    turn: usize,
    times: Vec<u64>,
    busiest: f64,
    mean: f64,
}

impl Run {
    fn new(work: Work, rule: Rule, speeds: Vec<f64>) -> Self {
        let records = (0..UPSTREAMS + 1).map(|number| {
            let role = match number < UPSTREAMS {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            };
            let mut record = engine(number, role);
            record.role = (work == Work::Prefill).then_some(role);
            record.slots = 6;
            record.data_centre = "a".to_owned();
            record
        });
        let records = records.take(UPSTREAMS + usize::from(work == Work::Prefill));
        let table = table_of(records.collect());
        let slots = if work == Work::Plain { 6 } else { 1 };
        Self {
            work,
            rule,
            speeds,
            has_slow_phases: false,
            keys: (0..UPSTREAMS)
                .map(|number| key_of(&table, number))
                .collect(),
            tables: vec![table; HOSTS],
            peers: vec![PeerLoads::new(); HOSTS],
            placement: Placement::new(PlacementLimits::default(), "a"),
            free_at: vec![vec![0; slots]; UPSTREAMS],
            ends: BinaryHeap::new(),
            news: VecDeque::new(),
            random: 11,
            turn: 0,
            times: Vec::new(),
            busiest: 0.0,
            mean: 0.0,
        }
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        (self.random >> 33) as f64 / (1_u64 << 31) as f64
    }

    /// Returns the chosen upstream, and whether it has to copy the shared blocks.
    fn choose(&mut self, host: usize, now: Timestamp) -> Option<(usize, bool)> {
        let (tie_breaker, session) = (self.draw(), (self.draw() * 300.0) as u64);
        let [first, second] = [0, 1].map(|_| (self.draw() * UPSTREAMS as f64) as usize);
        let view = FleetView {
            now,
            tie_breaker,
            ..view(&self.tables[host], &self.peers[host], &[], 0)
        };
        let number_of = |key| self.keys.iter().position(|one| *one == key);
        let in_flight = |number: usize| {
            let one = view.table.get(self.keys[number]).expect("it is listed");
            one.requests_in_flight(view.peers)
        };
        match (self.rule, self.work) {
            (Rule::RoundRobin, _) => {
                self.turn += 1;
                Some((self.turn % UPSTREAMS, true))
            }
            (Rule::RandomOfTwo, _) if in_flight(second) < in_flight(first) => Some((second, true)),
            (Rule::RandomOfTwo, _) => Some((first, true)),
            (_, Work::Plain) => {
                let chosen = self.placement.choose_upstream(view)?;
                Some((number_of(chosen)?, false))
            }
            (_, Work::Prefill) => {
                let facts = prompt(session, 2_890);
                let plan = self.placement.plan_prompt(view, &facts, LIMIT, LIMIT);
                let Ok(PromptPlan::Disaggregated {
                    prefill_engine,
                    copy_blocks_from,
                }) = plan
                else {
                    return None;
                };
                Some((number_of(prefill_engine)?, copy_blocks_from.is_some()))
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let host = (self.draw() * HOSTS as f64) as usize;
        let Some((number, copies)) = self.choose(host, Timestamp(now)) else {
            return;
        };
        let table = &mut self.tables[host];
        let one = table.get_mut(self.keys[number]).expect("it is listed");
        one.in_flight += 1;
        let (tokens, work_us) = match (self.work, copies) {
            (Work::Plain, _) => (0, 30_000.0),
            (Work::Prefill, true) => (9_190, (2_890.0 + 0.25 * 6_300.0) / 1.32),
            (Work::Prefill, false) => (9_190, 2_890.0 / 1.32),
        };
        one.prefill_tokens += tokens;
        let peers = &self.peers[host];
        let units = match self.work {
            Work::Plain => u64::from(one.requests_in_flight(peers).div_ceil(6)),
            Work::Prefill => one.prefill_backlog(peers),
        };
        let slot = self.free_at[number].iter_mut().min().expect("a slot");
        let is_slow = self.has_slow_phases && (now / 600_000 + number as u64).is_multiple_of(7);
        let factor = if is_slow { 2.5 } else { 1.0 };
        let end = now.max(*slot) + (work_us * factor / self.speeds[number]) as u64;
        *slot = end;
        self.ends
            .push(Reverse((end, host, number, units, end - now)));
        if now > MEASURED_FROM_US {
            self.times.push(end - now);
        }
    }

    fn finish(&mut self, (now, host, number, units, time): (u64, usize, usize, u64, u64)) {
        let tokens = if self.work == Work::Plain { 0 } else { 9_190 };
        let table = &mut self.tables[host];
        let one = table.get_mut(self.keys[number]).expect("it is listed");
        one.in_flight -= 1;
        one.prefill_tokens -= tokens;
        let time = Duration::from_micros(time);
        let sample = WorkSample::new(one.digest, units as f64, time).expect("a sample");
        if self.rule == Rule::Time {
            let capacity = self.placement.capacity_mut();
            capacity.record_from_peer(Timestamp(now), sample);
        }
    }

    /// Tells each host what the others had in flight 100 ms ago.
    fn tell(&mut self, now: u64) {
        let load_of = |table: &UpstreamTable, key| {
            let one = table.get(key).expect("it is listed");
            InFlightLoad {
                requests: one.in_flight,
                prefill_tokens: one.prefill_tokens,
            }
        };
        let hosts = self.tables.iter();
        let loads = hosts.map(|table| self.keys.iter().map(|key| load_of(table, *key)).collect());
        self.news.push_back(loads.collect());
        let totals = (0..UPSTREAMS).map(|number| {
            let latest = self.news.back().expect("news");
            latest.iter().map(|host| host[number].requests).sum::<u32>()
        });
        let totals: Vec<u32> = totals.collect();
        self.busiest += f64::from(totals.iter().copied().max().unwrap_or_default());
        self.mean += f64::from(totals.iter().sum::<u32>()) / UPSTREAMS as f64;
        if self.news.len() <= NEWS_DELAY {
            return;
        }
        let old = self.news.pop_front().expect("news");
        for host in 0..HOSTS {
            let others = (0..UPSTREAMS).map(|number| {
                let others = old.iter().enumerate().filter(|(other, _)| *other != host);
                let sum = others.fold(InFlightLoad::default(), |sum, (_, one)| InFlightLoad {
                    requests: sum.requests + one[number].requests,
                    prefill_tokens: sum.prefill_tokens + one[number].prefill_tokens,
                });
                let one = self.tables[host].get(self.keys[number]);
                (one.expect("it is listed").digest, sum)
            });
            let report = HostReport {
                loads: others.collect(),
                ..HostReport::default()
            };
            self.peers[host].record(Timestamp(now), 1, now, report);
        }
    }

    /// Runs at a share of the capacity.
    fn run(mut self, load: f64) -> Self {
        let unit_us = match self.work {
            Work::Plain => 30_000.0 / 6.0,
            Work::Prefill => 2_890.0 / 1.32,
        };
        let per_us = load * self.speeds.iter().sum::<f64>() / unit_us;
        let (mut now, mut next_news) = (at_ms(0).0 as f64, at_ms(0).0);
        while now < RUN_US as f64 {
            now -= (1.0 - self.draw()).ln() / per_us;
            while next_news <= now as u64 {
                while let Some(end) = self.ends.pop_if_due(next_news) {
                    self.finish(end);
                }
                self.tell(next_news);
                next_news += NEWS_INTERVAL_US;
            }
            while let Some(end) = self.ends.pop_if_due(now as u64) {
                self.finish(end);
            }
            self.arrive(now as u64);
        }
        self
    }

    fn mean_us(&self) -> f64 {
        self.times.iter().sum::<u64>() as f64 / self.times.len() as f64
    }
}

trait PopIfDue {
    fn pop_if_due(&mut self, now: u64) -> Option<(u64, usize, usize, u64, u64)>;
}

impl PopIfDue for BinaryHeap<End> {
    fn pop_if_due(&mut self, now: u64) -> Option<(u64, usize, usize, u64, u64)> {
        let is_due = self.peek().is_some_and(|Reverse(end)| end.0 <= now);
        is_due.then(|| self.pop().map(|Reverse(end)| end)).flatten()
    }
}

fn uneven() -> Vec<f64> {
    let step = (1.2 - 0.55) / (UPSTREAMS - 1) as f64;
    (0..UPSTREAMS)
        .map(|number| 0.55 + step * number as f64)
        .collect()
}

const SEEDS: [u64; 3] = [11, 12, 13];

fn run(work: Work, rule: Rule, speeds: &[f64], load: f64, seed: u64) -> Run {
    let mut run = Run::new(work, rule, speeds.to_vec());
    run.random = seed;
    run.run(load)
}

/// Returns the mean time under a rule, over all seeds.
fn mean_us(work: Work, rule: Rule, speeds: &[f64], load: f64) -> f64 {
    let means = SEEDS.map(|seed| run(work, rule, speeds, load, seed).mean_us());
    means.iter().sum::<f64>() / means.len() as f64
}

/// Slow upstreams got as many requests as fast ones, and kept them waiting.
#[test]
fn requests_to_upstreams_of_different_speeds_start_earlier() {
    let [before, now] =
        [Rule::Load, Rule::Time].map(|rule| mean_us(Work::Plain, rule, &uneven(), 0.7));
    println!("plain: {before:.0} us before, {now:.0} us now");
    assert!(now <= 0.9 * before, "{now:.0} us, before {before:.0} us");
    for rule in [Rule::RoundRobin, Rule::RandomOfTwo] {
        let other = mean_us(Work::Plain, rule, &uneven(), 0.7);
        println!("plain, {rule:?}: {other:.0} us");
        assert!(now <= 1.05 * other, "{now:.0} us, {rule:?} {other:.0} us");
    }
}

/// Prefills stay at the engine that has their prefix blocks, but not behind a backlog that is
/// longer at a slow engine than it seems.
#[test]
fn prefills_at_engines_of_different_speeds_start_earlier() {
    let [before, now] =
        [Rule::Load, Rule::Time].map(|rule| mean_us(Work::Prefill, rule, &uneven(), 0.7));
    println!("prefill: {before:.0} us before, {now:.0} us now");
    assert!(now <= 0.9 * before, "{now:.0} us, before {before:.0} us");
}

/// Slow phases of 600 ms are as long as the speeds are remembered. A model that lags behind
/// them would send to the engines that are slow now.
#[test]
fn slow_phases_delay_no_more_requests_than_before() {
    for work in [Work::Plain, Work::Prefill] {
        let [before, now] = [Rule::Load, Rule::Time].map(|rule| {
            let means = SEEDS.map(|seed| {
                let mut run = Run::new(work, rule, vec![1.0; UPSTREAMS]);
                run.has_slow_phases = true;
                run.random = seed;
                run.run(0.6).mean_us()
            });
            means.iter().sum::<f64>() / means.len() as f64
        });
        println!("slow phases, {work:?}: {before:.0} us before, {now:.0} us now");
        assert!(
            now <= 1.02 * before,
            "{work:?}: {now:.0} us, before {before:.0} us"
        );
    }
}

/// On upstreams of even speeds, the choice stays as it was, whatever the noise.
#[test]
fn upstreams_of_even_speeds_are_chosen_by_their_loads() {
    for work in [Work::Plain, Work::Prefill] {
        let speeds = [0.875; UPSTREAMS];
        let [before, now] = [Rule::Load, Rule::Time].map(|rule| run(work, rule, &speeds, 0.7, 11));
        assert!(
            now.times == before.times,
            "{work:?}: requests were placed otherwise"
        );
    }
}

/// No herding: hosts that know each other's loads late must not all choose one upstream.
#[test]
fn busiest_of_uneven_upstreams_has_at_most_twice_the_mean_load() {
    let run = run(Work::Plain, Rule::Time, &uneven(), 0.7, 11);
    let ratio = run.busiest / run.mean;
    assert!(ratio <= 2.0, "busiest over mean is {ratio:.2}");
}
