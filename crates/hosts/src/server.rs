//! The own node's server, which handles requests on streams that peers opened.

use crate::context::{CONNECT_TIMEOUT, PeerContext};
use crate::copies::CopyStore;
use crate::counters::PeerCounter;
use crate::heartbeat::{HeartbeatActor, ListMemberRecords};
use crate::stream::{PeerStream, StreamError};
use crate::wire::{CopyBatch, FleetUpdate, FleetVersion, Request, Response};
use lagoonlift_types::{ChunkDigest, FleetView, Revision};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use xtra::WeakAddress;

/// Maximum number of streams that may be open at a time.
const MAX_STREAMS: usize = 256;
/// Time after which a stream without requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum total size of the chunks in one response, in bytes. The first chunk
/// is sent even if it is larger.
const MAX_CHUNKS_RESPONSE_BYTES: usize = 256 * 1024;
/// Delay after the operating system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The own node's server, which handles requests of peers.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) context: Arc<PeerContext>,
    pub(crate) heartbeat: WeakAddress<HeartbeatActor>,
    pub(crate) copies: Arc<Mutex<CopyStore>>,
}

impl PeerServer {
    /// Accepts streams until the task is aborted.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_STREAMS));
        let mut streams = tokio::task::JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                self.increment(PeerCounter::StreamsRefused);
                continue;
            };
            let server = self.clone();
            streams.spawn(async move {
                server.serve(stream).await;
                drop(permit);
            });
        }
    }

    fn increment(&self, counter: PeerCounter) {
        self.context.counters.increment(counter);
    }

    async fn serve(&self, stream: TcpStream) {
        let counters = Arc::clone(&self.context.counters);
        let accepting = PeerStream::accept(stream, &self.context.keys, counters);
        let result = match timeout(CONNECT_TIMEOUT, accepting).await {
            Ok(Ok(stream)) => self.handle_requests(stream).await,
            Ok(Err(error)) => Err(error),
            Err(_) => Err(StreamError::Unauthenticated),
        };
        match result {
            Ok(()) | Err(StreamError::Closed) => {}
            Err(StreamError::Unauthenticated) => {
                self.increment(PeerCounter::StreamsUnauthenticated)
            }
            Err(_) => self.increment(PeerCounter::StreamsFailed),
        }
    }

    async fn handle_requests(&self, mut stream: PeerStream) -> Result<(), StreamError> {
        while let Ok(received) = timeout(IDLE_TIMEOUT, stream.receive()).await {
            let response = self.handle_request(received?).await?;
            stream.send(&response).await?;
        }
        Ok(())
    }

    async fn handle_request(&self, request: Request) -> Result<Response, StreamError> {
        match request {
            Request::Members => self.handle_members().await,
            Request::Manifest { since, full } => Ok(self.handle_manifest(since, full)),
            Request::Chunks(digests) => Ok(self.handle_chunks(&digests)),
            Request::Fleets(versions) => Ok(self.handle_fleets(&versions)),
            Request::CopyUsage(batch) => self.add_copies(batch),
            Request::Demand { source, demands } => {
                let totals = self.context.demand.handle_report(&source, &demands);
                Ok(Response::Demand(totals))
            }
        }
    }

    async fn handle_members(&self) -> Result<Response, StreamError> {
        let member_records = self.heartbeat.send(ListMemberRecords).await;
        member_records
            .map(Response::Members)
            .map_err(|_| StreamError::Closed)
    }

    fn handle_manifest(&self, since: Revision, full: bool) -> Response {
        let store = &self.context.store;
        match store.delta(since).filter(|_| !full) {
            Some(delta) => Response::ManifestDelta(delta),
            None => Response::Manifest(store.manifest().as_ref().clone()),
        }
    }

    /// Returns chunks in the requested order, up to the first one that isn't
    /// held or doesn't fit.
    fn handle_chunks(&self, digests: &[ChunkDigest]) -> Response {
        let mut texts: Vec<Arc<[u8]>> = Vec::new();
        let mut bytes = 0;
        for digest in digests {
            let Some(text) = self.context.store.chunk(*digest) else {
                break;
            };
            bytes += text.len();
            if bytes > MAX_CHUNKS_RESPONSE_BYTES && !texts.is_empty() {
                break;
            }
            texts.push(text);
        }
        Response::Chunks(texts)
    }

    fn handle_fleets(&self, versions: &[FleetVersion]) -> Response {
        let held = self.context.fleets.current();
        let peer_version = |view: &FleetView| {
            let mut versions = versions.iter();
            versions.find(|version| version.data_centre == view.data_centre)
        };
        let is_newer = |view: &&FleetView| {
            peer_version(view)
                .is_none_or(|peer_version| FleetVersion::of(view).rank() > peer_version.rank())
        };
        let mut newer_views = held.values().filter(is_newer);
        let Some(view) = newer_views.next() else {
            let update = FleetUpdate::None;
            return Response::Fleet {
                update,
                has_more: false,
            };
        };
        let delta =
            peer_version(view).and_then(|peer_version| self.context.fleets.delta(peer_version));
        let update = match delta {
            Some(delta) => FleetUpdate::Delta(delta),
            None => FleetUpdate::View(view.clone()),
        };
        let has_more = newer_views.next().is_some();
        Response::Fleet { update, has_more }
    }

    fn add_copies(&self, batch: CopyBatch) -> Result<Response, StreamError> {
        let mut copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
        match copies.add_batch(batch) {
            true => Ok(Response::Copied),
            false => Err(StreamError::Unexpected),
        }
    }
}
