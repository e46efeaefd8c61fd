//! The caller's side of one answer: a stream, or a whole.

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use lagoonlift_callers::{OUTCOME_HEADER, OutcomeReply, REQUEST_ID_HEADER, error_event};
use lagoonlift_types::{OutcomeKind, RequestId};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::{CancellationToken, DropGuard};
use warp::reply::{Reply, Response};

/// Parts that may wait for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

/// The caller went away, or reads nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the caller left")]
pub(crate) struct CallerDisconnected;

/// An answer that broke off in the middle.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the answer broke off")]
pub(crate) struct ResponseAborted;

/// The sending end of one answer.
#[derive(Debug)]
pub(crate) struct ResponseSender {
    request: RequestId,
    head: Option<oneshot::Sender<ResponseHead>>,
    chunks: mpsc::Sender<Result<Bytes, ResponseAborted>>,
    caller: CancellationToken,
    /// Longest time that the caller may not read; its upstream's slot is then
    /// freed.
    stall_timeout: Duration,
}

/// The receiving end, held by the HTTP library: dropping it says that the
/// caller left.
#[derive(Debug)]
pub(crate) struct ResponseReceiver {
    request: RequestId,
    head: oneshot::Receiver<ResponseHead>,
    chunks: mpsc::Receiver<Result<Bytes, ResponseAborted>>,
    guard: DropGuard,
}

/// What comes before the parts.
#[derive(Debug)]
enum ResponseHead {
    /// Parts follow.
    Chunks {
        status: StatusCode,
        headers: HeaderMap,
    },
    /// This is all.
    Reply(OutcomeReply),
}

/// Creates both ends of one answer.
pub(crate) fn response_channel(
    request: RequestId,
    stall_timeout: Duration,
) -> (ResponseSender, ResponseReceiver) {
    let (head_sender, head) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(BUFFERED_CHUNKS);
    let caller = CancellationToken::new();
    let guard = caller.clone().drop_guard();
    let sender = ResponseSender {
        request,
        head: Some(head_sender),
        chunks: chunk_sender,
        caller,
        stall_timeout,
    };
    let receiver = ResponseReceiver {
        request,
        head,
        chunks,
        guard,
    };
    (sender, receiver)
}

impl ResponseSender {
    /// Returns a token that is cancelled when the caller has left.
    pub(crate) fn caller(&self) -> CancellationToken {
        self.caller.clone()
    }

    /// Starts an answer of several parts.
    pub(crate) fn start(&mut self, status: StatusCode, headers: HeaderMap) {
        if let Some(head) = self.head.take() {
            // A caller that left is noticed through its token.
            let _ = head.send(ResponseHead::Chunks { status, headers });
        }
    }

    /// Starts a streamed answer, unless it has begun.
    pub(crate) fn start_event_stream(&mut self) {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        self.start(StatusCode::OK, headers);
    }

    /// Starts a whole answer in JSON.
    pub(crate) fn start_json(&mut self) {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, outcome_header_value(OutcomeKind::Answered));
        self.start(StatusCode::OK, headers);
    }

    /// Sends the next part.
    pub(crate) async fn send(&mut self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        match timeout(self.stall_timeout, self.chunks.send(Ok(chunk))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }

    /// Breaks the connection off.
    pub(crate) async fn abort(self) {
        // The HTTP library breaks a connection off when its body fails.
        let _ = self.chunks.send(Err(ResponseAborted)).await;
    }

    /// Ends the answer with a reply: as the whole response if nothing was sent,
    /// else as the last event of the stream.
    pub(crate) async fn fail(mut self, reply: OutcomeReply) {
        match self.head.take() {
            Some(head) => {
                let _ = head.send(ResponseHead::Reply(reply));
            }
            None => {
                tracing::debug!(request = %self.request, "a stream ended early");
                let _ = self.send(error_event(&reply)).await;
            }
        }
    }
}

impl ResponseReceiver {
    /// Waits for the head and returns the response, whose body is the parts.
    pub(crate) async fn respond(self) -> Response {
        let Ok(head) = self.head.await else {
            // The task that held the sender ended without a word; it may have
            // sent the request.
            let outcome = lagoonlift_types::Outcome::Unknown;
            let reply = OutcomeReply::new(outcome, "the request's task ended early");
            return reply.into_response(self.request);
        };
        match head {
            ResponseHead::Reply(reply) => reply.into_response(self.request),
            ResponseHead::Chunks { status, headers } => {
                let chunks = with_guard(self.chunks, self.guard);
                let mut response = warp::reply::stream(chunks).into_response();
                *response.status_mut() = status;
                response.headers_mut().extend(headers);
                if let Ok(value) = HeaderValue::from_str(&self.request.to_string()) {
                    response.headers_mut().insert(REQUEST_ID_HEADER, value);
                }
                response
            }
        }
    }
}

/// Returns the header value that tells an outcome.
pub(crate) fn outcome_header_value(kind: OutcomeKind) -> HeaderValue {
    HeaderValue::from_static(kind.as_str())
}

fn with_guard(
    chunks: mpsc::Receiver<Result<Bytes, ResponseAborted>>,
    guard: DropGuard,
) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + Send + Sync + 'static {
    ReceiverStream::new(chunks).map(move |chunk| {
        let _guard = &guard;
        chunk
    })
}
