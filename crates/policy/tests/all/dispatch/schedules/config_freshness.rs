//! Tests of configuration staleness: the configuration changes while hosts read the
//! store, receive stale watches, query each other, pause and restart.

use super::{Network, Randomness, run_schedules};
use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{
    ConfigFreshness, ConfigVersion, PeerConfirmation, PeerConfirmationResult, StalenessLimits,
};
use std::time::Duration;

const HOSTS: usize = 4;
/// Length of a schedule, in milliseconds.
const SCHEDULE_LENGTH_MS: u64 = 12_000;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 20;
/// The configuration changes in one of this many steps.
const CHANGE_RARITY: u64 = 60;
/// A host restarts, and independently pauses, in one of this many steps.
const FAULT_RARITY: u64 = 400;
/// Longest pause of a host, in milliseconds.
const MAX_PAUSE_MS: u64 = 8_000;

const LIMITS: StalenessLimits = StalenessLimits {
    revocation: Duration::from_secs(5),
    change: Duration::from_secs(2),
};

enum Message {
    /// A linearizable read arrives at the store.
    Read {
        host: usize,
        incarnation: u64,
        sent_at: u64,
    },
    /// The response to a linearizable read arrives at the host.
    ReadResponse {
        host: usize,
        incarnation: u64,
        sent_at: u64,
        version: u64,
    },
    /// A stale watch delivers a version that was the latest at some earlier time.
    Watch {
        host: usize,
        incarnation: u64,
        version: u64,
    },
    /// A query for a confirmation arrives at a peer.
    Query {
        from: usize,
        incarnation: u64,
        to: usize,
        sent_at: u64,
    },
    /// The response to such a query arrives at the host.
    QueryResponse {
        host: usize,
        incarnation: u64,
        sent_at: u64,
        confirmation: PeerConfirmation,
    },
}

struct Host {
    /// Incarnation of the host; messages to earlier ones are discarded.
    incarnation: u64,
    freshness: ConfigFreshness,
    version: u64,
    paused_until: u64,
}

impl Host {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            freshness: ConfigFreshness::new(LIMITS),
            version: 0,
            paused_until: 0,
        }
    }

    fn accept_version(&mut self, version: u64) {
        if self.freshness.accept(ConfigVersion(version)) {
            self.version = version;
        }
    }
}

