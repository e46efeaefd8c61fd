//! The actor that owns the membership and sends its datagrams.
//!
//! Every datagram carries the revision of the configuration and the versions of
//! some fleet views. A process that sees a higher one than its own has it
//! pulled from the sender.

use crate::context::PeerContext;
use crate::counters::PeerCounter;
use crate::datagram::DatagramCodec;
use crate::fleet_gossip::FleetVersionGossip;
use crate::membership::{Member, Membership, MembershipAction, OutgoingDatagram};
use crate::puller::{PullActor, PullHint};
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
    pub(crate) fleet_gossip: FleetVersionGossip,
    pub(crate) started: Instant,
    /// Number of the next datagram.
    pub(crate) sequence: u64,
    /// Kept to reuse its memory.
    pub(crate) buffer: Vec<u8>,
    pub(crate) is_superseded: bool,
}

/// A datagram arrived whose tag is right.
pub(crate) struct ReceivedDatagram {
    pub(crate) from: SocketAddr,
    pub(crate) datagram: Datagram,
}

/// A round is due.
pub(crate) struct StartRound;

/// There is a new configuration or fleet view to tell of.
pub(crate) struct SendGossip;

/// The process will end soon.
pub(crate) struct AnnounceDraining;

/// The process ends now.
pub(crate) struct AnnounceExit;

/// Another process sent its whole list.
pub(crate) struct MergeMemberRecords(pub(crate) Vec<MemberRecord>);

/// Asks for the whole list.
pub(crate) struct ListMemberRecords;

impl HeartbeatActor {
    /// Runs one step of the membership and does what it asks for.
    async fn step(&mut self, step: impl FnOnce(&mut Membership, &mut Vec<MembershipAction>)) {
        let mut actions = Vec::new();
        step(&mut self.membership, &mut actions);
        let mut has_changed = false;
        for action in actions {
            match action {
                MembershipAction::Send(envelope) => self.send(envelope),
                MembershipAction::FetchMembers(address) => {
                    self.request_pull(PullHint::Members { address }).await
                }
                MembershipAction::Changed => has_changed = true,
                MembershipAction::Suspected(process) => {
                    self.context
                        .counters
                        .increment(PeerCounter::MembersSuspected);
                    tracing::info!(%process, "member is suspected");
                }
                MembershipAction::Superseded(incarnation) => self.warn_superseded(incarnation.0),
            }
        }
        if has_changed {
            let members = self.membership.members();
            self.context.counters.set_members(members.len());
            self.members.send_replace(Arc::new(members));
        }
    }

    fn warn_superseded(&mut self, incarnation: u64) {
        if !self.is_superseded {
            tracing::warn!(incarnation, "a later start of this process takes part");
        }
        self.is_superseded = true;
    }

    fn send(&mut self, envelope: OutgoingDatagram) {
        let datagram = Datagram {
            sender: self.membership.own().clone(),
            to: envelope.to,
            sequence: self.sequence,
            kind: envelope.kind,
            revision: self.context.store.revision(),
            fleets: self.fleet_gossip.select(&self.context.fleets),
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

    async fn request_pull(&self, hint: PullHint) {
        // The puller lives as long as this actor holds its address.
        let _ = self.puller.send(hint).await;
    }

    /// Has pulled what a sender holds and this process lacks.
    async fn pull_newer(&mut self, advertised: AdvertisedVersions) {
        let address = advertised.address;
        if advertised.revision > self.context.store.revision() {
            let revision = advertised.revision;
            self.request_pull(PullHint::Configuration { address, revision })
                .await;
        }
        let is_newer = |version| self.context.fleets.is_older_than(version);
        if advertised.fleets.iter().any(is_newer) {
            self.request_pull(PullHint::Fleets { address }).await;
        }
    }
}

/// What a datagram tells besides membership.
struct AdvertisedVersions {
    address: SocketAddr,
    revision: Revision,
    fleets: Vec<FleetVersion>,
}

impl Handler<ReceivedDatagram> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, received: ReceivedDatagram, _: &mut Context<Self>) {
        let now = self.started.elapsed();
        let ReceivedDatagram { from, mut datagram } = received;
        let is_first_contact = datagram.to == IncarnationId::UNKNOWN;
        let advertised = AdvertisedVersions {
            address: datagram.sender.address,
            revision: datagram.revision,
            fleets: std::mem::take(&mut datagram.fleets),
        };
        let mut result = Ok(());
        self.step(|membership, actions| {
            result = membership.receive(now, from, datagram, actions);
        })
        .await;
        match result {
            // A greeting may be a recorded one, so its news isn't believed.
            Ok(()) if is_first_contact => {}
            Ok(()) => self.pull_newer(advertised).await,
            Err(_) => self
                .context
                .counters
                .increment(PeerCounter::DatagramsReplayed),
        }
    }
}

impl Handler<StartRound> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: StartRound, _: &mut Context<Self>) {
        let now = self.started.elapsed();
        self.step(|membership, actions| membership.tick(now, actions))
            .await;
    }
}

impl Handler<SendGossip> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: SendGossip, _: &mut Context<Self>) {
        self.fleet_gossip.observe(&self.context.fleets);
        self.step(|membership, actions| membership.gossip(actions))
            .await;
    }
}

impl Handler<AnnounceDraining> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: AnnounceDraining, _: &mut Context<Self>) {
        self.step(|membership, actions| membership.announce_draining(actions))
            .await;
    }
}

impl Handler<AnnounceExit> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, _: AnnounceExit, _: &mut Context<Self>) {
        self.step(|membership, actions| membership.announce_exit(actions))
            .await;
    }
}

impl Handler<MergeMemberRecords> for HeartbeatActor {
    type Return = ();

    async fn handle(&mut self, merge: MergeMemberRecords, _: &mut Context<Self>) {
        let now = self.started.elapsed();
        self.step(|membership, actions| membership.merge(now, merge.0, actions))
            .await;
    }
}

impl Handler<ListMemberRecords> for HeartbeatActor {
    type Return = Vec<MemberRecord>;

    async fn handle(&mut self, _: ListMemberRecords, _: &mut Context<Self>) -> Vec<MemberRecord> {
        self.membership.member_records()
    }
}
