//! HTTP connections to upstreams, the store and the platform.
//!
//! A connection carries one request at a time and goes back to the pool only
//! after the whole answer to that request has been read. Everything else (an
//! answer cut short, a foreign identifier, a caller who left) closes it, which
//! also tells the other end to stop working.

use crate::clock;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use lagoonlift_policy::{Timestamp, UpstreamKey};
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Longest time for a connection to open. A lost opening packet is sent again
/// only after a second, so waiting longer than a few round trips is no use.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged before the connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection is probed, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle time of a connection whose peer states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Part of the stated idle time after which a connection isn't used again, so
/// that a request doesn't cross the peer's close.
const REUSABLE_IDLE_SHARE: f64 = 0.6;

/// Whom a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    /// One start of an upstream.
    Upstream(UpstreamKey),
    /// A service of the platform, or an engine's control calls.
    Address(SocketAddr),
}

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The connection was refused, or closed before the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection did not open in time.
    #[error("not opened: {0}")]
    NotOpened(String),
    /// The request was sent, or may have been.
    #[error("no answer: {0}")]
    Lost(String),
}

/// An open connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_until: Timestamp,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by peer.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Rc<RefCell<HashMap<Endpoint, Vec<Connection>>>>,
    opened: Rc<std::cell::Cell<u64>>,
}

/// A connection that is in use. Dropped, it closes; kept, it goes back to the
/// pool.
pub(crate) struct PooledConnection {
    connection: Connection,
    endpoint: Endpoint,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Takes an idle connection, or opens one.
    pub(crate) async fn take(
        &self,
        endpoint: Endpoint,
        address: SocketAddr,
        open_timeout: Duration,
    ) -> Result<PooledConnection, CallError> {
        let connection = match self.take_idle(endpoint) {
            Some(connection) => connection,
            None => {
                self.opened.set(self.opened.get() + 1);
                open(address, open_timeout.min(CONNECT_TIMEOUT)).await?
            }
        };
        Ok(PooledConnection {
            connection,
            endpoint,
            pool: self.clone(),
        })
    }

    /// Closes the idle connections to a peer that is gone.
    pub(crate) fn close_idle(&self, endpoint: Endpoint) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|one| one.idle_until > now && !one.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Returns how many connections were opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    fn take_idle(&self, endpoint: Endpoint) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(connection) = connections.pop() {
            if connection.idle_until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, CallError> {
        let request = request.map(Full::new);
        match self.connection.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(CallError::NotSent("the connection was closed".to_owned())),
                None => Err(CallError::Lost(describe(error.error()))),
            },
        }
    }

    /// Gives the connection back after a whole answer has been read; the peer
    /// keeps it open for `idle_timeout`.
    pub(crate) fn return_to_pool(mut self, idle_timeout: Option<Duration>) {
        let idle = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .mul_f64(REUSABLE_IDLE_SHARE);
        self.connection.idle_until = clock::now() + idle;
        let pool = self.pool.clone();
        let mut connections = pool.idle.borrow_mut();
        connections
            .entry(self.endpoint)
            .or_default()
            .push(self.connection);
    }
}

/// A short answer that was read whole.
pub(crate) struct BufferedResponse {
    pub(crate) status: http::StatusCode,
    pub(crate) body: Bytes,
}

/// Makes one call and reads its answer whole; for calls other than requests of
/// clients. After `limit` the connection is closed, and the call may have taken
/// effect.
pub(crate) async fn call(
    pool: &ConnectionPool,
    endpoint: Endpoint,
    address: SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
) -> Result<BufferedResponse, CallError> {
    let mut connection = pool.take(endpoint, address, limit).await?;
    let exchange = async {
        let response = connection.send(request).await?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| CallError::Lost(describe(&error)))?;
        Ok((parts, body.to_bytes()))
    };
    let (parts, body) = match timeout(limit, exchange).await {
        Ok(result) => result?,
        Err(_) => return Err(CallError::Lost(format!("no answer within {limit:?}"))),
    };
    let head = lagoonlift_adapter::runner::AnswerHead::decode(&parts);
    if !head.is_closing {
        connection.return_to_pool(head.idle_timeout);
    }
    Ok(BufferedResponse {
        status: parts.status,
        body,
    })
}

async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, CallError> {
    let not_sent = |error: String| CallError::NotSent(format!("{address}: {error}"));
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::NotOpened(format!("{address}: nothing came within {limit:?}")))?
        .map_err(|error| not_sent(error.to_string()))?;
    set_options(&stream);
    reset_on_close(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, error = %describe(&error), "connection failed");
        }
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        idle_until: Timestamp::default(),
    })
}

/// Makes a connection that has silently failed fail for the process too.
pub(crate) fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        tracing::debug!(%error, "a socket option can't be set");
    }
}

/// Makes closing the connection drop what the peer hasn't received. Otherwise a
/// call that was given up in a partition would reach the peer when it heals.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(%error, "a given-up call may still be delivered");
    }
}

/// Returns an error with its causes in one line.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
