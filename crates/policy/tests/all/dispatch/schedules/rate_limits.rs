//! Tests of the rates that upstreams state for all hosts together: the rate falls, rises
//! and ends, responses overtake each other, and hosts join, pause, restart, are cut off from
//! the others and have clocks that differ.

use super::{Network, Randomness, run_schedules};
use crate::dispatch::support::{SERVICE, at_ms, engine, key_of};
use lagoonlift_policy::dispatch::{
    EngineRole, HostRoster, RateNotice, RateSharing, RateStatement, UpstreamRecord, UpstreamTable,
};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Length of a schedule, in milliseconds.
const SCHEDULE_LENGTH_MS: u64 = 15_000;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;
/// Time at which the upstream begins to state a rate, in milliseconds.
const FIRST_RATE_MS: u64 = 4_000;
/// Time from then on after which hosts must keep the rate, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Time after a host has passed a rate on, from which on its requests count, in milliseconds.
const TOLD_MS: u64 = 500;
/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Factor by which the requests in a window may exceed the rate.
const TOLERANCE: f64 = 1.5;
/// Requests that may reach the upstream in a window beyond that.
const SLACK: f64 = 5.0;
/// Time for which a higher rate still counts after it has fallen, in milliseconds: responses
/// that state it are on their way.
const CHANGE_MS: u64 = 1_000;
/// Longest time of a request to the upstream, and of its response, in milliseconds.
const MAX_TRANSIT_MS: u64 = 150;
/// The rate changes in one of this many steps.
const CHANGE_RARITY: u64 = 60;
/// A host is paused, cut off or restarted in one of this many steps.
const FAULT_RARITY: u64 = 60;
/// Longest pause or cut, in milliseconds.
const MAX_FAULT_MS: u64 = 5_000;
/// Largest number of hosts.
const MAX_HOSTS: u64 = 8;
/// Number of peers to which a host sends a message in one step.
const PEERS_PER_STEP: u64 = 2;
/// Largest rate, in requests a second.
const MAX_RATE: u64 = 24;
/// Unix time at the start of a schedule, in microseconds.
const START_UNIX_US: i64 = 1_772_271_000_000_000;

enum Message {
    Request {
        host: usize,
        sent_ms: u64,
    },
    Response {
        host: usize,
        sent_ms: u64,
        per_second: Option<f64>,
    },
    Rates {
        host: usize,
        from: SocketAddr,
        notices: Vec<RateNotice>,
    },
}

struct Host {
    table: UpstreamTable,
    roster: HostRoster,
    address: SocketAddr,
    clock_error_us: i64,
    starts_ms: u64,
    paused_until_ms: u64,
    cut_off_until_ms: u64,
    requests_in_step: u64,
    /// Time at which it first passed on a response with a rate since its start.
    told_ms: Option<u64>,
}

impl Host {
    fn is_running(&self, now: u64) -> bool {
        now >= self.starts_ms && now >= self.paused_until_ms
    }
}

struct Simulation {
    randomness: Randomness,
    network: Network<Message>,
    hosts: Vec<Host>,
    record: UpstreamRecord,
    /// Rate that the upstream states; `None` is any rate.
    per_second: Option<f64>,
    /// Rate that is allowed in each step, in requests a second.
    allowed: VecDeque<f64>,
    /// Requests that count, in each step.
    arrivals: VecDeque<u32>,
}

