//! The actor that owns the membership and sends its datagrams.
//!
//! Every datagram carries the revision of the configuration and the versions of
//! some fleet views. A process that sees a higher one than its own has it
//! pulled from the sender.

use crate::context::PeerContext;
use crate::counters::PeerCounter;
use crate::datagram::DatagramCodec;
use crate::fleet_news::FleetNews;
use crate::membership::{Member, Membership, MembershipAction, OutgoingDatagram};
use crate::puller::{Hint, PullActor};
use crate::wire::{Datagram, FleetVersion, IncarnationId, MemberRecord};
use lagoonlift_types::Revision;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use xtra::prelude::*;

/// Owns the membership of one process.
#[derive(xtra::Actor)]
pub(crate) struct HeartbeatActor {
    pub(crate) context: Arc<PeerContext>,
    pub(crate) membership: Membership,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) codec: DatagramCodec,
    pub(crate) puller: Address<PullActor>,
    pub(crate) members: watch::Sender<Arc<Vec<Member>>>,
    pub(crate) fleet_news: FleetNews,
    pub(crate) started: Instant,
    /// Number of the next datagram.
    pub(crate) sequence: u64,
    /// Kept to reuse its memory.
    pub(crate) buffer: Vec<u8>,
    pub(crate) superseded: bool,
}

/// A datagram arrived whose tag is right.
pub(crate) struct Incoming {
    pub(crate) from: SocketAddr,
    pub(crate) datagram: Datagram,
}

/// A round is due.
pub(crate) struct Round;

/// There is a new configuration or fleet view to tell of.
pub(crate) struct Spread;

/// The process will end soon.
pub(crate) struct Leave;

/// The process ends now.
pub(crate) struct End;

/// Another process sent its whole list.
pub(crate) struct Merge(pub(crate) Vec<MemberRecord>);

/// Asks for the whole list.
pub(crate) struct ListFacts;

impl HeartbeatActor {
    /// Runs one step of the membership and does what it asks for.
    async fn step(&mut self, step: impl FnOnce(&mut Membership, &mut Vec<MembershipAction>)) {
        let mut actions = Vec::new();
        step(&mut self.membership, &mut actions);
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send(envelope) => self.send(envelope),
                MembershipAction::FetchMembers(address) => {
                    self.hint(Hint::Members { address }).await
                }
                MembershipAction::Changed => changed = true,
                MembershipAction::Suspected(process) => {
                    self.context
                        .counters
                        .increment(PeerCounter::MembersSuspected);
                    tracing::info!(%process, "member is suspected");
                }
                MembershipAction::Superseded(incarnation) => self.note_superseded(incarnation.0),
            }
        }
        if changed {
            let members = self.membership.members();
            self.context.counters.set_members(members.len());
            self.members.send_replace(Arc::new(members));
        }
    }

    fn note_superseded(&mut self, incarnation: u64) {
        if !self.superseded {
            tracing::warn!(incarnation, "a later start of this process takes part");
        }
        self.superseded = true;
    }

    fn send(&mut self, envelope: OutgoingDatagram) {
        let datagram = Datagram {
            sender: self.membership.own().clone(),
            to: envelope.to,
            sequence: self.sequence,
            kind: envelope.kind,
            revision: self.context.store.revision(),
            fleets: self.fleet_news.pick(&self.context.fleets),
            member_records: envelope.member_records,
        };
        self.sequence += 1;
        if let Err(error) = self.codec.encode(&datagram, &mut self.buffer) {
            tracing::error!(%error, "a heartbeat can't be sent");
            return;
        }
        // A datagram that the socket has no room for counts as lost on the way.
        if let Ok(sent) = self.socket.try_send_to(&self.buffer, envelope.address) {
            let counters = &self.context.counters;
            counters.increment(PeerCounter::DatagramsSent);
            counters.add(PeerCounter::DatagramBytesSent, sent as u64);
        }
    }

    async fn hint(&self, hint: Hint) {
        // The puller lives as long as this actor holds its address.
        let _ = self.puller.send(hint).await;
    }

    /// Has pulled what a sender holds and this process lacks.
    async fn compare_news(&mut self, news: News) {
        let address = news.address;
        if news.revision > self.context.store.revision() {
            let revision = news.revision;
            self.hint(Hint::Configuration { address, revision }).await;
        }
        let lacks = |version| self.context.fleets.lacks(version);
        if news.fleets.iter().any(lacks) {
            self.hint(Hint::Fleets { address }).await;
        }
    }
}

/// What a datagram tells besides membership.
struct News {
    address: SocketAddr,
    revision: Revision,
    fleets: Vec<FleetVersion>,
}

impl Handler<Incoming> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, incoming: Incoming, _: &mut Context<Self>) {
        let now = self.started.elapsed();
        let Incoming { from, mut datagram } = incoming;
        let is_greeting = datagram.to == IncarnationId::UNKNOWN;
        let news = News {
            address: datagram.sender.address,
            revision: datagram.revision,
            fleets: std::mem::take(&mut datagram.fleets),
        };
        let mut outcome = Ok(());
        self.step(|membership, actions| {
            outcome = membership.receive(now, from, datagram, actions);
        })
        .await;
        match outcome {
            // A greeting may be a recorded one, so its news isn't believed.
            Ok(()) if is_greeting => {}
            Ok(()) => self.compare_news(news).await,
            Err(_) => self
                .context
                .counters
                .increment(PeerCounter::DatagramsReplayed),
        }
    }
}

impl Handler<Round> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: Round, _: &mut Context<Self>) {
        let now = self.started.elapsed();
        self.step(|membership, actions| membership.tick(now, actions))
            .await;
    }
}

impl Handler<Spread> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: Spread, _: &mut Context<Self>) {
        self.fleet_news.notice(&self.context.fleets);
        self.step(|membership, actions| membership.gossip(actions))
            .await;
    }
}

impl Handler<Leave> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.step(|membership, actions| membership.announce_draining(actions))
            .await;
    }
}

impl Handler<End> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: End, _: &mut Context<Self>) {
        self.step(|membership, actions| membership.announce_exit(actions))
            .await;
    }
}

impl Handler<Merge> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, merge: Merge, _: &mut Context<Self>) {
        let now = self.started.elapsed();
        self.step(|membership, actions| membership.merge(now, merge.0, actions))
            .await;
    }
}

impl Handler<ListFacts> for HeartbeatActor {
    type Return = Vec<MemberRecord>;

    async fn handle(&mut self, _: ListFacts, _: &mut Context<Self>) -> Vec<MemberRecord> {
        self.membership.member_records()
    }
}
