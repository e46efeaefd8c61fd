//! Closes a caller's connection in two steps, so that a caller that is still sending gets
//! the response.
//!
//! A connection that is closed while the caller is sending is reset, and the reset may
//! overtake the response. The stream therefore only stops writing at first, and reads and
//! discards what the caller sends until it closes its side, for [`LINGER_TIME`] at most.

use crate::read_on::CurrentResponse;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest time for which a caller's bytes are discarded after the last response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that are discarded with one read.
const DISCARD_BYTES: usize = 4 * 1024;

/// A TCP stream whose shutdown waits until the caller has closed its side.
pub(crate) struct LingeringStream {
    stream: TokioIo<TcpStream>,
    /// Gets the number of bytes that the connection takes.
    response: Rc<CurrentResponse>,
    /// Set once the stream has stopped writing.
    linger_end: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    /// Returns a stream that closes in two steps.
    pub(crate) fn new(stream: TcpStream, response: Rc<CurrentResponse>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            response,
            linger_end: None,
        }
    }

    /// Records what a write has taken.
    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.response.record_written(bytes);
        }
        written
    }

    /// Reads and discards bytes until the caller closes its side.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(context, buffer.unfilled())) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl Read for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_end.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.linger_end = Some(Box::pin(sleep(LINGER_TIME)));
        }
        // Bytes that are always there must not outlast the time.
        let is_over = self
            .linger_end
            .as_mut()
            .is_none_or(|end| end.as_mut().poll(context).is_ready());
        match is_over || self.poll_discard(context).is_ready() {
            true => Poll::Ready(Ok(())),
            false => Poll::Pending,
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
    }
}
