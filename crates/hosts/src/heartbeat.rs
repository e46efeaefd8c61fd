//! The actor that owns the membership state and sends heartbeats.
//!
//! Every datagram carries the revision of the sender's configuration and the
//! versions of some of its fleet views. A process that receives a newer version
//! pulls the data from the sender.

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

/// Owns the membership state of one process.
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
    /// Sequence number of the next datagram.
    pub(crate) sequence: u64,
    /// Kept between datagrams to reuse its allocation.
    pub(crate) buffer: Vec<u8>,
    pub(crate) is_superseded: bool,
}

/// A datagram whose tag was verified.
pub(crate) struct ReceivedDatagram {
    pub(crate) from: SocketAddr,
    pub(crate) datagram: Datagram,
}

/// Starts the next heartbeat round.
pub(crate) struct StartRound;

/// Sends a new configuration revision or fleet version to some members
/// immediately.
pub(crate) struct SendGossip;

/// Announces that the process will exit soon.
pub(crate) struct AnnounceDraining;

/// Announces that the process is exiting now.
pub(crate) struct AnnounceExit;

/// Merges the complete list of members that a peer sent.
pub(crate) struct MergeMemberRecords(pub(crate) Vec<MemberRecord>);

/// Requests the complete list of members.
pub(crate) struct ListMemberRecords;

impl HeartbeatActor {
    /// Runs one step of the membership state machine and performs the actions
    /// that it returns.
    async fn step(&mut self, step: impl FnOnce(&mut Membership, &mut Vec<MembershipAction>)) {
        let mut actions = Vec::new();
        step(&mut self.membership, &mut actions);
        let mut has_changed = false;
        for action in actions {
            match action {
                MembershipAction::Send(outgoing) => self.send(outgoing),
                MembershipAction::PullMembers(address) => {
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
            tracing::warn!(
                incarnation,
                "this process is superseded by the later incarnation that the field `incarnation` names"
            );
        }
        self.is_superseded = true;
    }

    fn send(&mut self, outgoing: OutgoingDatagram) {
        let datagram = Datagram {
            sender: self.membership.own().clone(),
            to: outgoing.to,
            sequence: self.sequence,
            kind: outgoing.kind,
            revision: self.context.store.revision(),
            fleets: self.fleet_gossip.select(&self.context.fleets),
            member_records: outgoing.member_records,
        };
        self.sequence += 1;
        if let Err(error) = self.codec.encode(&datagram, &mut self.buffer) {
            tracing::error!(%error, "failed to encode a datagram");
            return;
        }
        // If the socket's send buffer is full, the datagram counts as lost in
        // the network.
        if let Ok(sent) = self.socket.try_send_to(&self.buffer, outgoing.address) {
            let counters = &self.context.counters;
            counters.increment(PeerCounter::DatagramsSent);
            counters.add(PeerCounter::DatagramBytesSent, sent as u64);
        }
    }

    async fn request_pull(&self, hint: PullHint) {
        // The puller runs as long as this actor holds its address.
        let _ = self.puller.send(hint).await;
    }

    /// Requests a pull of the data that the sender holds and this process
    /// lacks.
    async fn pull_newer(&mut self, advertised: AdvertisedVersions) {
        let address = advertised.address;
        if advertised.revision > self.context.store.revision() {
            let revision = advertised.revision;
            self.request_pull(PullHint::Configuration { address, revision })
                .await;
        }
        let is_newer = |version| self.context.fleets.would_accept(version);
        if advertised.fleets.iter().any(is_newer) {
            self.request_pull(PullHint::Fleets { address }).await;
        }
    }
}

/// Versions that a datagram advertises in addition to membership records.
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
            // A first-contact datagram may be a replay, so the versions that it
            // advertises are ignored.
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
