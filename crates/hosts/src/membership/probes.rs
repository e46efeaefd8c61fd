//! Failure detection by direct and indirect pings.

use super::table::{Liveness, MemberTable};
use super::{
    GLOBAL_PING_TARGETS, MemberKey, Membership, MembershipAction, OutgoingDatagram,
    RECONTACT_INTERVAL_ROUNDS,
};
use crate::wire::{DatagramKind, IncarnationId, ReportedState};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of members that are asked to ping a member that didn't respond.
const INDIRECT_PROBE_HELPERS: usize = 2;
/// Rounds after which a ping on behalf of a peer is abandoned.
const INDIRECT_PROBE_TIMEOUT_ROUNDS: u32 = 2;

/// A ping that hasn't been acknowledged yet.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) target: MemberKey,
    /// The incarnation that was pinged.
    incarnation_id: IncarnationId,
    /// Number of rounds since the ping was sent.
    age_rounds: u32,
}

/// A ping on behalf of another member.
#[derive(Debug)]
pub(crate) struct IndirectProbe {
    pub(crate) number: u64,
    pub(crate) requester: MemberKey,
    pub(crate) requester_probe: u64,
    age_rounds: u32,
}

/// A random order in which every member gets a turn before any member gets a
/// second one.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    remaining: Vec<MemberKey>,
}

impl Rotation {
    /// Returns the next live member that `is_eligible` accepts.
    fn next(
        &mut self,
        table: &MemberTable,
        random: &mut SmallRng,
        is_eligible: impl Fn(MemberKey) -> bool,
    ) -> Option<MemberKey> {
        let is_candidate = |key: &MemberKey| {
            table
                .get(*key)
                .is_some_and(|entry| entry.liveness == Liveness::Live)
                && is_eligible(*key)
        };
        while let Some(key) = self.remaining.pop() {
            if is_candidate(&key) {
                return Some(key);
            }
        }
        self.remaining = table.live_keys();
        self.remaining.retain(is_candidate);
        self.remaining.shuffle(random);
        self.remaining.pop()
    }
}

impl Membership {
    /// Sends indirect pings for members that didn't respond within a round, and
    /// suspects those that didn't respond to indirect pings either.
    pub(crate) fn check_probes(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        for indirect_probe in &mut self.indirect_probes {
            indirect_probe.age_rounds += 1;
        }
        self.indirect_probes
            .retain(|indirect_probe| indirect_probe.age_rounds <= INDIRECT_PROBE_TIMEOUT_ROUNDS);
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain_mut(|probe| {
            probe.age_rounds += 1;
            let current = self.table.get(probe.target);
            match probe.age_rounds {
                _ if current.is_none_or(|entry| entry.incarnation_id != probe.incarnation_id) => {
                    false
                }
                1 => {
                    self.send_indirect_pings(probe, actions);
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

    fn send_indirect_pings(&mut self, probe: &Probe, actions: &mut Vec<MembershipAction>) {
        let others = self.table.live().map(|(key, _)| key);
        let others = others.filter(|key| *key != probe.target);
        let helpers = others.sample(&mut self.random, INDIRECT_PROBE_HELPERS);
        let kind = DatagramKind::IndirectPing {
            probe: probe.number,
            target: probe.incarnation_id,
            address: self.table[probe.target].record.address,
        };
        for helper in helpers {
            self.send(helper, kind, actions);
        }
    }

    /// Pings the members whose turn it is.
    pub(crate) fn ping_members(&mut self, actions: &mut Vec<MembershipAction>) {
        let table = &self.table;
        let own = &self.own.data_centre;
        let is_local = |key: MemberKey| table[key].record.data_centre == *own;
        let mut targets = Vec::with_capacity(1 + GLOBAL_PING_TARGETS);
        targets.extend(self.local_rotation.next(table, &mut self.random, is_local));
        for _ in 0..GLOBAL_PING_TARGETS {
            let target = self.global_rotation.next(table, &mut self.random, |_| true);
            targets.extend(target.filter(|key| !targets.contains(key)));
        }
        for target in targets {
            self.ping(target, actions);
        }
    }

    /// Pings a member. Tracks this ping only if no earlier ping to the member is
    /// pending; otherwise the earlier one stays tracked.
    pub(crate) fn ping(&mut self, target: MemberKey, actions: &mut Vec<MembershipAction>) {
        let number = self.next_probe_number();
        if !self.probes.iter().any(|probe| probe.target == target) {
            self.probes.push(Probe {
                number,
                target,
                incarnation_id: self.table[target].incarnation_id,
                age_rounds: 0,
            });
        }
        self.send(target, DatagramKind::Ping { probe: number }, actions);
    }

    /// Pings a process on behalf of another member.
    pub(crate) fn start_indirect_probe(
        &mut self,
        requester: MemberKey,
        requester_probe: u64,
        (target, address): (IncarnationId, SocketAddr),
        actions: &mut Vec<MembershipAction>,
    ) {
        let number = self.next_probe_number();
        self.indirect_probes.push(IndirectProbe {
            number,
            requester,
            requester_probe,
            age_rounds: 0,
        });
        actions.push(MembershipAction::Send(OutgoingDatagram {
            address,
            to: target,
            kind: DatagramKind::Ping { probe: number },
            member_records: Vec::new(),
        }));
    }

    /// Handles an acknowledgement, and forwards it if another member requested
    /// the ping.
    pub(crate) fn handle_ack(
        &mut self,
        sender: MemberKey,
        number: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        // An acknowledgement from the member itself settles all pings to it.
        // One that another member forwarded settles the ping with that number.
        self.probes
            .retain(|probe| probe.target != sender && probe.number != number);
        let indirect_probe = self
            .indirect_probes
            .iter()
            .position(|indirect_probe| indirect_probe.number == number);
        if let Some(indirect_probe) =
            indirect_probe.map(|index| self.indirect_probes.swap_remove(index))
            && self.table.get(indirect_probe.requester).is_some()
        {
            let kind = DatagramKind::Ack {
                probe: indirect_probe.requester_probe,
            };
            self.send(indirect_probe.requester, kind, actions);
        }
    }

    /// Pings addresses at which no live member is known: a random such seed other
    /// than the own address and, every few rounds, the address of a random dead
    /// member that didn't announce its exit.
    pub(crate) fn contact_addresses_without_live_member(
        &mut self,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_own_or_live = |seed: &SocketAddr| {
            let mut live = self.table.live();
            *seed == self.own.address || live.any(|(_, entry)| entry.record.address == *seed)
        };
        let seeds_without_live_member: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !is_own_or_live(seed))
            .collect();
        let mut addresses: Vec<SocketAddr> = seeds_without_live_member
            .choose(&mut self.random)
            .copied()
            .into_iter()
            .collect();
        if self.rounds.is_multiple_of(RECONTACT_INTERVAL_ROUNDS) {
            let is_suspected =
                |entry: &&super::table::Entry| entry.record.state == ReportedState::Suspect;
            let dead = self
                .table
                .dead()
                .filter(is_suspected)
                .choose(&mut self.random);
            addresses.extend(dead.map(|entry| entry.record.address));
        }
        for address in addresses {
            self.contact(address, actions);
        }
    }

    /// Pings whichever process listens at an address.
    fn contact(&mut self, address: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let probe = self.next_probe_number();
        actions.push(MembershipAction::Send(OutgoingDatagram {
            address,
            to: IncarnationId::UNKNOWN,
            kind: DatagramKind::Ping { probe },
            member_records: Vec::new(),
        }));
    }

    fn next_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }
}
