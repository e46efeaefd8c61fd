//! Simulated hosts with the quota of one workspace: hosts are killed and start again, all at
//! once too, are paused, cut off from the others and join, and quotas change.

use crate::dispatch::schedules::Randomness;
use crate::dispatch::support::at_ms;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    AskId, HostQuotas, QuotaBucket, QuotaCharge, QuotaDecision, QuotaKey, QuotaLimits,
    QuotaMessage, QuotaRefusal, QuotaRoster, QuotaUnit, WorkspaceQuota,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Length of a simulation step, in milliseconds.
pub(super) const STEP_MS: u64 = 5;
/// Steps between two ticks of a host.
const TICK_STEPS: u64 = 5;
/// Length of the windows in which charges are counted, in milliseconds.
pub(super) const WINDOW_MS: u64 = 8_000;
/// Time after which all hosts have a changed quota, in milliseconds.
const APPLY_MS: u64 = 3_000;
/// Time after which a question is asked again, and after which a request waits no longer.
const REPEAT_MS: u64 = 25;
const GIVE_UP_MS: u64 = 80;
/// A fault begins in one of this many steps.
const FAULT_RARITY: u64 = 200;
/// Longest pause or cut, in milliseconds.
const MAX_FAULT_MS: u64 = 5_000;
/// Time within which a host learns of another one that joins, in milliseconds.
const LEARN_MS: u64 = 1_000;

/// Limits without any surplus.
const NO_TOLERANCE: QuotaLimits = QuotaLimits {
    window: Duration::from_millis(WINDOW_MS),
    overrun: 0.0,
    slack: 0.0,
};

pub(super) const RATE: f64 = 29_000.0;
const BURST: f64 = 58_000.0;
pub(super) const LARGE: u64 = 9_200;

fn quota(rate_per_s: f64, unit: QuotaUnit) -> WorkspaceQuota {
    WorkspaceQuota {
        rate_per_s,
        burst: rate_per_s * BURST / RATE,
        unit,
        default_tokens: 500,
    }
}

pub(super) struct Host {
    address: SocketAddr,
    pub(super) quotas: HostQuotas,
    /// Difference of the clocks of hosts, in milliseconds.
    clock_ms: u64,
    paused_until_ms: u64,
    /// Hosts of different sides can't reach each other.
    pub(super) side: u64,
    knows_newest_at_ms: u64,
    quota_from_ms: u64,
    /// Number of hosts in its roster.
    known: usize,
    asks: Vec<(AskId, u64, u64)>,
    /// Requests that it reads after a pause, with the time at which they were sent.
    pub(super) backlog: Vec<(u64, u64)>,
}

/// What a schedule does, besides the traffic.
pub(super) struct Plan {
    pub(super) hosts: u64,
    pub(super) length_ms: u64,
    /// Requests a second of all hosts together.
    pub(super) requests_per_s: u64,
    pub(super) has_faults: bool,
    /// Whether one host gets all requests.
    pub(super) is_single_host: bool,
    pub(super) unit: QuotaUnit,
    /// Time of the first request.
    pub(super) first_ms: u64,
    /// Whether no requests beyond the quota are sent.
    pub(super) is_within_quota: bool,
}

pub(super) struct Simulation {
    pub(super) plan: Plan,
    key: QuotaKey,
    randomness: Randomness,
    pub(super) hosts: Vec<Host>,
    quota: WorkspaceQuota,
    /// The quota at a single host without tolerances.
    reference: QuotaBucket,
    /// Quotas that may be in force, with the time until which they are.
    earlier: Vec<(u64, WorkspaceQuota)>,
    messages: BTreeMap<(u64, u64), (usize, SocketAddr, QuotaMessage)>,
    pub(super) sent_messages: u64,
    /// Charges of requests that ran, by the time at which they were sent.
    pub(super) charges: Vec<(u64, u64)>,
    /// Refusals, by the time at which their request was sent.
    pub(super) refused: Vec<(u64, QuotaRefusal)>,
    /// Charges to return, with the host and the time of the return.
    returns: Vec<(u64, usize, QuotaCharge)>,
}

fn address_of(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7662))
}

fn number_of(address: SocketAddr) -> usize {
    let IpAddr::V4(address) = address.ip() else {
        unreachable!("all addresses are of IPv4")
    };
    (address.to_bits() & 0xffff) as usize
}