fn new_table(record: &UpstreamRecord) -> UpstreamTable {
    let mut table = UpstreamTable::new();
    table.apply_list(at_ms(0), vec![record.clone()]);
    table
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut randomness = Randomness::new(seed);
        let record = engine(0, EngineRole::Decode);
        let count = 2 + randomness.below(MAX_HOSTS - 1);
        let hosts = (0..count).map(|number| new_host(&mut randomness, &record, number));
        let hosts = hosts.collect();
        Self {
            randomness,
            network: Network::new(),
            hosts,
            record,
            per_second: None,
            allowed: VecDeque::new(),
            arrivals: VecDeque::new(),
        }
    }

    fn run(mut self) -> Result<(), String> {
        for now in (0..SCHEDULE_LENGTH_MS).step_by(STEP_MS as usize) {
            self.change_rate(now);
            self.begin_step(now)?;
            for message in self.network.arrived(now) {
                self.deliver(now, message);
            }
            self.break_hosts(now);
            for host in 0..self.hosts.len() {
                if self.hosts[host].is_running(now) {
                    self.run_host(now, host);
                }
            }
        }
        Ok(())
    }

    fn change_rate(&mut self, now: u64) {
        if now == FIRST_RATE_MS || (now > FIRST_RATE_MS && self.randomness.once_in(CHANGE_RARITY)) {
            let rate = self.randomness.below(MAX_RATE * 10) as f64 / 10.0;
            self.per_second = match self.randomness.once_in(6) && now > FIRST_RATE_MS {
                true => None,
                false => Some(rate),
            };
        }
    }

    /// Begins a step, and checks the window that has ended.
    fn begin_step(&mut self, now: u64) -> Result<(), String> {
        let steps = (WINDOW_MS / STEP_MS) as usize;
        let rate = match now >= FIRST_RATE_MS {
            true => self.per_second.unwrap_or(f64::INFINITY),
            false => f64::INFINITY,
        };
        self.allowed.push_back(rate);
        self.arrivals.push_back(0);
        let kept = steps + (CHANGE_MS / STEP_MS) as usize;
        if self.allowed.len() <= kept {
            return Ok(());
        }
        self.allowed.pop_front();
        self.arrivals.pop_front();
        if now < FIRST_RATE_MS + CONTACT_MS + WINDOW_MS {
            return Ok(());
        }
        let change_steps = (CHANGE_MS / STEP_MS) as usize;
        let rates: Vec<f64> = self.allowed.iter().copied().collect();
        let highest = |step: usize| {
            rates[step..=step + change_steps]
                .iter()
                .copied()
                .fold(0.0, f64::max)
        };
        let allowed_rate: f64 = (0..steps).map(highest).sum::<f64>() / steps as f64;
        let allowed = TOLERANCE * allowed_rate * WINDOW_MS as f64 / 1e3 + SLACK;
        let arrived: u32 = self.arrivals.iter().skip(change_steps).sum();
        match f64::from(arrived) > allowed {
            true => Err(format!(
                "{now} ms: {arrived} requests in a window, {allowed} allowed"
            )),
            false => Ok(()),
        }
    }

    fn break_hosts(&mut self, now: u64) {
        if !self.randomness.once_in(FAULT_RARITY) {
            return;
        }
        let number = self.randomness.below(self.hosts.len() as u64) as usize;
        let until = now + 1 + self.randomness.below(MAX_FAULT_MS);
        let record = self.record.clone();
        let host = &mut self.hosts[number];
        match self.randomness.below(3) {
            0 => host.paused_until_ms = until,
            1 => host.cut_off_until_ms = until,
            _ => {
                host.starts_ms = until;
                host.table = new_table(&record);
                host.roster = HostRoster::new(Some(host.address), 0, at_ms(until));
                host.told_ms = None;
            }
        }
    }

    fn run_host(&mut self, now: u64, number: usize) {
        let host = &mut self.hosts[number];
        let sharing = RateSharing {
            host: host.roster.position(at_ms(now)),
            unix_offset_us: START_UNIX_US + host.clock_error_us,
        };
        host.table.set_rate_sharing(sharing);
        let key = key_of(&host.table, 0);
        let notices = host.table.rate_news(at_ms(now));
        let (from, is_cut_off) = (host.address, host.cut_off_until_ms > now);
        for _ in 0..host.requests_in_step {
            let is_usable = host.table.usable(SERVICE, at_ms(now)).next().is_some();
            if is_usable && host.table.take_rate_share(at_ms(now), key) {
                let arrival = now + 1 + self.randomness.below(MAX_TRANSIT_MS);
                let request = Message::Request {
                    host: number,
                    sent_ms: now,
                };
                self.network.send(Some(arrival), request);
            }
        }
        for _ in 0..PEERS_PER_STEP {
            let peer = self.randomness.below(self.hosts.len() as u64) as usize;
            if peer == number || is_cut_off || self.hosts[peer].cut_off_until_ms > now {
                continue;
            }
            let arrival = self.randomness.arrival(now);
            let message = Message::Rates {
                host: peer,
                from,
                notices: notices.clone(),
            };
            self.network.send(arrival, message);
        }
    }

    fn deliver(&mut self, now: u64, message: Message) {
        match message {
            Message::Request { host, sent_ms } => {
                let counts = self.hosts[host]
                    .told_ms
                    .is_some_and(|told| told + TOLD_MS <= sent_ms);
                if let (true, Some(count)) = (counts, self.arrivals.back_mut()) {
                    *count += 1;
                }
                let per_second = self.per_second;
                let arrival = now + 1 + self.randomness.below(MAX_TRANSIT_MS);
                let response = Message::Response {
                    host,
                    sent_ms,
                    per_second,
                };
                self.network.send(Some(arrival), response);
            }
            Message::Response { host, .. } | Message::Rates { host, .. }
                if self.hosts[host].starts_ms > now => {}
            // What arrives in a pause is read after it.
            message if self.hosts[receiver(&message)].paused_until_ms > now => {
                let until = self.hosts[receiver(&message)].paused_until_ms;
                self.network.send(Some(until), message);
            }
            Message::Response {
                host,
                sent_ms,
                per_second,
            } => {
                let host = &mut self.hosts[host];
                let statement = RateStatement {
                    per_second,
                    sent_at: at_ms(sent_ms),
                    answered_at: at_ms(now),
                };
                host.table
                    .record_stated_rate(at_ms(now), &self.record, statement);
                if per_second.is_some() {
                    host.told_ms.get_or_insert(now);
                }
            }
            Message::Rates {
                host,
                from,
                notices,
            } => {
                let host = &mut self.hosts[host];
                host.roster.record_message(at_ms(now), from);
                for notice in &notices {
                    host.table.record_rate_notice(at_ms(now), notice);
                }
            }
        }
    }
}

