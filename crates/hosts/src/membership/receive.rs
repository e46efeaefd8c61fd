//! What a datagram or a fact changes.

use super::table::{Entry, Health};
use super::{Envelope, MemberKey, Membership, MembershipAction};
use crate::replay::ReplayError;
use crate::wire::{Datagram, Fact, FactState, Identity, Kind};
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Takes in a datagram that an accepted key signed.
    ///
    /// A datagram for [`Identity::UNKNOWN`] proves only that its sender once
    /// knew a key. It is answered and changes nothing here: the sender learns
    /// from the answer for which incarnation its next datagram must be meant.
    ///
    /// # Errors
    ///
    /// Fails when the datagram was seen before, or is meant for another
    /// incarnation; then it changes nothing.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: Datagram,
        actions: &mut Vec<MembershipAction>,
    ) -> Result<(), ReplayError> {
        let sender = &datagram.sender;
        if datagram.to == Identity::UNKNOWN {
            self.welcome(from, &datagram, actions);
            return Ok(());
        }
        if datagram.to != self.identity || sender.process == self.own.process {
            return Err(ReplayError::Incarnation);
        }
        self.guard
            .accept(&sender.process, sender.incarnation, datagram.sequence)?;
        let first = self.table.len() == 0;
        let known = self.learn(now, datagram.sender, actions);
        for fact in datagram.facts {
            self.learn(now, fact, actions);
        }
        let Some(key) = known else {
            return Ok(());
        };
        if first {
            let address = self.table[key].fact.address;
            actions.push(MembershipAction::Compare(address));
        }
        self.answer(key, datagram.kind, actions);
        Ok(())
    }

    fn welcome(&self, from: SocketAddr, datagram: &Datagram, actions: &mut Vec<MembershipAction>) {
        if let Kind::Ping { probe } = datagram.kind
            && datagram.sender.process != self.own.process
        {
            actions.push(MembershipAction::Send(Envelope {
                address: from,
                to: datagram.sender.identity(),
                kind: Kind::Ack { probe },
                facts: Vec::new(),
            }));
        }
    }

    fn answer(&mut self, sender: MemberKey, kind: Kind, actions: &mut Vec<MembershipAction>) {
        match kind {
            Kind::Ping { probe } => self.send(sender, Kind::Ack { probe }, actions),
            Kind::Ack { probe } => self.answered(sender, probe, actions),
            Kind::Relay {
                probe,
                target,
                address,
            } => self.relay(sender, probe, (target, address), actions),
            Kind::Notice => {}
        }
        // A member that is heard while it is suspected can't know it yet.
        if self.table[sender].fact.state == FactState::Suspect && !matches!(kind, Kind::Ping { .. })
        {
            self.ping(sender, actions);
        }
    }

    /// Takes in a fact; returns the member that it is about.
    pub(crate) fn learn(
        &mut self,
        now: Duration,
        fact: Fact,
        actions: &mut Vec<MembershipAction>,
    ) -> Option<MemberKey> {
        if fact.process == self.own.process {
            self.refute(&fact, actions);
            return None;
        }
        match self.table.key(&fact.process) {
            // What left or fell silent before it was known here is no news.
            None if fact.state >= FactState::Suspect => None,
            None => {
                let key = self.table.insert(Entry::new(fact, now));
                self.note_change(key, actions);
                Some(key)
            }
            Some(key) => {
                if fact.replaces(&self.table[key].fact) {
                    self.replace(now, key, fact, actions);
                }
                Some(key)
            }
        }
    }

    fn replace(
        &mut self,
        now: Duration,
        key: MemberKey,
        fact: Fact,
        actions: &mut Vec<MembershipAction>,
    ) {
        let entry = &mut self.table[key];
        let incarnation = entry.fact.incarnation;
        let was_gone = entry.health == Health::Gone;
        *entry = Entry::new(fact, now);
        // The verdict on an incarnation stands until that process refutes it.
        let repeated = entry.fact.incarnation == incarnation;
        if was_gone && repeated && entry.fact.state == FactState::Suspect {
            entry.health = Health::Gone;
        }
        self.note_change(key, actions);
    }

    fn note_change(&mut self, key: MemberKey, actions: &mut Vec<MembershipAction>) {
        self.rumours.add(key);
        actions.push(MembershipAction::Changed);
    }

    /// Answers what others say of this process.
    fn refute(&mut self, fact: &Fact, actions: &mut Vec<MembershipAction>) {
        let doubted = matches!(fact.state, FactState::Suspect | FactState::Left);
        match fact.incarnation.cmp(&self.own.incarnation) {
            std::cmp::Ordering::Greater => {
                actions.push(MembershipAction::Superseded(fact.incarnation));
            }
            std::cmp::Ordering::Equal if doubted && fact.refutation >= self.own.refutation => {
                self.own.refutation = fact.refutation.saturating_add(1);
                self.spread(actions);
            }
            _ => {}
        }
    }
}
