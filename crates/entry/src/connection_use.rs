//! Whether a caller's connection is idle, and how long its next request takes to
//! arrive.
//!
//! An idle connection must outlast the pools of callers, because a request that is
//! sent at the moment at which it closes gets no response. A head that has begun
//! must arrive soon, so that slow senders can't hold memory.

use http::Version;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Limits on a connection without a request in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Timeout for a request's head, from its first byte.
    pub(crate) head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// A request's head hasn't arrived in time.
    Head,
    /// The connection was idle for too long.
    Idle,
}

/// The use of one connection. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionUse {
    limits: ConnectionLimits,
    state: Arc<Mutex<UseState>>,
}

#[derive(Debug)]
struct UseState {
    requests: u32,
    idle_since: Instant,
    /// When the first bytes of the next request arrived.
    head_since: Option<Instant>,
    /// An HTTP/2 connection is kept, because its pings show whether it works.
    is_http2: bool,
}

/// A request in progress, until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestInProgress(ConnectionUse);

impl ConnectionUse {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        let state = UseState {
            requests: 0,
            idle_since: Instant::now(),
            head_since: None,
            is_http2: false,
        };
        Self {
            limits,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records that a request's head has arrived.
    pub(crate) fn begin_request(&self, version: Version) -> RequestInProgress {
        let mut state = self.lock();
        state.requests += 1;
        state.head_since = None;
        state.is_http2 = version == Version::HTTP_2;
        RequestInProgress(self.clone())
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn expired(&self) -> Expiry {
        loop {
            let now = Instant::now();
            // A head that begins while this waits expires no earlier.
            let next_check = now + self.limits.head_timeout;
            let expiry = self.expiry();
            match expiry {
                Some((at, expiry)) if at <= now => return expiry,
                Some((at, _)) => sleep_until(at.min(next_check)).await,
                None => sleep_until(next_check).await,
            }
        }
    }

    /// Returns when the connection expires if nothing arrives until then.
    fn expiry(&self) -> Option<(Instant, Expiry)> {
        let state = self.lock();
        match state.head_since {
            _ if state.requests > 0 || state.is_http2 => None,
            Some(since) => Some((since + self.limits.head_timeout, Expiry::Head)),
            None => Some((state.idle_since + self.limits.idle_timeout, Expiry::Idle)),
        }
    }

    fn record_read(&self) {
        let mut state = self.lock();
        if state.requests == 0 {
            state.head_since.get_or_insert_with(Instant::now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, UseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.requests -= 1;
        state.idle_since = Instant::now();
    }
}

/// A response body that ends its request when it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    pub(crate) body: B,
    pub(crate) _in_progress: RequestInProgress,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's stream whose reads are recorded.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    pub(crate) stream: TcpStream,
    pub(crate) connection_use: ConnectionUse,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > filled {
            self.connection_use.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
