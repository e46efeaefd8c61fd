//! Answers to clients.

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use lagoonlift_adapter::own_reply_headers;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;

/// Body of an answer to a client.
pub(crate) type ReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = RelayError>>>;

/// Why an answer broke off; the client's connection then ends without the end
/// of the answer.
#[derive(Debug, Error)]
#[error("the answer broke off: {0}")]
pub(crate) struct RelayError(pub(crate) String);

/// An answer that the system gives itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Status.
    pub(crate) status: StatusCode,
    /// When the caller may come back.
    pub(crate) retry_after: Option<Duration>,
    /// Reason, for logs and metrics.
    pub(crate) reason: &'static str,
    /// Whether the caller should come back on another connection.
    pub(crate) closes_connection: bool,
}

impl Refusal {
    /// The request has not run and never will; the caller may come back.
    pub(crate) fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
            reason,
            closes_connection: false,
        }
    }

    /// The request can't be served whenever it comes.
    pub(crate) fn invalid(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
            closes_connection: false,
        }
    }

    /// The request may have run.
    pub(crate) fn unknown(reason: &'static str) -> Self {
        Self::invalid(StatusCode::BAD_GATEWAY, reason)
    }

    /// Time ran out, and the request may have run.
    pub(crate) fn timed_out(reason: &'static str) -> Self {
        Self::invalid(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Sends the caller to another host.
    pub(crate) fn closing_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Returns the answer to the request with this identifier.
    pub(crate) fn reply(&self, request_id: &str) -> Response<ReplyBody> {
        let mut headers = own_reply_headers(request_id, self.retry_after);
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let text = format!("{}\n", self.reason);
        full_response(self.status, headers, Bytes::from(text))
    }
}

/// Returns an answer whose body is at hand.
pub(crate) fn full_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ReplyBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let body: ReplyBody = Box::pin(body);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