impl Simulation {
    pub(super) fn new(seed: u64, plan: Plan) -> Self {
        let mut simulation = Self {
            quota: quota(RATE, plan.unit),
            reference: QuotaBucket::new(quota(RATE, plan.unit), NO_TOLERANCE, at_ms(0)),
            plan,
            key: QuotaKey(seed),
            randomness: Randomness::new(seed),
            hosts: Vec::new(),
            earlier: Vec::new(),
            messages: BTreeMap::new(),
            sent_messages: 0,
            charges: Vec::new(),
            refused: Vec::new(),
            returns: Vec::new(),
        };
        for number in 0..simulation.plan.hosts {
            let host = simulation.started(address_of(number), 0);
            simulation.hosts.push(host);
        }
        simulation
    }

    fn started(&mut self, address: SocketAddr, now: u64) -> Host {
        let clock_ms = self.randomness.below(100_000);
        let limits = QuotaLimits::default();
        let seed = self.randomness.below(u64::MAX);
        let mut quotas = HostQuotas::new(address, seed, limits, at_ms(now + clock_ms));
        quotas.set_quotas(at_ms(now + clock_ms), [(self.key, self.quota)]);
        Host {
            address,
            quotas,
            clock_ms,
            paused_until_ms: 0,
            side: 0,
            knows_newest_at_ms: now + self.randomness.below(LEARN_MS),
            quota_from_ms: u64::MAX,
            known: 0,
            asks: Vec::new(),
            backlog: Vec::new(),
        }
    }

    pub(super) fn time(&self, host: usize, now: u64) -> Timestamp {
        at_ms(now + self.hosts[host].clock_ms)
    }

    fn begin_fault(&mut self, now: u64) {
        let host = self.randomness.below(self.hosts.len() as u64) as usize;
        let until = now + self.randomness.below(MAX_FAULT_MS);
        match self.randomness.below(8) {
            0 | 1 => {
                let address = self.hosts[host].address;
                self.hosts[host] = self.started(address, now);
            }
            2 | 3 => self.hosts[host].paused_until_ms = until,
            4 => {
                for host in &mut self.hosts {
                    host.side = self.randomness.below(2);
                }
            }
            5 => {
                // All hosts are cut off from each other.
                for (number, host) in self.hosts.iter_mut().enumerate() {
                    host.side = number as u64;
                }
            }
            6 if self.randomness.below(4) == 0 => {
                for host in 0..self.hosts.len() {
                    let address = self.hosts[host].address;
                    self.hosts[host] = self.started(address, now);
                }
            }
            6 if self.hosts.len() as u64 == self.plan.hosts => {
                let host = self.started(address_of(self.plan.hosts), now);
                self.hosts.push(host);
                for host in &mut self.hosts {
                    host.knows_newest_at_ms = now + self.randomness.below(LEARN_MS);
                }
            }
            6 => self.hosts.iter_mut().for_each(|host| host.side = 0),
            _ => {
                self.earlier.push((now + APPLY_MS, self.quota));
                let rate = RATE * (1 + self.randomness.below(8)) as f64 / 4.0;
                self.quota = quota(rate, self.plan.unit);
                for host in &mut self.hosts {
                    host.quota_from_ms = now + self.randomness.below(APPLY_MS);
                }
            }
        }
    }

    pub(super) fn step(&mut self, now: u64) {
        let due = self.messages.split_off(&(now + 1, 0));
        for ((sent_ms, _), (to, from, message)) in std::mem::replace(&mut self.messages, due) {
            if now < self.hosts[to].paused_until_ms {
                let at = self.hosts[to].paused_until_ms;
                self.messages.insert((at, sent_ms), (to, from, message));
                continue;
            }
            let time = self.time(to, now);
            self.hosts[to].quotas.handle(time, from, message);
        }
        for host in 0..self.hosts.len() {
            if now >= self.hosts[host].paused_until_ms {
                self.step_host(host, now);
            }
        }
        for (at, host, charge) in std::mem::take(&mut self.returns) {
            match at <= now {
                true => {
                    let time = self.time(host, now);
                    self.hosts[host].quotas.give_back(time, charge);
                }
                false => self.returns.push((at, host, charge)),
            }
        }
    }

