//! Limits the interim responses (1xx) that an upstream sends before the head of its
//! response. Without a limit, a server that sends them without end keeps the thread
//! busy, since hyper reads over them.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// Largest number of interim responses before the head of a response.
const MAX_INTERIM_RESPONSES: usize = 100;

/// Number of interim responses to the request in flight on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimCount(Arc<AtomicUsize>);

impl InterimCount {
    /// Starts again at zero, for the next request.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts one interim response.
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}

/// A TCP stream from which reading fails after too many interim responses.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TokioIo<TcpStream>,
    interim_count: InterimCount,
}

impl GuardedStream {
    /// Returns a stream that fails once `interim_count` is too high.
    pub(crate) fn new(stream: TcpStream, interim_count: InterimCount) -> Self {
        Self {
            stream: TokioIo::new(stream),
            interim_count,
        }
    }
}

impl Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        match self.interim_count.is_exceeded() {
            true => Poll::Ready(Err(io::Error::other("too many interim responses"))),
            false => Pin::new(&mut self.stream).poll_read(context, buffer),
        }
    }
}

impl Write for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
