//! Answers to other processes that opened a stream.

use crate::context::{CONNECT_TIMEOUT, PeerContext};
use crate::copies::CopyStore;
use crate::counters::PeerCounter;
use crate::heartbeat::{HeartbeatActor, ListFacts};
use crate::stream::{PeerStream, StreamError};
use crate::wire::{CopyBatch, FleetAnswer, FleetVersion, Request, Response};
use lagoonlift_types::{ChunkDigest, FleetView, Revision};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use xtra::WeakAddress;

/// Streams that may be open at a time.
const MAX_STREAMS: usize = 256;
/// Time after which a stream without requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Bytes of chunks in one answer, unless its first chunk is larger.
const MAX_CHUNK_BYTES: usize = 256 * 1024;
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers requests of other processes.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) context: Arc<PeerContext>,
    pub(crate) heartbeat: WeakAddress<HeartbeatActor>,
    pub(crate) copies: Arc<Mutex<CopyStore>>,
}

impl PeerServer {
    /// Accepts streams for ever.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_STREAMS));
        let mut streams = tokio::task::JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                self.count(PeerCounter::StreamsRefused);
                continue;
            };
            let server = self.clone();
            streams.spawn(async move {
                server.serve(stream).await;
                drop(permit);
            });
        }
    }

    fn count(&self, counter: PeerCounter) {
        self.context.counters.increment(counter);
    }

    async fn serve(&self, stream: TcpStream) {
        let counters = Arc::clone(&self.context.counters);
        let accepting = PeerStream::accept(stream, &self.context.keys, counters);
        let result = match timeout(CONNECT_TIMEOUT, accepting).await {
            Ok(Ok(stream)) => self.answer_all(stream).await,
            Ok(Err(error)) => Err(error),
            Err(_) => Err(StreamError::Unauthenticated),
        };
        match result {
            Ok(()) | Err(StreamError::Closed) => {}
            Err(StreamError::Unauthenticated) => self.count(PeerCounter::StreamsUnauthenticated),
            Err(_) => self.count(PeerCounter::StreamsFailed),
        }
    }

    async fn answer_all(&self, mut stream: PeerStream) -> Result<(), StreamError> {
        while let Ok(received) = timeout(IDLE_TIMEOUT, stream.receive()).await {
            let response = self.answer(received?).await?;
            stream.send(&response).await?;
        }
        Ok(())
    }

    async fn answer(&self, request: Request) -> Result<Response, StreamError> {
        match request {
            Request::Members => self.answer_members().await,
            Request::Manifest { since, whole } => Ok(self.answer_manifest(since, whole)),
            Request::Chunks(digests) => Ok(self.answer_chunks(&digests)),
            Request::Fleets(versions) => Ok(self.answer_fleets(&versions)),
            Request::CopyUsage(batch) => self.add_copies(batch),
            Request::Demand { source, demands } => {
                let totals = self.context.demand.answer(&source, &demands);
                Ok(Response::Demand(totals))
            }
        }
    }

    async fn answer_members(&self) -> Result<Response, StreamError> {
        let member_records = self.heartbeat.send(ListFacts).await;
        member_records
            .map(Response::Members)
            .map_err(|_| StreamError::Closed)
    }

    fn answer_manifest(&self, since: Revision, whole: bool) -> Response {
        let store = &self.context.store;
        match store.delta(since).filter(|_| !whole) {
            Some(delta) => Response::ManifestDelta(delta),
            None => Response::Manifest(store.manifest().as_ref().clone()),
        }
    }

    /// Returns chunks in the order asked, up to the first that isn't held.
    fn answer_chunks(&self, digests: &[ChunkDigest]) -> Response {
        let mut texts: Vec<Arc<[u8]>> = Vec::new();
        let mut bytes = 0;
        for digest in digests {
            let Some(text) = self.context.store.chunk(*digest) else {
                break;
            };
            bytes += text.len();
            if bytes > MAX_CHUNK_BYTES && !texts.is_empty() {
                break;
            }
            texts.push(text);
        }
        Response::Chunks(texts)
    }

    fn answer_fleets(&self, versions: &[FleetVersion]) -> Response {
        let held = self.context.fleets.current();
        let theirs = |view: &FleetView| {
            let mut versions = versions.iter();
            versions.find(|version| version.data_centre == view.data_centre)
        };
        let is_news = |view: &&FleetView| {
            theirs(view).is_none_or(|theirs| FleetVersion::of(view).rank() > theirs.rank())
        };
        let mut later = held.values().filter(is_news);
        let Some(view) = later.next() else {
            let news = FleetAnswer::None;
            return Response::Fleet { news, more: false };
        };
        let delta = theirs(view).and_then(|theirs| self.context.fleets.delta(theirs));
        let news = match delta {
            Some(delta) => FleetAnswer::Delta(delta),
            None => FleetAnswer::View(view.clone()),
        };
        let more = later.next().is_some();
        Response::Fleet { news, more }
    }

    fn add_copies(&self, batch: CopyBatch) -> Result<Response, StreamError> {
        let mut copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
        match copies.add_batch(batch) {
            true => Ok(Response::Copied),
            false => Err(StreamError::Unexpected),
        }
    }
}