struct Simulation {
    randomness: Randomness,
    network: Network<Message>,
    hosts: Vec<Host>,
    /// Time at which each version was acknowledged. Versions are numbered from 1.
    acknowledged_at: Vec<u64>,
    /// Number of steps, over all hosts, in which a host admitted requests with keys.
    admitted_steps: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            randomness: Randomness::new(seed),
            network: Network::new(),
            hosts: (0..HOSTS).map(|_| Host::new(0)).collect(),
            acknowledged_at: vec![0],
            admitted_steps: 0,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        for now in (0..SCHEDULE_LENGTH_MS).step_by(STEP_MS as usize) {
            if self.randomness.once_in(CHANGE_RARITY) {
                self.acknowledged_at.push(now);
            }
            for message in self.network.arrived(now) {
                self.deliver(now, message)?;
            }
            for index in 0..HOSTS {
                self.step(now, index)?;
            }
        }
        match self.admitted_steps {
            0 => Err("no host admitted requests with keys in any step".to_owned()),
            _ => Ok(()),
        }
    }

    fn latest(&self) -> u64 {
        self.acknowledged_at.len() as u64
    }

    fn step(&mut self, now: u64, index: usize) -> Result<(), String> {
        if self.randomness.once_in(FAULT_RARITY) {
            self.hosts[index] = Host::new(now + 1);
        }
        if self.randomness.once_in(FAULT_RARITY) {
            self.hosts[index].paused_until = now + self.randomness.below(MAX_PAUSE_MS);
        }
        if self.hosts[index].paused_until > now {
            return Ok(());
        }
        self.check(now, index)?;
        let incarnation = self.hosts[index].incarnation;
        let message = match self.randomness.below(24) {
            0 => Message::Read {
                host: index,
                incarnation,
                sent_at: now,
            },
            1 => Message::Query {
                from: index,
                incarnation,
                to: self.randomness.below(HOSTS as u64) as usize,
                sent_at: now,
            },
            2 => Message::Watch {
                host: index,
                incarnation,
                version: 1 + self.randomness.below(self.latest()),
            },
            _ => return Ok(()),
        };
        let arrival = self.randomness.arrival(now);
        self.network.send(arrival, message);
        Ok(())
    }

    fn deliver(&mut self, now: u64, message: Message) -> Result<(), String> {
        let arrival = self.randomness.arrival(now);
        match message {
            Message::Read {
                host,
                incarnation,
                sent_at,
            } => {
                let version = self.latest();
                let response = Message::ReadResponse {
                    host,
                    incarnation,
                    sent_at,
                    version,
                };
                self.network.send(arrival, response);
            }
            Message::Query {
                from,
                incarnation,
                to,
                sent_at,
            } if self.hosts[to].paused_until <= now => {
                let confirmation = self.hosts[to].freshness.local_confirmation(at_ms(now));
                if let Some(confirmation) = confirmation {
                    let response = Message::QueryResponse {
                        host: from,
                        incarnation,
                        sent_at,
                        confirmation,
                    };
                    self.network.send(arrival, response);
                }
            }
            Message::ReadResponse {
                host,
                incarnation,
                sent_at,
                version,
            } if self.hosts[host].incarnation == incarnation => {
                let host = &mut self.hosts[host];
                host.accept_version(version);
                host.freshness.record_linearizable_read(at_ms(sent_at));
            }
            Message::Watch {
                host,
                incarnation,
                version,
            } if self.hosts[host].incarnation == incarnation => {
                self.hosts[host].accept_version(version)
            }
            Message::QueryResponse {
                host,
                incarnation,
                sent_at,
                confirmation,
            } if self.hosts[host].incarnation == incarnation => {
                let host = &mut self.hosts[host];
                let result = host
                    .freshness
                    .record_peer_confirmation(at_ms(sent_at), confirmation);
                let is_same = confirmation.version == ConfigVersion(host.version);
                if (result == PeerConfirmationResult::Renewed) != is_same {
                    return Err(format!(
                        "{result:?} for {confirmation:?}, but exactly a peer with the same version renews"
                    ));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks what the host would do with a request that arrives at `now`.
    fn check(&mut self, now: u64, index: usize) -> Result<(), String> {
        let host = &self.hosts[index];
        let local = host.freshness.local_confirmation(at_ms(now));
        if local.is_some_and(|local| local.version != ConfigVersion(host.version)) {
            return Err(format!(
                "host {index} went back to a version older than {}",
                host.version
            ));
        }
        let confirmation = host.freshness.confirmation();
        self.admitted_steps += u64::from(confirmation.can_admit_keyed_requests(at_ms(now)));
        let decisions = [
            (
                confirmation.can_admit_keyed_requests(at_ms(now)),
                LIMITS.revocation,
            ),
            (confirmation.can_report_absence(at_ms(now)), LIMITS.change),
        ];
        for (is_covered, limit) in decisions {
            let limit_ms = limit.as_millis() as u64;
            let is_due = |at: &&u64| **at + limit_ms < now;
            let due_version = self.acknowledged_at.iter().filter(is_due).count() as u64;
            if is_covered && host.version < due_version {
                let version = host.version;
                return Err(format!(
                    "at {now} ms host {index} uses version {version}, {due_version} was due"
                ));
            }
        }
        Ok(())
    }
}

/// No host admits a request by its key with a configuration that was replaced longer ago
/// than the revocation bound, reports an absence with one that was replaced longer ago
/// than the change bound, or goes back to an older version.
///
/// The test fails if the code is changed so that the age of a peer's confirmation is
/// counted from the query, that a confirmation from a peer with a newer version is
/// accepted, or that an older version is accepted.
#[test]
fn hosts_use_configurations_within_their_bounds_only() {
    run_schedules(|seed| Simulation::new(seed).run());
}
