//! Reads what is left of a request's body before its response is sent.
//!
//! A refused request's body may not have been read to its end. If the connection
//! were closed while the caller is still sending, it would be reset, and the
//! caller might lose the response.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for which a response waits for the end of its request's body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// A request body that can still be read after its handler has dropped it. Clones
/// share the body.
#[derive(Clone, Debug)]
pub(crate) struct SharedBody(Arc<Mutex<BodyState>>);

#[derive(Debug)]
struct BodyState {
    incoming: Incoming,
    /// Whether the caller sends the body only after it has been asked for, and it
    /// hasn't been yet.
    awaits_continue: bool,
    has_ended: bool,
}

impl SharedBody {
    /// `awaits_continue` tells whether the request has an `Expect: 100-continue`
    /// header.
    pub(crate) fn new(incoming: Incoming, awaits_continue: bool) -> Self {
        Self(Arc::new(Mutex::new(BodyState {
            has_ended: incoming.is_end_stream(),
            incoming,
            awaits_continue,
        })))
    }

    /// Reads the rest of the body without keeping it, for a bounded time.
    pub(crate) async fn discard_rest(mut self) {
        if self.lock().awaits_continue {
            return;
        }
        let discarded = async {
            while let Some(Ok(_)) = poll_fn(|cx| Pin::new(&mut self).poll_frame(cx)).await {}
        };
        // After the timeout, the response is sent all the same.
        let _ = timeout(DISCARD_TIMEOUT, discarded).await;
    }

    fn lock(&self) -> MutexGuard<'_, BodyState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Body for SharedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let mut state = self.lock();
        if state.has_ended {
            return Poll::Ready(None);
        }
        state.awaits_continue = false;
        let frame = ready!(Pin::new(&mut state.incoming).poll_frame(cx));
        state.has_ended = !matches!(frame, Some(Ok(_)));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let state = self.lock();
        state.has_ended || state.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.lock().incoming.size_hint()
    }
}
