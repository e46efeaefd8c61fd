//! Callers that send while faults come and go.

use crate::support::client::try_read_reply;
use crate::support::{KEY, OTHER_KEY, Reply, Request};
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

/// One request, and what its caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) is_idempotent: bool,
    pub(crate) key: &'static str,
    pub(crate) sent_at: Instant,
    /// `None` if the connection ended without an answer.
    pub(crate) reply: Option<Reply>,
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
pub(crate) async fn call(log: Arc<CallerLog>, host: SocketAddr, key: &'static str) {
    let mut kept: Option<TcpStream> = None;
    while !log.is_over.load(Ordering::SeqCst) {
        let number = log.next_id.fetch_add(1, Ordering::SeqCst);
        let is_idempotent = number.is_multiple_of(2);
        let sent_at = Instant::now();
        let id = format!("s{number}");
        let reply = match send(&mut kept, host, &id, is_idempotent, key).await {
            Sent::Answered(reply) => Some(reply),
            Sent::Lost => None,
            Sent::NotConnected => {
                sleep(PAUSE).await;
                continue;
            }
        };
        log.attempts.lock().expect("sound").push(Attempt {
            id,
            is_idempotent,
            key,
            sent_at,
            reply,
        });
        sleep(PAUSE).await;
    }
}

/// Returns whether a host answers a request with success now.
pub(crate) async fn is_serving(host: SocketAddr, id: &str) -> bool {
    let sent = send(&mut None, host, id, true, KEY).await;
    matches!(sent, Sent::Answered(reply) if reply.status == 200)
}

enum Sent {
    Answered(Reply),
    Lost,
    NotConnected,
}

async fn send(
    kept: &mut Option<TcpStream>,
    host: SocketAddr,
    id: &str,
    is_idempotent: bool,
    key: &str,
) -> Sent {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => match TcpStream::connect(host).await {
            Ok(stream) => stream,
            Err(_) => return Sent::NotConnected,
        },
    };
    let path = match is_idempotent {
        true => "/read/1",
        false => "/book/1",
    };
    let request = Request::new("GET", path, id, key);
    if stream.write_all(&request.bytes()).await.is_err() {
        return Sent::Lost;
    }
    match timeout(PATIENCE, try_read_reply(&mut stream)).await {
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
