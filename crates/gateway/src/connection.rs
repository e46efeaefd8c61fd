//! HTTP connections to upstreams, the store and the platform.
//!
//! A connection carries one request at a time, never two that their responses don't tell
//! apart (see [`crate::exchange`]), and returns to the pool only after the whole response has
//! been read. In every other case (a truncated response, a
//! response with the identifier of another request, a caller that disconnected)
//! the connection is closed, which also makes the other end stop working on the
//! request.

use crate::body::{BoxError, read_joined};
use crate::clock;
use crate::exchange::{CarriedExchanges, Exchange};
use crate::interim::{GuardedStream, InterimCount};
use crate::request_progress::RequestProgress;
use crate::socket_options::set_service_options;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use lagoonlift_adapter::EncodeError;
use lagoonlift_adapter::upstream::ResponseHead;
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Upper bound on the time to open a connection. A lost SYN is retransmitted only
/// after one second, so waiting longer than a few round trips doesn't help.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle timeout assumed for a server that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Share of the server's idle timeout for which a pooled connection is reused, so
/// that a request isn't sent while the server closes the connection.
const REUSABLE_IDLE_SHARE: f64 = 0.6;

/// Largest head of a response in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Largest number of header lines in the head of a response.
const MAX_HEAD_LINES: usize = 100;

/// Largest body of the response to a control call: a status of an engine, or the
/// response to an order, a usage report or the release of a KV cache.
const MAX_CONTROL_BYTES: usize = 256 * 1024;

/// Remote end of a connection, as the key of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    /// One incarnation of an upstream. If an upstream is listed with another address
    /// or start time, it gets another key, so that no connection to the earlier
    /// process is reused.
    Upstream(UpstreamKey),
    /// The store, or another service of the platform.
    Address(SocketAddr),
}

/// Why a call returned no response. The variant names are logged.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The connection was refused, or closed before the request was sent, or the call can't be
    /// written as a request.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection did not open in time, so nothing was sent.
    #[error("not opened: {0}")]
    NotOpened(String),
    /// The request was sent, or may have been, so it may have taken effect.
    #[error("no response: {0}")]
    Lost(String),
}

/// An open connection.
struct Connection {
    /// Number of the connection among those that the process has opened.
    number: u64,
    /// What it has carried, including the exchange in flight.
    carried: CarriedExchanges,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    interim_count: InterimCount,
    progress: RequestProgress,
    idle_until: Timestamp,
    /// Set on connections to upstreams.
    guard: Option<OpenGuard>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Pool of idle connections by endpoint.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Rc<RefCell<HashMap<Endpoint, Vec<Connection>>>>,
    /// Upstreams that closed an idle connection earlier than they had stated.
    closed_early: Rc<RefCell<Vec<UpstreamKey>>>,
    /// Number of open connections to each upstream.
    open: Rc<RefCell<HashMap<UpstreamKey, usize>>>,
    opened: Rc<std::cell::Cell<u64>>,
}

/// Counts a connection to an upstream as open until it is dropped.
struct OpenGuard {
    open: Rc<RefCell<HashMap<UpstreamKey, usize>>>,
    key: UpstreamKey,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        if let Some(count) = open.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.key);
            }
        }
    }
}

/// A connection in use. It closes when dropped, unless it is returned to the
/// pool.
pub(crate) struct PooledConnection {
    connection: Connection,
    endpoint: Endpoint,
    /// What the connection was taken for.
    exchange: Exchange,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Returns an idle connection to `endpoint` that may carry `exchange`, or opens one to
    /// `address`.
    pub(crate) async fn take(
        &self,
        endpoint: Endpoint,
        address: SocketAddr,
        exchange: Exchange,
        open_timeout: Duration,
    ) -> Result<PooledConnection, CallError> {
        let connection = match self.take_idle(endpoint, exchange) {
            Some(connection) => connection,
            None => {
                self.open(endpoint, address, open_timeout.min(CONNECT_TIMEOUT))
                    .await?
            }
        };
        Ok(PooledConnection {
            connection,
            endpoint,
            exchange,
            pool: self.clone(),
        })
    }

