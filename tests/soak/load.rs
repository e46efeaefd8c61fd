//! Callers that send while faults come and go.

use crate::support::client::try_read_response;
use crate::support::{KEY, OTHER_KEY, Request, Response};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);

/// Longest time that a caller waits for an answer: more than its deadline.
const PATIENCE: Duration = Duration::from_secs(6);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// May run again.
    Read,
    /// Runs once at most.
    Book,
    /// A stream that runs once at most, of a long prompt.
    Tell,
    /// A stream that another engine can go on with, of a short prompt.
    Talk,
}

impl RequestKind {
    /// Returns whether it runs once at most.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Book | Self::Tell)
    }

    fn request(self, id: &str, key: &str) -> Request {
        let prompt = |path, tokens, parts| {
            Request::new("POST", path, id, key)
                .with("X-Model", "m")
                .with("X-Token-Count", tokens)
                .with("X-Prefix-Hash", parts)
        };
        match self {
            Self::Read => Request::new("GET", "/read/1", id, key),
            Self::Book => Request::new("GET", "/book/1", id, key),
            Self::Tell => prompt("/tell/1", "9190,6", "a1:2520,b2:3780,c3:2890"),
            Self::Talk => prompt("/talk/1", "220,6", "d4:79,e5:141"),
        }
    }
}

/// Which requests a caller sends in turn.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallerKind {
    /// Plain ones.
    Plain,
    /// Streams.
    Stream,
}

impl CallerKind {
    fn request_kind(self, number: u64) -> RequestKind {
        match (self, number.is_multiple_of(2)) {
            (Self::Plain, true) => RequestKind::Read,
            (Self::Plain, false) => RequestKind::Book,
            (Self::Stream, true) => RequestKind::Tell,
            (Self::Stream, false) => RequestKind::Talk,
        }
    }
}

/// One request, and what its caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) key: &'static str,
    pub(crate) sent_at: Instant,
    /// `None` if the connection ended without an answer.
    pub(crate) reply: Option<Response>,
}

/// What all callers share.
#[derive(Default)]
pub(crate) struct CallerLog {
    attempts: Mutex<Vec<Attempt>>,
    next_id: AtomicU64,
    is_over: AtomicBool,
}

impl CallerLog {
    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("sound").clone()
    }

    pub(crate) fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// Sends to one host until the load ends. The connection is kept while it works.
pub(crate) async fn call(
    log: Arc<CallerLog>,
    host: SocketAddr,
    key: &'static str,
    caller: CallerKind,
) {
    let mut kept: Option<TcpStream> = None;
    while !log.is_over.load(Ordering::SeqCst) {
        let number = log.next_id.fetch_add(1, Ordering::SeqCst);
        let kind = caller.request_kind(number);
        let sent_at = Instant::now();
        let id = format!("s{number}");
        let reply = match send(&mut kept, host, &kind.request(&id, key)).await {
            Sent::Answered(reply) => Some(reply),
            Sent::Lost => None,
            Sent::NotConnected => {
                sleep(PAUSE).await;
                continue;
            }
        };
        log.attempts.lock().expect("sound").push(Attempt {
            id,
            kind,
            key,
            sent_at,
            reply,
        });
        sleep(PAUSE).await;
    }
}

/// Returns whether a host answers a request with success now.
pub(crate) async fn is_serving(host: SocketAddr, id: &str) -> bool {
    let request = RequestKind::Read.request(id, KEY);
    let sent = send(&mut None, host, &request).await;
    matches!(sent, Sent::Answered(reply) if reply.status == 200)
}

enum Sent {
    Answered(Response),
    Lost,
    NotConnected,
}

async fn send(kept: &mut Option<TcpStream>, host: SocketAddr, request: &Request) -> Sent {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => match TcpStream::connect(host).await {
            Ok(stream) => stream,
            Err(_) => return Sent::NotConnected,
        },
    };
    if stream.write_all(&request.bytes()).await.is_err() {
        return Sent::Lost;
    }
    match timeout(PATIENCE, try_read_response(&mut stream)).await {
        Ok(Some(reply)) => {
            if reply.is_whole && reply.header("connection") != Some("close") {
                *kept = Some(stream);
            }
            Sent::Answered(reply)
        }
        Ok(None) | Err(_) => Sent::Lost,
    }
}

/// Returns the keys that callers use.
pub(crate) fn keys() -> [&'static str; 2] {
    [KEY, OTHER_KEY]
}
