//! What a datagram or a fact changes.

use super::table::{Entry, Health};
use super::{MemberKey, Membership, MembershipAction, OutgoingDatagram};
use crate::replay::ReplayError;
use crate::wire::{Datagram, DatagramKind, IncarnationId, MemberRecord, ReportedState};
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Takes in a datagram that an accepted key signed.
    ///
    /// A datagram for [`IncarnationId::UNKNOWN`] proves only that its sender once
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
        if datagram.to == IncarnationId::UNKNOWN {
            self.welcome(from, &datagram, actions);
            return Ok(());
        }
        if datagram.to != self.identity || sender.process == self.own.process {
            return Err(ReplayError::WrongIncarnation);
        }
        self.guard
            .accept(&sender.process, sender.incarnation, datagram.sequence)?;
        let first = self.table.len() == 0;
        let known = self.learn(now, datagram.sender, actions);
        for fact in datagram.member_records {
            self.learn(now, fact, actions);
        }
        let Some(key) = known else {
            return Ok(());
        };
        if first {
            let address = self.table[key].fact.address;
            actions.push(MembershipAction::FetchMembers(address));
        }
        self.answer(key, datagram.kind, actions);
        Ok(())
    }

    fn welcome(&self, from: SocketAddr, datagram: &Datagram, actions: &mut Vec<MembershipAction>) {
        if let DatagramKind::Ping { probe } = datagram.kind
            && datagram.sender.process != self.own.process
        {
            actions.push(MembershipAction::Send(OutgoingDatagram {
                address: from,
                to: datagram.sender.identity(),
                kind: DatagramKind::Ack { probe },
                member_records: Vec::new(),
            }));
        }
    }

    fn answer(
        &mut self,
        sender: MemberKey,
        kind: DatagramKind,
        actions: &mut Vec<MembershipAction>,
    ) {
        match kind {
            DatagramKind::Ping { probe } => self.send(sender, DatagramKind::Ack { probe }, actions),
            DatagramKind::Ack { probe } => self.answered(sender, probe, actions),
            DatagramKind::IndirectPing {
                probe,
                target,
                address,
            } => self.relay(sender, probe, (target, address), actions),
            DatagramKind::Gossip => {}
        }
        // A member that is heard while it is suspected can't know it yet.
        if self.table[sender].fact.state == ReportedState::Suspect
            && !matches!(kind, DatagramKind::Ping { .. })
        {
            self.ping(sender, actions);
        }
    }

    /// Takes in a fact; returns the member that it is about.
    pub(crate) fn learn(
        &mut self,
        now: Duration,
        fact: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) -> Option<MemberKey> {
        if fact.process == self.own.process {
            self.refute(&fact, actions);
            return None;
        }
        match self.table.key(&fact.process) {
            // What left or fell silent before it was known here is no news.
            None if fact.state >= ReportedState::Suspect => None,
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
        fact: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let entry = &mut self.table[key];
        let incarnation = entry.fact.incarnation;
        let was_gone = entry.health == Health::Gone;
        *entry = Entry::new(fact, now);
        // The verdict on an incarnation stands until that process refutes it.
        let repeated = entry.fact.incarnation == incarnation;
        if was_gone && repeated && entry.fact.state == ReportedState::Suspect {
            entry.health = Health::Gone;
        }
        self.note_change(key, actions);
    }

    fn note_change(&mut self, key: MemberKey, actions: &mut Vec<MembershipAction>) {
        self.rumours.add(key);
        actions.push(MembershipAction::Changed);
    }

    /// Answers what others say of this process.
    fn refute(&mut self, fact: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        let doubted = matches!(fact.state, ReportedState::Suspect | ReportedState::Left);
        match fact.incarnation.cmp(&self.own.incarnation) {
            std::cmp::Ordering::Greater => {
                actions.push(MembershipAction::Superseded(fact.incarnation));
            }
            std::cmp::Ordering::Equal if doubted && fact.refutation >= self.own.refutation => {
                self.own.refutation = fact.refutation.saturating_add(1);
                self.gossip(actions);
            }
            _ => {}
        }
    }
}