    fn step_host(&mut self, number: usize, now: u64) {
        for (sent_ms, charge) in std::mem::take(&mut self.hosts[number].backlog) {
            self.begin(now, number, sent_ms, charge);
        }
        let time = self.time(number, now);
        let count = self.hosts.len();
        let host = &mut self.hosts[number];
        if (now / STEP_MS + number as u64).is_multiple_of(TICK_STEPS) {
            let known = match now >= host.knows_newest_at_ms {
                true => count,
                false => count.min(self.plan.hosts as usize),
            };
            if known != host.known {
                host.known = known;
                host.quotas.set_roster(QuotaRoster {
                    members: (0..known as u64).map(address_of).collect(),
                    most_hosts: Some(count),
                });
            }
            if now >= host.quota_from_ms {
                host.quotas.set_quotas(time, [(self.key, self.quota)]);
            }
            host.quotas.tick(time);
        }
        let mut ended = Vec::new();
        host.asks.retain(|(ask, sent_ms, asked_ms)| {
            let waited = now - asked_ms;
            if waited == REPEAT_MS {
                host.quotas.repeat_ask(time, *ask);
            }
            let decision = match waited >= GIVE_UP_MS {
                true => Some(host.quotas.end_ask(time, *ask)),
                false => host.quotas.take_answer(time, *ask),
            };
            ended.extend(decision.map(|decision| (*sent_ms, decision)));
            ended.last().is_none_or(|(sent, _)| sent != sent_ms) || decision.is_none()
        });
        for (sent_ms, decision) in ended {
            self.record(number, sent_ms, now, decision);
        }
        for outgoing in self.hosts[number].quotas.take_outgoing() {
            self.sent_messages += 1;
            let to = number_of(outgoing.to);
            let is_cut = self.hosts[to].side != self.hosts[number].side;
            let is_lost = self.plan.has_faults && self.randomness.below(100) == 0;
            if !is_cut && !is_lost {
                let arrival = now + 1 + self.randomness.below(4);
                let from = self.hosts[number].address;
                let place = (arrival, self.sent_messages);
                self.messages.insert(place, (to, from, outgoing.message));
            }
        }
    }

    fn begin(&mut self, now: u64, host: usize, sent_ms: u64, charge: u64) {
        let time = self.time(host, now);
        match self.hosts[host].quotas.begin(time, self.key, charge) {
            Ok(decision) => self.record(host, sent_ms, now, decision),
            Err(ask) => self.hosts[host].asks.push((ask, sent_ms, now)),
        }
    }

    fn record(&mut self, host: usize, sent_ms: u64, now: u64, decision: QuotaDecision) {
        match decision {
            QuotaDecision::Admit(charge) => {
                let charge = charge.expect("the workspace has a quota");
                // Some requests find no upstream, after a time.
                match self.randomness.below(10) == 0 {
                    true => {
                        let at = now + self.randomness.below(2_000);
                        self.returns.push((at, host, charge));
                    }
                    false => self.charges.push((sent_ms, charge.tokens())),
                }
            }
            QuotaDecision::Refuse(refusal) => self.refused.push((sent_ms, refusal)),
        }
    }

    pub(super) fn run(&mut self) {
        for now in (0..self.plan.length_ms).step_by(STEP_MS as usize) {
            if self.plan.has_faults && self.randomness.below(FAULT_RARITY) == 0 {
                self.begin_fault(now);
            }
            self.step(now);
            let in_steps = 1_000 / STEP_MS;
            if now >= self.plan.first_ms
                && self.randomness.below(in_steps * 100) < self.plan.requests_per_s * 100
            {
                let host = match self.plan.is_single_host {
                    true => 3,
                    false => self.randomness.below(self.hosts.len() as u64) as usize,
                };
                let charge = match (self.plan.unit, self.randomness.below(10)) {
                    (QuotaUnit::Requests, _) => 1,
                    (_, 0) if self.plan.has_faults => 50_000,
                    (_, 1..3) => 220,
                    _ => LARGE,
                };
                if !self.plan.is_within_quota || self.reference.take(at_ms(now), charge).is_ok() {
                    self.hosts[host].backlog.push((now, charge));
                }
            }
        }
    }

    /// Returns the number of workspaces that a host owns.
    pub(super) fn owned_by(&mut self, host: usize, now: u64) -> usize {
        let time = self.time(host, now);
        self.hosts[host].quotas.owned_count(time)
    }

    /// Returns an error if a window contains more than is allowed.
    pub(super) fn check(&mut self) -> Result<(), String> {
        self.charges.sort_unstable();
        let limits = QuotaLimits::default();
        let (mut sum, mut first) = (0, 0);
        for (at, charge) in &self.charges {
            sum += charge;
            while self.charges[first].0 + WINDOW_MS <= *at {
                sum -= self.charges[first].1;
                first += 1;
            }
            let binding = self
                .earlier
                .iter()
                .filter(|(until, _)| until + WINDOW_MS > *at);
            let quotas = binding.map(|(_, quota)| quota).chain([&self.quota]);
            let allowed = quotas.map(|quota| limits.most_in_window(quota));
            let allowed = allowed.fold(0.0, f64::max);
            if sum as f64 > allowed {
                return Err(format!("{sum} of {allowed} in the window to {at} ms"));
            }
        }
        Ok(())
    }
}
