//! The actor that pulls data that this process lacks from peers.
//!
//! Many heartbeats advertise the same new version at once. At most one pull of
//! each kind runs at a time. When it ends, the actor follows the most recent
//! hint, unless that hint is for a configuration that is already in force.

use crate::context::{CONNECT_TIMEOUT, PeerContext, RESPONSE_TIMEOUT};
use crate::counters::PeerCounter;
use crate::heartbeat::{HeartbeatActor, MergeMemberRecords};
use crate::store::OfferOutcome;
use crate::stream::{PeerStream, StreamError};
use crate::wire::{FleetUpdate, MemberRecord, Request, Response};
use lagoonlift_types::{ChunkDigest, Manifest, Revision};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::time::{error::Elapsed, timeout};
use xtra::WeakAddress;
use xtra::prelude::*;

/// A peer that holds data that this process lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PullHint {
    /// The peer holds a higher revision of the configuration.
    Configuration {
        address: SocketAddr,
        revision: Revision,
    },
    /// The peer holds a newer view of some fleet.
    Fleets { address: SocketAddr },
    /// The peer holds a list of members to merge.
    Members { address: SocketAddr },
}

/// Why a pull failed.
#[derive(Debug, Error)]
pub(crate) enum PullError {
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("the peer didn't respond in time")]
    Timeout(#[from] Elapsed),
    #[error("the configuration was rejected: {0:?}")]
    Rejected(OfferOutcome),
}

/// Pulls data from peers.
#[derive(xtra::Actor)]
pub(crate) struct PullActor {
    context: Arc<PeerContext>,
    heartbeat: Option<WeakAddress<HeartbeatActor>>,
    configuration: PullSlot,
    fleets: PullSlot,
    members: PullSlot,
}

/// The state of one kind of pull: whether one is running, and the hint to
/// follow next.
#[derive(Debug, Default)]
struct PullSlot {
    is_running: bool,
    next: Option<PullHint>,
}

/// Gives the puller the actor that merges lists of members.
pub(crate) struct AttachHeartbeat(pub(crate) WeakAddress<HeartbeatActor>);

/// A pull ended, successfully or not.
struct PullFinished(PullHint);

impl PullActor {
    pub(crate) fn new(context: Arc<PeerContext>) -> Self {
        Self {
            context,
            heartbeat: None,
            configuration: PullSlot::default(),
            fleets: PullSlot::default(),
            members: PullSlot::default(),
        }
    }

    fn slot(&mut self, hint: PullHint) -> &mut PullSlot {
        match hint {
            PullHint::Configuration { .. } => &mut self.configuration,
            PullHint::Fleets { .. } => &mut self.fleets,
            PullHint::Members { .. } => &mut self.members,
        }
    }

    fn is_needed(&self, hint: PullHint) -> bool {
        match hint {
            PullHint::Configuration { revision, .. } => revision > self.context.store.revision(),
            PullHint::Fleets { .. } | PullHint::Members { .. } => true,
        }
    }

    fn start(&mut self, hint: PullHint, own: &Mailbox<Self>) {
        self.slot(hint).is_running = true;
        let context = Arc::clone(&self.context);
        let heartbeat = self.heartbeat.clone();
        let own = own.address();
        tokio::spawn(async move {
            if let Err(error) = pull(&context, heartbeat, hint).await {
                context.counters.increment(PeerCounter::PullsFailed);
                tracing::debug!(%error, ?hint, "failed to pull from a peer");
            }
            // Sending fails only when the node was dropped and the puller
            // stopped.
            let _ = own.send(PullFinished(hint)).await;
        });
    }
}

impl Handler<AttachHeartbeat> for PullActor {
    type Return = ();

    async fn handle(&mut self, attach: AttachHeartbeat, _: &mut Context<Self>) {
        self.heartbeat = Some(attach.0);
    }
}

impl Handler<PullHint> for PullActor {
    type Return = ();

    async fn handle(&mut self, hint: PullHint, context: &mut Context<Self>) {
        match self.slot(hint).is_running {
            true => self.slot(hint).next = Some(hint),
            false => self.start(hint, context.mailbox()),
        }
    }
}

impl Handler<PullFinished> for PullActor {
    type Return = ();

    async fn handle(&mut self, finished: PullFinished, context: &mut Context<Self>) {
        let slot = self.slot(finished.0);
        slot.is_running = false;
        if let Some(next) = slot.next.take()
            && self.is_needed(next)
        {
            self.start(next, context.mailbox());
        }
    }
}

