//! Long prompts from 66 hosts at three decode engines that are loaded beyond their slots.
//! Each host knows the others' loads only by reports that are up to 100 ms old.

use crate::dispatch::support::{at_ms, engine, key_of, prompt, table_of, view};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    DecodeChoice, EngineRole, FleetView, HostReport, InFlightLoad, PeerLoads, Placement,
    PlacementLimits, PrefilledRequest, UpstreamTable,
};
use std::time::Duration;

const HOSTS: usize = 66;
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 3;
const SLOTS: usize = 6;
const QUEUE_PLACES: usize = 18;
const PREFILL_MS: u64 = 20;
const PROMPT_TOKENS: u64 = 9_190;
const DECODE_MS: u64 = 40;
const GOAL: Duration = Duration::from_millis(150);
const TIME_LEFT: Duration = Duration::from_secs(2);
const MAX_WAIT_MS: u64 = 600;
const PEERS_PER_REPORT: usize = 24;
const REPORT_INTERVAL_MS: u64 = 25;
const RUN_MS: u64 = 8_000;

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// Sends to the least loaded engine at once and gives up after a refusal.
    AtOnce,
    Room,
}

struct Host {
    table: UpstreamTable,
    peers: PeerLoads,
    placement: Placement,
}

struct Waiting {
    host: usize,
    prefill_engine: UpstreamKey,
    arrived: u64,
    look_at: u64,
    is_prefilled: bool,
    is_refused: bool,
}

struct Sent {
    host: usize,
    arrived: u64,
    sent_at: u64,
    requests: u32,
    /// Time left in its slot.
    left: u64,
}

#[derive(Debug, Default)]
struct Tally {
    arrived: usize,
    refused_at_once: usize,
    sends: usize,
    rejected: usize,
    given_up: usize,
    latencies: Vec<u64>,
    /// Sum over time of the busiest engine's load and of the mean load.
    busiest: f64,
    mean: f64,
}

struct Load {
    rule: Rule,
    hosts: Vec<Host>,
    waiting: Vec<Waiting>,
    engines: Vec<Vec<Sent>>,
    random: u64,
    tally: Tally,
}

