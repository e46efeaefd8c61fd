//! Configurations change and keys are withdrawn while hosts read the store, hear
//! stale watches, ask each other, stand still and die.

use super::{Chooser, Network, try_schedules};
use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{
    ConfigFreshness, ConfigVersion, PeerConfirmation, PeerConfirmationResult, StalenessLimits,
};
use std::time::Duration;

const HOSTS: usize = 4;
/// Length of a schedule, in ms.
const LENGTH: u64 = 12_000;
/// Time between two looks, in ms.
const STEP: u64 = 20;
/// One in this many looks changes the configuration.
const CHANGE_RARITY: u64 = 60;
/// One in this many looks of a host ends it, or lets it stand still.
const TROUBLE_RARITY: u64 = 400;
/// Longest time that a host stands still, in ms.
const LONGEST_PAUSE: u64 = 8_000;

const LIMITS: StalenessLimits = StalenessLimits {
    revocation: Duration::from_secs(5),
    change: Duration::from_secs(2),
};

enum Message {
    /// An exact read arrives at the store.
    Read { host: usize, start: u64, sent: u64 },
    /// Its answer.
    ReadAnswer {
        host: usize,
        start: u64,
        sent: u64,
        version: u64,
    },
    /// A stale watch brings a version that was the newest once.
    Watch {
        host: usize,
        start: u64,
        version: u64,
    },
    /// A host asks another.
    Query {
        from: usize,
        start: u64,
        to: usize,
        sent: u64,
    },
    /// Its answer.
    Proof {
        host: usize,
        start: u64,
        sent: u64,
        proof: PeerConfirmation,
    },
}

struct Host {
    /// Number of the process's start; what was meant for an earlier one is lost.
    start: u64,
    currency: ConfigFreshness,
    version: u64,
    paused_until: u64,
}

impl Host {
    fn new(start: u64) -> Self {
        Self {
            start,
            currency: ConfigFreshness::new(LIMITS),
            version: 0,
            paused_until: 0,
        }
    }

    fn take_version(&mut self, version: u64) {
        if self.currency.accept(ConfigVersion(version)) {
            self.version = version;
        }
    }
}

struct World {
    chooser: Chooser,
    network: Network<Message>,
    hosts: Vec<Host>,
    /// When each version was acknowledged; its number is its position plus one.
    acknowledged: Vec<u64>,
    /// Looks at which a host could admit keys.
    covered: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            chooser: Chooser::new(seed),
            network: Network::new(),
            hosts: (0..HOSTS).map(|_| Host::new(0)).collect(),
            acknowledged: vec![0],
            covered: 0,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        for now in (0..LENGTH).step_by(STEP as usize) {
            if self.chooser.once_in(CHANGE_RARITY) {
                self.acknowledged.push(now);
            }
            for message in self.network.arrived(now) {
                self.deliver(now, message)?;
            }
            for index in 0..HOSTS {
                self.look(now, index)?;
            }
        }
        match self.covered {
            0 => Err("no host ever admitted a key".to_owned()),
            _ => Ok(()),
        }
    }

    fn newest(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    fn look(&mut self, now: u64, index: usize) -> Result<(), String> {
        if self.chooser.once_in(TROUBLE_RARITY) {
            self.hosts[index] = Host::new(now + 1);
        }
        if self.chooser.once_in(TROUBLE_RARITY) {
            self.hosts[index].paused_until = now + self.chooser.below(LONGEST_PAUSE);
        }
        if self.hosts[index].paused_until > now {
            return Ok(());
        }
        self.check(now, index)?;
        let start = self.hosts[index].start;
        let message = match self.chooser.below(24) {
            0 => Message::Read {
                host: index,
                start,
                sent: now,
            },
            1 => Message::Query {
                from: index,
                start,
                to: self.chooser.below(HOSTS as u64) as usize,
                sent: now,
            },
            2 => Message::Watch {
                host: index,
                start,
                version: 1 + self.chooser.below(self.newest()),
            },
            _ => return Ok(()),
        };
        let arrival = self.chooser.arrival(now);
        self.network.send(arrival, message);
        Ok(())
    }

    fn deliver(&mut self, now: u64, message: Message) -> Result<(), String> {
        let arrival = self.chooser.arrival(now);
        match message {
            Message::Read { host, start, sent } => {
                let version = self.newest();
                let answer = Message::ReadAnswer {
                    host,
                    start,
                    sent,
                    version,
                };
                self.network.send(arrival, answer);
            }
            Message::Query {
                from,
                start,
                to,
                sent,
            } if self.hosts[to].paused_until <= now => {
                let proof = self.hosts[to].currency.local_confirmation(at_ms(now));
                if let Some(proof) = proof {
                    let answer = Message::Proof {
                        host: from,
                        start,
                        sent,
                        proof,
                    };
                    self.network.send(arrival, answer);
                }
            }
            Message::ReadAnswer {
                host,
                start,
                sent,
                version,
            } if self.hosts[host].start == start => {
                let host = &mut self.hosts[host];
                host.take_version(version);
                host.currency.record_linearizable_read(at_ms(sent));
            }
            Message::Watch {
                host,
                start,
                version,
            } if self.hosts[host].start == start => self.hosts[host].take_version(version),
            Message::Proof {
                host,
                start,
                sent,
                proof,
            } if self.hosts[host].start == start => {
                let host = &mut self.hosts[host];
                let result = host.currency.record_peer_confirmation(at_ms(sent), proof);
                let is_same = proof.version == ConfigVersion(host.version);
                if (result == PeerConfirmationResult::Renewed) != is_same {
                    return Err(format!("{result:?} by a proof of {proof:?}"));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks what the host would do with a request that comes now.
    fn check(&mut self, now: u64, index: usize) -> Result<(), String> {
        let host = &self.hosts[index];
        let own = host.currency.local_confirmation(at_ms(now));
        if own.is_some_and(|own| own.version != ConfigVersion(host.version)) {
            return Err(format!("host {index} went back from {}", host.version));
        }
        let proof = host.currency.confirmation();
        self.covered += u64::from(proof.can_admit_keyed_requests(at_ms(now)));
        let decisions = [
            (
                proof.can_admit_keyed_requests(at_ms(now)),
                LIMITS.revocation,
            ),
            (proof.can_report_absence(at_ms(now)), LIMITS.change),
        ];
        for (is_covered, limit) in decisions {
            let limit_ms = limit.as_millis() as u64;
            let due = |at: &&u64| **at + limit_ms < now;
            let least = self.acknowledged.iter().filter(due).count() as u64;
            if is_covered && host.version < least {
                let version = host.version;
                return Err(format!(
                    "at {now} ms host {index} acts by version {version}, {least} was due"
                ));
            }
        }
        Ok(())
    }
}

/// No host admits a key by a configuration that was replaced longer ago than the
/// bound, says that something is absent by one that was replaced longer ago than
/// its bound, or goes back to an older version.
///
/// Seen failing with another host's proof that counts from the question, with
/// proofs taken from hosts with newer versions, and with older versions accepted.
#[test]
fn hosts_act_by_current_configurations_only() {
    try_schedules(|seed| World::new(seed).run());
}