async fn pull(
    context: &PeerContext,
    heartbeat: Option<WeakAddress<HeartbeatActor>>,
    hint: PullHint,
) -> Result<(), PullError> {
    match hint {
        PullHint::Configuration { address, .. } => pull_configuration(context, address).await,
        PullHint::Fleets { address } => pull_fleets(context, address).await,
        PullHint::Members { address } => {
            let member_records = pull_members(context, address).await?;
            if let Some(heartbeat) = heartbeat {
                // Sending fails only when the node was dropped and the
                // heartbeat actor stopped.
                let _ = heartbeat.send(MergeMemberRecords(member_records)).await;
            }
            Ok(())
        }
    }
}

async fn connect(context: &PeerContext, address: SocketAddr) -> Result<PeerStream, PullError> {
    let counters = Arc::clone(&context.counters);
    let connecting = PeerStream::connect(address, &context.keys, counters);
    Ok(timeout(CONNECT_TIMEOUT, connecting).await??)
}

async fn send_request(stream: &mut PeerStream, request: &Request) -> Result<Response, PullError> {
    let exchange = async {
        stream.send(request).await?;
        stream.receive().await
    };
    Ok(timeout(RESPONSE_TIMEOUT, exchange).await??)
}

/// Pulls the configuration that the peer at `address` holds.
pub(crate) async fn pull_configuration(
    context: &PeerContext,
    address: SocketAddr,
) -> Result<(), PullError> {
    let store = &context.store;
    let mut stream = connect(context, address).await?;
    let manifest = pull_manifest(context, &mut stream).await?;
    let mut missing = store.missing_chunks(&manifest);
    let mut chunks = BTreeMap::new();
    while !missing.is_empty() {
        let texts = pull_chunks(&mut stream, &missing).await?;
        let rest = missing.split_off(texts.len());
        let texts = texts.iter().map(|text| text.to_vec());
        chunks.extend(missing.into_iter().zip(texts));
        missing = rest;
    }
    match store.offer(manifest, chunks) {
        OfferOutcome::Accepted => {
            context
                .counters
                .increment(PeerCounter::ConfigurationsPulled);
            Ok(())
        }
        OfferOutcome::Older => Ok(()),
        outcome @ (OfferOutcome::Incomplete | OfferOutcome::Malformed) => {
            Err(PullError::Rejected(outcome))
        }
    }
}

async fn pull_manifest(
    context: &PeerContext,
    stream: &mut PeerStream,
) -> Result<Manifest, PullError> {
    let held = context.store.manifest();
    for full in [false, true] {
        let since = held.revision;
        match send_request(stream, &Request::Manifest { since, full }).await? {
            Response::Manifest(manifest) => return Ok(manifest),
            Response::ManifestDelta(delta) => {
                if let Some(manifest) = delta.apply(&held) {
                    return Ok(manifest);
                }
            }
            _ => break,
        }
    }
    Err(StreamError::Unexpected.into())
}

/// Returns the texts of the first chunks of `missing`, at least one.
async fn pull_chunks(
    stream: &mut PeerStream,
    missing: &[ChunkDigest],
) -> Result<Vec<Arc<[u8]>>, PullError> {
    match send_request(stream, &Request::Chunks(missing.to_vec())).await? {
        Response::Chunks(texts) if (1..=missing.len()).contains(&texts.len()) => Ok(texts),
        _ => Err(StreamError::Unexpected.into()),
    }
}

async fn pull_fleets(context: &PeerContext, address: SocketAddr) -> Result<(), PullError> {
    let mut stream = connect(context, address).await?;
    loop {
        let request = Request::Fleets(context.fleets.versions());
        match send_request(&mut stream, &request).await? {
            Response::Fleet { update, has_more } => {
                let is_applied = match update {
                    FleetUpdate::None => false,
                    FleetUpdate::View(view) => context.fleets.offer(view),
                    FleetUpdate::Delta(delta) => context.fleets.apply(delta),
                };
                if !(is_applied && has_more) {
                    return Ok(());
                }
            }
            _ => return Err(StreamError::Unexpected.into()),
        }
    }
}

async fn pull_members(
    context: &PeerContext,
    address: SocketAddr,
) -> Result<Vec<MemberRecord>, PullError> {
    let mut stream = connect(context, address).await?;
    match send_request(&mut stream, &Request::Members).await? {
        Response::Members(member_records) => Ok(member_records),
        _ => Err(StreamError::Unexpected.into()),
    }
}