    /// Opens a connection to `address` and keeps it in the pool. It says whether there is
    /// a path to `endpoint`, and the next request to it uses the connection.
    pub(crate) async fn open_idle(
        &self,
        endpoint: Endpoint,
        address: SocketAddr,
    ) -> Result<(), CallError> {
        let connection = self.open(endpoint, address, CONNECT_TIMEOUT).await?;
        self.keep_idle(endpoint, connection, None);
        Ok(())
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle(&self, endpoint: Endpoint) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes connections whose reuse time has passed or that the server closed.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|endpoint, connections| {
            connections
                .iter()
                .for_each(|one| self.note_if_closed_early(*endpoint, one));
            connections.retain(|one| one.idle_until > now && !one.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Returns the number of connections opened since the start, including failed
    /// attempts.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns whether there is an open connection to an upstream, in use or idle.
    pub(crate) fn has_connection(&self, key: UpstreamKey) -> bool {
        self.open.borrow().contains_key(&key)
    }

    async fn open(
        &self,
        endpoint: Endpoint,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, CallError> {
        let mut connection = open(self.next_number(), address, limit).await?;
        if let Endpoint::Upstream(key) = endpoint {
            *self.open.borrow_mut().entry(key).or_default() += 1;
            let open = Rc::clone(&self.open);
            connection.guard = Some(OpenGuard { open, key });
        }
        Ok(connection)
    }

    /// Returns the number of the next connection.
    fn next_number(&self) -> u64 {
        self.opened.set(self.opened.get() + 1);
        self.opened.get()
    }

    /// Takes the connection that was used last among those that may carry `exchange`. Closes
    /// those after it that can't be used any more.
    fn take_idle(&self, endpoint: Endpoint, exchange: Exchange) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        for position in (0..connections.len()).rev() {
            let connection = &connections[position];
            match connection.idle_until > now && connection.sender.is_ready() {
                true if connection.carried.may_carry(exchange) => {
                    return Some(connections.remove(position));
                }
                true => {}
                false => {
                    self.note_if_closed_early(endpoint, connection);
                    drop(connections.remove(position));
                }
            }
        }
        None
    }

    fn note_if_closed_early(&self, endpoint: Endpoint, connection: &Connection) {
        if let Endpoint::Upstream(key) = endpoint
            && connection.idle_until > clock::now()
            && connection.sender.is_closed()
        {
            self.closed_early.borrow_mut().push(key);
        }
    }

    /// Removes and returns the upstreams that closed an idle connection earlier than they had
    /// stated.
    pub(crate) fn take_closed_early(&self) -> Vec<UpstreamKey> {
        self.closed_early.take()
    }

    /// Keeps a connection that the server leaves open for `idle_timeout`.
    fn keep_idle(
        &self,
        endpoint: Endpoint,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let idle = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .mul_f64(REUSABLE_IDLE_SHARE);
        connection.idle_until = clock::now() + idle;
        let mut connections = self.idle.borrow_mut();
        connections.entry(endpoint).or_default().push(connection);
    }
}

/// Which connection carried a request, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionTrace {
    /// Number of the connection among those that the process has opened; 0 if none was open.
    pub(crate) number: u64,
    /// Requests that it had carried before.
    pub(crate) earlier_requests: usize,
}

impl PooledConnection {
    /// Returns which connection this is, for the log of the next request.
    pub(crate) fn trace(&self) -> ConnectionTrace {
        ConnectionTrace {
            number: self.connection.number,
            earlier_requests: self.connection.carried.len(),
        }
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, CallError> {
        self.connection.carried.record(self.exchange);
        self.connection.progress.begin(request.body().len());
        let mut request = request.map(Full::new);
        let interim_count = self.connection.interim_count.clone();
        interim_count.reset();
        on_informational(&mut request, move |_| interim_count.increment());
        match self.connection.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(CallError::NotSent("the connection was closed".to_owned())),
                None => Err(CallError::Lost(describe(error.error()))),
            },
        }
    }

    /// Returns the connection to the pool. The whole response must have been read.
    /// The server keeps the idle connection open for `idle_timeout`.
    ///
    /// A connection on which the request is still being written is closed: the server has
    /// answered without the rest, which would stay in memory until it takes it.
    pub(crate) fn return_to_pool(self, idle_timeout: Option<Duration>) {
        let is_written = !self.connection.progress.is_unfinished();
        if is_written && self.connection.carried.has_room() {
            self.pool
                .keep_idle(self.endpoint, self.connection, idle_timeout);
        }
    }
}

/// A response whose body has been read completely.
pub(crate) struct BufferedResponse {
    pub(crate) status: http::StatusCode,
    pub(crate) head: ResponseHead,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

/// Limits of one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// Applies twice: to opening the connection, where it is capped at
    /// `CONNECT_TIMEOUT`, and then to the exchange. The call can therefore take up to
    /// the sum of both.
    pub(crate) time: Duration,
    /// Largest body of the response in bytes.
    pub(crate) body_bytes: usize,
}

impl CallLimits {
    /// Returns the limits of a control call.
    pub(crate) fn control(time: Duration) -> Self {
        Self {
            time,
            body_bytes: MAX_CONTROL_BYTES,
        }
    }
}

/// Makes one call and reads the whole response. Requests of callers don't use
/// this function, since their responses may be streams.
///
/// If the exchange isn't complete within `limits`, the connection is closed, and the
/// call may have taken effect.
pub(crate) async fn call(
    pool: &ConnectionPool,
    endpoint: Endpoint,
    address: SocketAddr,
    request: Result<Request<Bytes>, EncodeError>,
    limits: CallLimits,
) -> Result<BufferedResponse, CallError> {
    let request = request.map_err(|error| CallError::NotSent(error.to_string()))?;
    let exchange = match endpoint {
        Endpoint::Upstream(_) => Exchange::Control,
        Endpoint::Address(_) => Exchange::Platform,
    };
    let mut connection = pool.take(endpoint, address, exchange, limits.time).await?;
    let exchange = async {
        let response = connection.send(request).await?;
        let (parts, body) = response.into_parts();
        let body = read_joined(Limited::new(body, limits.body_bytes), |_| {
            Ok::<_, BoxError>(())
        })
        .await
        .map_err(|error| CallError::Lost(describe(error.as_ref())))?;
        Ok((parts, body))
    };
    let (parts, body) = match timeout(limits.time, exchange).await {
        Ok(result) => result?,
        Err(_) => {
            let detail = format!("no answer within {:?}", limits.time);
            return Err(CallError::Lost(detail));
        }
    };
    let head = ResponseHead::decode(&parts);
    if head.request_id.is_some() {
        return Err(CallError::Lost("answer to another request".to_owned()));
    }
    if !head.is_closing {
        connection.return_to_pool(head.idle_timeout);
    }
    Ok(BufferedResponse {
        status: parts.status,
        head,
        headers: parts.headers,
        body,
    })
}

async fn open(number: u64, address: SocketAddr, limit: Duration) -> Result<Connection, CallError> {
    let not_sent = |error: String| CallError::NotSent(format!("{address}: {error}"));
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| {
            CallError::NotOpened(format!(
                "{address}: connection not established within {limit:?}"
            ))
        })?
        .map_err(|error| not_sent(error.to_string()))?;
    set_service_options(&stream);
    let interim_count = InterimCount::default();
    let progress = RequestProgress::default();
    let stream = GuardedStream::new(stream, interim_count.clone(), progress.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEAD_LINES)
        .handshake(stream)
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, error = %describe(&error), "connection failed");
        }
    });
    Ok(Connection {
        number,
        carried: CarriedExchanges::default(),
        sender,
        driver: driver.abort_handle(),
        interim_count,
        progress,
        idle_until: Timestamp::default(),
        guard: None,
    })
}

/// Returns whether nothing accepts connections at `address`. An address from which no
/// response comes doesn't count.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    let result = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(result, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Formats an error and its sources as one line.
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
