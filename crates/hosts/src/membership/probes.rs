//! Whom to ping, and what to conclude from silence.

use super::table::{Health, MemberTable};
use super::{
    MemberKey, Membership, MembershipAction, OutgoingDatagram, RECONTACT_ROUNDS, REMOTE_TARGETS,
};
use crate::wire::{DatagramKind, IncarnationId, ReportedState};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use std::net::SocketAddr;
use std::time::Duration;

/// Members that are asked to ping one that didn't answer.
const RELAY_MEMBERS: usize = 2;
/// Rounds for which a ping on behalf of another may stay unanswered.
const RELAY_ROUNDS: u32 = 2;

/// A ping that wasn't answered yet.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) target: MemberKey,
    /// The incarnation that was pinged.
    identity: IncarnationId,
    /// Rounds since it was sent.
    age: u32,
}

/// A ping on behalf of another member.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) number: u64,
    pub(crate) asker: MemberKey,
    pub(crate) asker_probe: u64,
    age: u32,
}

/// An order in which every member has its turn before any has a second one.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    waiting: Vec<MemberKey>,
}

impl Rotation {
    /// Returns the next live member for which `eligible` holds.
    fn next(
        &mut self,
        table: &MemberTable,
        random: &mut SmallRng,
        eligible: impl Fn(MemberKey) -> bool,
    ) -> Option<MemberKey> {
        let live = |key: &MemberKey| {
            table
                .get(*key)
                .is_some_and(|entry| entry.health == Health::Live)
                && eligible(*key)
        };
        while let Some(key) = self.waiting.pop() {
            if live(&key) {
                return Some(key);
            }
        }
        self.waiting = table.live_keys();
        self.waiting.retain(live);
        self.waiting.shuffle(random);
        self.waiting.pop()
    }
}

impl Membership {
    /// Asks others about members that didn't answer in a round, and suspects
    /// those that didn't answer them either.
    pub(crate) fn check_probes(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        for relay in &mut self.relays {
            relay.age += 1;
        }
        self.relays.retain(|relay| relay.age <= RELAY_ROUNDS);
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain_mut(|probe| {
            probe.age += 1;
            let current = self.table.get(probe.target);
            match probe.age {
                _ if current.is_none_or(|entry| entry.identity != probe.identity) => false,
                1 => {
                    self.ask_others(probe, actions);
                    true
                }
                2 => true,
                _ => {
                    self.suspect(now, probe.target, actions);
                    false
                }
            }
        });
        probes.append(&mut self.probes);
        self.probes = probes;
    }

    fn ask_others(&mut self, probe: &Probe, actions: &mut Vec<MembershipAction>) {
        let others = self.table.live().map(|(key, _)| key);
        let others = others.filter(|key| *key != probe.target);
        let helpers = others.sample(&mut self.random, RELAY_MEMBERS);
        let kind = DatagramKind::IndirectPing {
            probe: probe.number,
            target: probe.identity,
            address: self.table[probe.target].fact.address,
        };
        for helper in helpers {
            self.send(helper, kind, actions);
        }
    }

    /// Pings the members whose turn it is.
    pub(crate) fn ping_members(&mut self, actions: &mut Vec<MembershipAction>) {
        let table = &self.table;
        let own = &self.own.data_centre;
        let is_local = |key: MemberKey| table[key].fact.data_centre == *own;
        let mut targets = Vec::with_capacity(1 + REMOTE_TARGETS);
        targets.extend(self.local_rotation.next(table, &mut self.random, is_local));
        for _ in 0..REMOTE_TARGETS {
            let target = self.rotation.next(table, &mut self.random, |_| true);
            targets.extend(target.filter(|key| !targets.contains(key)));
        }
        for target in targets {
            self.ping(target, actions);
        }
    }

    /// Pings a member and expects its answer.
    pub(crate) fn ping(&mut self, target: MemberKey, actions: &mut Vec<MembershipAction>) {
        let number = self.number_probe();
        if !self.probes.iter().any(|probe| probe.target == target) {
            self.probes.push(Probe {
                number,
                target,
                identity: self.table[target].identity,
                age: 0,
            });
        }
        self.send(target, DatagramKind::Ping { probe: number }, actions);
    }

    /// Pings a process on behalf of another.
    pub(crate) fn relay(
        &mut self,
        asker: MemberKey,
        asker_probe: u64,
        (target, address): (IncarnationId, SocketAddr),
        actions: &mut Vec<MembershipAction>,
    ) {
        let number = self.number_probe();
        self.relays.push(Relay {
            number,
            asker,
            asker_probe,
            age: 0,
        });
        actions.push(MembershipAction::Send(OutgoingDatagram {
            address,
            to: target,
            kind: DatagramKind::Ping { probe: number },
            member_records: Vec::new(),
        }));
    }

    /// Notes an answer, and passes it on if another asked for it.
    pub(crate) fn answered(
        &mut self,
        sender: MemberKey,
        number: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        // An answer from the member itself settles all pings to it; one that
        // was passed on by another settles the ping that it names.
        self.probes
            .retain(|probe| probe.target != sender && probe.number != number);
        let relay = self.relays.iter().position(|relay| relay.number == number);
        if let Some(relay) = relay.map(|index| self.relays.swap_remove(index))
            && self.table.get(relay.asker).is_some()
        {
            let kind = DatagramKind::Ack {
                probe: relay.asker_probe,
            };
            self.send(relay.asker, kind, actions);
        }
    }

    /// Tries an address whose process isn't known: a seed that no member
    /// listens at, now and then one of a member that is gone.
    pub(crate) fn contact_strangers(&mut self, actions: &mut Vec<MembershipAction>) {
        let known = |seed: &SocketAddr| {
            let mut live = self.table.live();
            *seed == self.own.address || live.any(|(_, entry)| entry.fact.address == *seed)
        };
        let strangers: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !known(seed))
            .collect();
        let mut addresses: Vec<SocketAddr> = strangers
            .choose(&mut self.random)
            .copied()
            .into_iter()
            .collect();
        if self.rounds.is_multiple_of(RECONTACT_ROUNDS) {
            let silent = |entry: &&super::table::Entry| entry.fact.state == ReportedState::Suspect;
            let gone = self.table.gone().filter(silent).choose(&mut self.random);
            addresses.extend(gone.map(|entry| entry.fact.address));
        }
        for address in addresses {
            self.contact(address, actions);
        }
    }

    /// Pings whatever process listens at an address.
    fn contact(&mut self, address: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let probe = self.number_probe();
        actions.push(MembershipAction::Send(OutgoingDatagram {
            address,
            to: IncarnationId::UNKNOWN,
            kind: DatagramKind::Ping { probe },
            member_records: Vec::new(),
        }));
    }

    fn number_probe(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }
}