impl Load {
    fn new(rule: Rule) -> Self {
        let records = (0..PREFILL_ENGINES + DECODE_ENGINES).map(|number| {
            let role = match number < PREFILL_ENGINES {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            };
            let mut record = engine(number, role);
            record.slots = SLOTS as u32;
            record.data_centre = "a".to_owned();
            record
        });
        let table = table_of(records.collect());
        let hosts = (0..HOSTS).map(|_| Host {
            table: table.clone(),
            peers: PeerLoads::new(),
            placement: Placement::new(PlacementLimits::default(), "a"),
        });
        Self {
            rule,
            hosts: hosts.collect(),
            waiting: Vec::new(),
            engines: (0..DECODE_ENGINES).map(|_| Vec::new()).collect(),
            random: 7,
            tally: Tally::default(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        (self.random >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn count(&mut self, host: usize, key: UpstreamKey, change: i32) {
        let upstream = self.hosts[host].table.get_mut(key).expect("it is listed");
        upstream.in_flight = upstream.in_flight.saturating_add_signed(change);
    }

    fn arrive(&mut self, ms: u64) {
        self.tally.arrived += 1;
        let host = (self.draw() * HOSTS as f64) as usize;
        let number = (self.draw() * PREFILL_ENGINES as f64) as usize;
        let tie_breaker = self.draw();
        let one = &self.hosts[host];
        let plan = one.placement.plan_prompt(
            FleetView {
                tie_breaker,
                ..view(&one.table, &one.peers, &[], ms)
            },
            &prompt(ms, 2_890),
            GOAL,
            TIME_LEFT,
        );
        if plan.is_err() {
            self.tally.refused_at_once += 1;
            return;
        }
        let prefill_engine = key_of(&one.table, number);
        self.count(host, prefill_engine, 1);
        let upstream = self.hosts[host].table.get_mut(prefill_engine);
        upstream.expect("it is listed").prefill_tokens += PROMPT_TOKENS;
        self.waiting.push(Waiting {
            host,
            prefill_engine,
            arrived: ms,
            look_at: ms + PREFILL_MS,
            is_prefilled: false,
            is_refused: false,
        });
    }

    fn look(&mut self, mut one: Waiting, ms: u64) {
        let tie_breaker = self.draw();
        if !one.is_prefilled {
            one.is_prefilled = true;
            let upstream = self.hosts[one.host].table.get_mut(one.prefill_engine);
            upstream.expect("it is listed").prefill_tokens -= PROMPT_TOKENS;
        }
        let host = &self.hosts[one.host];
        let view = FleetView {
            tie_breaker,
            ..view(&host.table, &host.peers, &[], ms)
        };
        let placement = &host.placement;
        let choice = match self.rule {
            Rule::Room => placement.place_decode(
                view,
                PrefilledRequest {
                    prefill_engine: one.prefill_engine,
                    waited: Duration::from_millis(ms - one.arrived - PREFILL_MS),
                    kv_tokens: PROMPT_TOKENS,
                    is_retry: one.is_refused,
                },
            ),
            Rule::AtOnce => placement
                .choose_decode_engine(view, one.prefill_engine)
                .map_or(DecodeChoice::NoEngine, DecodeChoice::Engine),
        };
        match choice {
            DecodeChoice::Engine(key) => self.send(one, key, ms),
            DecodeChoice::Full if ms < one.arrived + PREFILL_MS + MAX_WAIT_MS => {
                one.look_at = ms + 14 + (self.draw() * 16.0) as u64;
                self.waiting.push(one);
            }
            DecodeChoice::Full | DecodeChoice::NoEngine => {
                self.count(one.host, one.prefill_engine, -1);
                self.tally.given_up += 1;
            }
        }
    }

    fn send(&mut self, mut one: Waiting, key: UpstreamKey, ms: u64) {
        self.tally.sends += 1;
        let host = &self.hosts[one.host];
        let number = (0..DECODE_ENGINES)
            .position(|number| key_of(&host.table, PREFILL_ENGINES + number) == key)
            .expect("a decode engine");
        let upstream = host.table.get(key).expect("it is listed");
        let requests = upstream.requests_in_flight(&host.peers) + 1;
        if self.engines[number].len() < SLOTS + QUEUE_PLACES {
            self.count(one.host, one.prefill_engine, -1);
            self.count(one.host, key, 1);
            self.engines[number].push(Sent {
                host: one.host,
                arrived: one.arrived,
                sent_at: ms,
                requests,
                left: DECODE_MS,
            });
            return;
        }
        self.tally.rejected += 1;
        let host = &mut self.hosts[one.host];
        let upstream = host.table.get_mut(key).expect("it is listed");
        upstream.record_refusal(at_ms(ms), &host.peers);
        one.is_refused = true;
        one.look_at = ms + 2;
        match self.rule {
            Rule::Room => self.waiting.push(one),
            Rule::AtOnce => {
                self.count(one.host, one.prefill_engine, -1);
                self.tally.given_up += 1;
            }
        }
    }

    fn run_engine(&mut self, number: usize, ms: u64) {
        for sent in self.engines[number].iter_mut().take(SLOTS) {
            sent.left -= 1;
        }
        let done: Vec<Sent> = self.engines[number]
            .extract_if(.., |sent| sent.left == 0)
            .collect();
        for sent in done {
            let key = key_of(&self.hosts[sent.host].table, PREFILL_ENGINES + number);
            self.count(sent.host, key, -1);
            let latency = Duration::from_millis(ms - sent.sent_at);
            let placement = &mut self.hosts[sent.host].placement;
            placement.record_decode(sent.requests, SLOTS as u32, latency);
            self.tally.latencies.push(ms - sent.arrived);
        }
    }

    fn report(&mut self, host: usize, ms: u64) {
        let busy = self.hosts[host].table.iter();
        let loads = busy.filter(|(_, one)| one.in_flight > 0).map(|(_, one)| {
            let load = InFlightLoad {
                requests: one.in_flight,
                prefill_tokens: one.prefill_tokens,
            };
            (one.digest, load)
        });
        let report = HostReport {
            loads: loads.collect(),
            ..HostReport::default()
        };
        let turn = (ms / REPORT_INTERVAL_MS) as usize;
        for peer in 0..PEERS_PER_REPORT {
            let peer = (host + 1 + turn * PEERS_PER_REPORT + peer) % HOSTS;
            if peer != host {
                let peers = &mut self.hosts[peer].peers;
                peers.record(at_ms(ms), host as u64, ms, report.clone());
            }
        }
    }

    /// Runs with `per_second` prompts from all hosts together.
    fn run(mut self, per_second: f64) -> Tally {
        for ms in 1..RUN_MS {
            let mut arrivals = per_second / 1_000.0;
            while arrivals > 0.0 {
                if self.draw() < arrivals {
                    self.arrive(ms);
                }
                arrivals -= 1.0;
            }
            let due: Vec<Waiting> = self
                .waiting
                .extract_if(.., |one| one.look_at <= ms)
                .collect();
            due.into_iter().for_each(|one| self.look(one, ms));
            (0..DECODE_ENGINES).for_each(|number| self.run_engine(number, ms));
            (0..HOSTS)
                .filter(|host| (ms + *host as u64).is_multiple_of(REPORT_INTERVAL_MS))
                .for_each(|host| self.report(host, ms));
            let loads = self.engines.iter().map(Vec::len);
            self.tally.busiest += loads.clone().max().unwrap_or_default() as f64;
            self.tally.mean += loads.sum::<usize>() as f64 / DECODE_ENGINES as f64;
        }
        self.tally.latencies.sort_unstable();
        self.tally
    }
}

fn run(rule: Rule, load: f64) -> Tally {
    let capacity = (DECODE_ENGINES * SLOTS) as f64 * 1_000.0 / DECODE_MS as f64;
    Load::new(rule).run(load * capacity)
}

/// Decode engines that get 1.5 times what they can do refused many of the requests that were
/// sent to them. Their KV caches were dropped, and each further send is a retry.
#[test]
fn overloaded_decode_engines_refuse_few_sends_and_stay_busy() {
    let tally = run(Rule::Room, 1.5);
    let served = tally.latencies.len();
    assert!(
        tally.rejected * 100 <= tally.sends,
        "{} rejected",
        tally.rejected
    );
    assert!(
        tally.given_up * 100 <= tally.sends,
        "{} given up",
        tally.given_up
    );
    let at_once = run(Rule::AtOnce, 1.5);
    assert!(
        served * 100 >= at_once.latencies.len() * 97,
        "{served} served"
    );
}

/// No herding: hosts that know each other's loads late must not all choose one engine.
#[test]
fn busiest_decode_engine_has_at_most_twice_the_mean_load() {
    for load in [0.7, 1.0, 1.5] {
        let tally = run(Rule::Room, load);
        let ratio = tally.busiest / tally.mean;
        assert!(
            ratio <= 2.0,
            "busiest over mean is {ratio:.2} at load {load}"
        );
    }
}

/// Below the capacity of the decode engines, requests are served as before.
#[test]
fn requests_are_served_as_before_while_there_is_room() {
    let [before, now] = [Rule::AtOnce, Rule::Room].map(|rule| run(rule, 0.7));
    assert_eq!(now.latencies, before.latencies);
    assert_eq!(now.refused_at_once, 0);
}
