//! The body of a request, and whether its connection has taken it.
//!
//! A response without a length ends with its connection, and is whole only if nothing says
//! otherwise. A request that is still being written says otherwise: the upstream can't have
//! read it.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// Largest part of a body that is handed over at once, in bytes. The HTTP client asks for the
/// next one when it has room, so that an upload that stalls isn't taken to its end.
const MAX_PART_BYTES: usize = 16 * 1024;

/// Whether the connection has taken the whole body of a request; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct UploadProgress(Arc<AtomicBool>);

impl UploadProgress {
    /// Returns whether a part of the body is still to be written.
    pub(crate) fn is_unfinished(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
}

/// A body that is written in parts.
#[derive(Debug)]
pub(crate) struct UploadBody {
    rest: Bytes,
    is_taken: Arc<AtomicBool>,
}

impl UploadBody {
    /// Creates a body, and what tells its progress.
    pub(crate) fn new(body: Bytes) -> (Self, UploadProgress) {
        let is_taken = Arc::new(AtomicBool::new(body.is_empty()));
        let progress = UploadProgress(Arc::clone(&is_taken));
        let body = Self {
            rest: body,
            is_taken,
        };
        (body, progress)
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(MAX_PART_BYTES);
        let part = self.rest.split_to(length);
        if self.rest.is_empty() {
            self.is_taken.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