/// Returns the host that receives a message.
fn receiver(message: &Message) -> usize {
    match message {
        Message::Request { host, .. }
        | Message::Response { host, .. }
        | Message::Rates { host, .. } => *host,
    }
}

fn new_host(randomness: &mut Randomness, record: &UpstreamRecord, number: u64) -> Host {
    let address = format!("10.1.0.{}:7662", number + 1)
        .parse()
        .expect("an address");
    // Some hosts join while others share a rate.
    let starts_ms = match randomness.once_in(5) {
        true => randomness.below(SCHEDULE_LENGTH_MS / 2),
        false => 0,
    };
    let error_ms = match randomness.once_in(10) {
        true => randomness.below(4_000) as i64 - 2_000,
        false => randomness.below(100) as i64 - 50,
    };
    Host {
        table: new_table(record),
        roster: HostRoster::new(Some(address), 0, at_ms(starts_ms)),
        address,
        clock_error_us: error_ms * 1_000,
        starts_ms,
        paused_until_ms: 0,
        cut_off_until_ms: 0,
        requests_in_step: 1 + randomness.below(3),
        told_ms: None,
    }
}

/// Guards against hosts whose shares add up to more than an upstream takes: in each window
/// of 4 s, the requests of all hosts that were told of the rate stay within one and a half
/// times the rate and five requests.
#[test]
fn hosts_together_keep_the_rate_that_an_upstream_states() {
    run_schedules(|seed| Simulation::new(seed).run());
}
