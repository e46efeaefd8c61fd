//! Guards the connection to an upstream.
//!
//! It limits the interim responses (1xx) that an upstream sends before the head of its response.
//! Without a limit, a server that sends them without end keeps the thread busy, since hyper reads
//! over them. And it tells an end of the connection while a request is being written from one
//! after that.

use crate::request_progress::RequestProgress;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Largest number of interim responses before the head of a response.
const MAX_INTERIM_RESPONSES: usize = 100;

/// Largest number of bytes that are read at once: less than hyper's read buffer has at first.
/// hyper enlarges the buffer of a connection whose reads fill it, and keeps it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

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

/// A TCP stream from which reading fails after too many interim responses, and at an end
/// within a request.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TokioIo<TcpStream>,
    interim_count: InterimCount,
    progress: RequestProgress,
}

impl GuardedStream {
    /// Returns a stream that fails once `interim_count` is too high, or when it ends while
    /// the request whose `progress` it records is unfinished.
    pub(crate) fn new(
        stream: TcpStream,
        interim_count: InterimCount,
        progress: RequestProgress,
    ) -> Self {
        Self {
            stream: TokioIo::new(stream),
            interim_count,
            progress,
        }
    }
}

impl Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim_count.is_exceeded() {
            return Poll::Ready(Err(io::Error::other("too many interim responses")));
        }
        let mut part = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let length = part.len().min(buffer.remaining());
        let mut part = ReadBuf::uninit(&mut part[..length]);
        ready!(Pin::new(self.stream.inner_mut()).poll_read(context, &mut part))?;
        if part.filled().is_empty() && length > 0 && self.progress.is_unfinished() {
            let detail = "the connection ended before the request was written";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::UnexpectedEof, detail)));
        }
        buffer.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.progress.record_written(&bytes[..written]);
        Poll::Ready(Ok(written))
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
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        let mut left = written;
        for slice in slices {
            let taken = left.min(slice.len());
            self.progress.record_written(&slice[..taken]);
            left -= taken;
        }
        Poll::Ready(Ok(written))
    }
}
