//! The actor that fetches what this process lacks.
//!
//! Many heartbeats tell of the same news at once. One fetch of a kind runs at a
//! time; when it fails, the next sender that told of the news is asked.

use crate::context::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, PeerContext};
use crate::counters::PeerCounter;
use crate::heartbeat::{HeartbeatActor, Merge};
use crate::store::OfferOutcome;
use crate::stream::{PeerStream, StreamError};
use crate::wire::{FleetAnswer, MemberRecord, Request, Response};
use lagoonlift_types::{ChunkDigest, Manifest, Revision};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::time::{error::Elapsed, timeout};
use xtra::WeakAddress;
use xtra::prelude::*;

/// Says who holds what this process lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hint {
    /// A higher revision of the configuration.
    Configuration {
        address: SocketAddr,
        revision: Revision,
    },
    /// A later view of some fleet.
    Fleets { address: SocketAddr },
    /// A list of members.
    Members { address: SocketAddr },
}

/// Why a fetch failed.
#[derive(Debug, Error)]
pub(crate) enum PullError {
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("the other process didn't answer in time")]
    Timeout(#[from] Elapsed),
    #[error("the configuration was refused as {0:?}")]
    Refused(OfferOutcome),
}

/// Fetches from other processes.
#[derive(xtra::Actor)]
pub(crate) struct PullActor {
    context: Arc<PeerContext>,
    heartbeat: Option<WeakAddress<HeartbeatActor>>,
    configuration: Slot,
    fleets: Slot,
    members: Slot,
}

/// One kind of fetch: whether one runs, and whom to ask next.
#[derive(Debug, Default)]
struct Slot {
    running: bool,
    next: Option<Hint>,
}

/// Tells the puller where lists of members are merged.
pub(crate) struct Attach(pub(crate) WeakAddress<HeartbeatActor>);

/// A fetch ended.
struct Finished(Hint);

impl PullActor {
    pub(crate) fn new(context: Arc<PeerContext>) -> Self {
        Self {
            context,
            heartbeat: None,
            configuration: Slot::default(),
            fleets: Slot::default(),
            members: Slot::default(),
        }
    }

    fn slot(&mut self, hint: Hint) -> &mut Slot {
        match hint {
            Hint::Configuration { .. } => &mut self.configuration,
            Hint::Fleets { .. } => &mut self.fleets,
            Hint::Members { .. } => &mut self.members,
        }
    }

    fn is_needed(&self, hint: Hint) -> bool {
        match hint {
            Hint::Configuration { revision, .. } => revision > self.context.store.revision(),
            Hint::Fleets { .. } | Hint::Members { .. } => true,
        }
    }

    fn start(&mut self, hint: Hint, own: &Mailbox<Self>) {
        self.slot(hint).running = true;
        let context = Arc::clone(&self.context);
        let heartbeat = self.heartbeat.clone();
        let own = own.address();
        tokio::spawn(async move {
            if let Err(error) = pull(&context, heartbeat, hint).await {
                context.counters.increment(PeerCounter::PullsFailed);
                tracing::debug!(%error, ?hint, "a fetch from another process failed");
            }
            // The puller is gone when the node is.
            let _ = own.send(Finished(hint)).await;
        });
    }
}

impl Handler<Attach> for PullActor {
    type Return = ();

    async fn handle(&mut self, attach: Attach, _: &mut Context<Self>) {
        self.heartbeat = Some(attach.0);
    }
}

impl Handler<Hint> for PullActor {
    type Return = ();

    async fn handle(&mut self, hint: Hint, context: &mut Context<Self>) {
        match self.slot(hint).running {
            true => self.slot(hint).next = Some(hint),
            false => self.start(hint, context.mailbox()),
        }
    }
}

impl Handler<Finished> for PullActor {
    type Return = ();

    async fn handle(&mut self, finished: Finished, context: &mut Context<Self>) {
        let slot = self.slot(finished.0);
        slot.running = false;
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
    hint: Hint,
) -> Result<(), PullError> {
    match hint {
        Hint::Configuration { address, .. } => pull_configuration(context, address).await,
        Hint::Fleets { address } => pull_fleets(context, address).await,
        Hint::Members { address } => {
            let member_records = pull_members(context, address).await?;
            if let Some(heartbeat) = heartbeat {
                // The heartbeat actor is gone when the node is.
                let _ = heartbeat.send(Merge(member_records)).await;
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

async fn ask(stream: &mut PeerStream, request: &Request) -> Result<Response, PullError> {
    let exchange = async {
        stream.send(request).await?;
        stream.receive().await
    };
    Ok(timeout(ANSWER_TIMEOUT, exchange).await??)
}

/// Fetches the configuration that the process at `address` holds.
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
        offer @ (OfferOutcome::Incomplete | OfferOutcome::Malformed) => {
            Err(PullError::Refused(offer))
        }
    }
}

async fn pull_manifest(
    context: &PeerContext,
    stream: &mut PeerStream,
) -> Result<Manifest, PullError> {
    let held = context.store.manifest();
    for whole in [false, true] {
        let since = held.revision;
        match ask(stream, &Request::Manifest { since, whole }).await? {
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

/// Returns the texts of some of the chunks, from the first on.
async fn pull_chunks(
    stream: &mut PeerStream,
    missing: &[ChunkDigest],
) -> Result<Vec<Arc<[u8]>>, PullError> {
    match ask(stream, &Request::Chunks(missing.to_vec())).await? {
        Response::Chunks(texts) if (1..=missing.len()).contains(&texts.len()) => Ok(texts),
        _ => Err(StreamError::Unexpected.into()),
    }
}

async fn pull_fleets(context: &PeerContext, address: SocketAddr) -> Result<(), PullError> {
    let mut stream = connect(context, address).await?;
    loop {
        let request = Request::Fleets(context.fleets.versions());
        match ask(&mut stream, &request).await? {
            Response::Fleet { news, more } => {
                let taken = match news {
                    FleetAnswer::None => false,
                    FleetAnswer::View(view) => context.fleets.offer(view),
                    FleetAnswer::Delta(delta) => context.fleets.apply(delta),
                };
                if !(taken && more) {
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
    match ask(&mut stream, &Request::Members).await? {
        Response::Members(member_records) => Ok(member_records),
        _ => Err(StreamError::Unexpected.into()),
    }
}
