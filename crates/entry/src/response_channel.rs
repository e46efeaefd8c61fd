//! A channel that carries one response to its caller, as an event stream or as
//! a single body.

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

/// Number of chunks that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

/// The response can't be sent: the caller disconnected, or read nothing until
/// the stall timeout. A chat response that can't be serialized is reported in the
/// same way.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the caller disconnected")]
pub(crate) struct CallerDisconnected;

/// The response was aborted before its end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the response was aborted")]
pub(crate) struct ResponseAborted;

/// The sending half of a response.
#[derive(Debug)]
pub(crate) struct ResponseSender {
    request: RequestId,
    head: Option<oneshot::Sender<ResponseHead>>,
    chunks: mpsc::Sender<Result<Bytes, ResponseAborted>>,
    /// Cancelled when the caller disconnects.
    disconnect_token: CancellationToken,
    /// Timeout for a caller that doesn't read. When it elapses, sending fails,
    /// which lets the relay end the request and free its slot at the upstream.
    /// The relay of a non-idempotent request to a plain service continues.
    stall_timeout: Duration,
}

/// The receiving half of a response, held by the HTTP library. Dropping it
/// signals that the caller disconnected.
#[derive(Debug)]
pub(crate) struct ResponseReceiver {
    request: RequestId,
    head: oneshot::Receiver<ResponseHead>,
    chunks: mpsc::Receiver<Result<Bytes, ResponseAborted>>,
    guard: DropGuard,
}

/// The head of a response, which precedes its chunks.
#[derive(Debug)]
enum ResponseHead {
    /// A response whose chunks follow.
    Chunks {
        status: StatusCode,
        headers: HeaderMap,
    },
    /// A complete response without further chunks.
    Reply(OutcomeReply),
}

/// Creates both halves of a response.
pub(crate) fn response_channel(
    request: RequestId,
    stall_timeout: Duration,
) -> (ResponseSender, ResponseReceiver) {
    let (head_sender, head) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(BUFFERED_CHUNKS);
    let disconnect_token = CancellationToken::new();
    let guard = disconnect_token.clone().drop_guard();
    let sender = ResponseSender {
        request,
        head: Some(head_sender),
        chunks: chunk_sender,
        disconnect_token,
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
    /// Returns a cancellation token that is cancelled when the caller
    /// disconnects.
    pub(crate) fn disconnect_token(&self) -> CancellationToken {
        self.disconnect_token.clone()
    }

    /// Starts a response of several chunks.
    pub(crate) fn start(&mut self, status: StatusCode, headers: HeaderMap) {
        if let Some(head) = self.head.take() {
            // The send fails if the caller disconnected, which
            // `disconnect_token` signals.
            let _ = head.send(ResponseHead::Chunks { status, headers });
        }
    }

    /// Starts an event stream, unless the response has started.
    pub(crate) fn start_event_stream(&mut self) {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        self.start(StatusCode::OK, headers);
    }

    /// Starts a JSON response with the outcome `answered`.
    pub(crate) fn start_json(&mut self) {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, outcome_header_value(OutcomeKind::Answered));
        self.start(StatusCode::OK, headers);
    }

    /// Sends the next chunk.
    pub(crate) async fn send(&mut self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        match timeout(self.stall_timeout, self.chunks.send(Ok(chunk))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }

    /// Aborts the connection.
    pub(crate) async fn abort(self) {
        // The HTTP library closes the connection when the body yields an error.
        let _ = self.chunks.send(Err(ResponseAborted)).await;
    }

    /// Ends the response with a reply: as the whole response if nothing was
    /// sent, otherwise as the last event of the stream.
    pub(crate) async fn fail(mut self, reply: OutcomeReply) {
        match self.head.take() {
            Some(head) => {
                let _ = head.send(ResponseHead::Reply(reply));
            }
            None => {
                tracing::debug!(request = %self.request, "ending the stream with an error event");
                let _ = self.send(error_event(&reply)).await;
            }
        }
    }
}

impl ResponseReceiver {
    /// Waits for the head and returns the response, whose body is the chunks.
    pub(crate) async fn respond(self) -> Response {
        let Ok(head) = self.head.await else {
            // The task that held the sender ended without a reply. It may have
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

/// Returns the header value for an outcome.
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
