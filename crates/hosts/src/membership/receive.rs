//! Handling of received datagrams and membership records.

use super::table::{Entry, Liveness};
use super::{MemberKey, Membership, MembershipAction, OutgoingDatagram};
use crate::replay::ReplayError;
use crate::wire::{Datagram, DatagramKind, IncarnationId, MemberRecord, ReportedState};
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Handles a datagram that an accepted key signed.
    ///
    /// A datagram addressed to [`IncarnationId::UNKNOWN`] proves only that its
    /// sender knew a key at some time, because it may be a replay. It is
    /// acknowledged but changes no state. The acknowledgement tells the sender
    /// which incarnation it must address its next datagram to.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram was received before or is addressed to
    /// another incarnation. Such a datagram changes no state.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: Datagram,
        actions: &mut Vec<MembershipAction>,
    ) -> Result<(), ReplayError> {
        let sender = &datagram.sender;
        if datagram.to == IncarnationId::UNKNOWN {
            self.answer_first_contact(from, &datagram, actions);
            return Ok(());
        }
        if datagram.to != self.incarnation_id || sender.process == self.own.process {
            return Err(ReplayError::WrongIncarnation);
        }
        self.replay_guard
            .accept(&sender.process, sender.incarnation, datagram.sequence)?;
        let is_first = self.table.len() == 0;
        let sender_key = self.apply_record(now, datagram.sender, actions);
        for record in datagram.member_records {
            self.apply_record(now, record, actions);
        }
        let Some(key) = sender_key else {
            return Ok(());
        };
        if is_first {
            let address = self.table[key].record.address;
            actions.push(MembershipAction::PullMembers(address));
        }
        self.respond(key, datagram.kind, actions);
        Ok(())
    }

    fn answer_first_contact(
        &self,
        from: SocketAddr,
        datagram: &Datagram,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let DatagramKind::Ping { probe } = datagram.kind
            && datagram.sender.process != self.own.process
        {
            actions.push(MembershipAction::Send(OutgoingDatagram {
                address: from,
                to: datagram.sender.incarnation_id(),
                kind: DatagramKind::Ack { probe },
                member_records: Vec::new(),
            }));
        }
    }

    fn respond(
        &mut self,
        sender: MemberKey,
        kind: DatagramKind,
        actions: &mut Vec<MembershipAction>,
    ) {
        match kind {
            DatagramKind::Ping { probe } => self.send(sender, DatagramKind::Ack { probe }, actions),
            DatagramKind::Ack { probe } => self.handle_ack(sender, probe, actions),
            DatagramKind::IndirectPing {
                probe,
                target,
                address,
            } => self.start_indirect_probe(sender, probe, (target, address), actions),
            DatagramKind::Gossip => {}
        }
        // A suspected member that sent this datagram may not know of the
        // suspicion yet. The ping carries the suspicion, so that the member can
        // refute it.
        if self.table[sender].record.state == ReportedState::Suspect
            && !matches!(kind, DatagramKind::Ping { .. })
        {
            self.ping(sender, actions);
        }
    }

    /// Applies a record and returns the key of the member that it describes.
    pub(crate) fn apply_record(
        &mut self,
        now: Duration,
        record: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) -> Option<MemberKey> {
        if record.process == self.own.process {
            self.refute(&record, actions);
            return None;
        }
        match self.table.key(&record.process) {
            // A member that exited or was suspected before it became known is
            // ignored.
            None if record.state >= ReportedState::Suspect => None,
            None => {
                let key = self.table.insert(Entry::new(record, now));
                self.queue_change(key, actions);
                Some(key)
            }
            Some(key) => {
                if record.replaces(&self.table[key].record) {
                    self.replace_record(now, key, record, actions);
                }
                Some(key)
            }
        }
    }

    fn replace_record(
        &mut self,
        now: Duration,
        key: MemberKey,
        record: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let entry = &mut self.table[key];
        let incarnation = entry.record.incarnation;
        let was_dead = entry.liveness == Liveness::Dead;
        *entry = Entry::new(record, now);
        // A dead incarnation stays dead until the process itself refutes the
        // suspicion.
        let is_same_incarnation = entry.record.incarnation == incarnation;
        if was_dead && is_same_incarnation && entry.record.state == ReportedState::Suspect {
            entry.liveness = Liveness::Dead;
        }
        self.queue_change(key, actions);
    }

    fn queue_change(&mut self, key: MemberKey, actions: &mut Vec<MembershipAction>) {
        self.gossip_queue.add(key);
        actions.push(MembershipAction::Changed);
    }

    /// Refutes a record in which peers suspect this process or report its exit,
    /// and detects a later incarnation of this process.
    fn refute(&mut self, record: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        let is_disputed = matches!(record.state, ReportedState::Suspect | ReportedState::Exited);
        match record.incarnation.cmp(&self.own.incarnation) {
            std::cmp::Ordering::Greater => {
                actions.push(MembershipAction::Superseded(record.incarnation));
            }
            std::cmp::Ordering::Equal
                if is_disputed && record.refutation >= self.own.refutation =>
            {
                self.own.refutation = record.refutation.saturating_add(1);
                self.gossip(actions);
            }
            _ => {}
        }
    }
}
