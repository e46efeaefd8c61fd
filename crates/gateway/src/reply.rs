//! Responses to callers.

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use lagoonlift_adapter::own_response_headers;
use lagoonlift_policy::dispatch::NotRunProof;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;

/// Body of a response to a caller.
pub(crate) type ReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = RelayError>>>;

/// Why a response was aborted. The caller's connection then closes before the end
/// of the response, so that the caller can't mistake it for a complete one.
#[derive(Debug, Error)]
#[error("response aborted: {0}")]
pub(crate) struct RelayError(pub(crate) String);

/// A response that the gateway generates instead of forwarding an upstream's. It may
/// state that the request has not run (503), that it was rejected (4xx), or that it
/// may have run (502 and 504).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GatewayReply {
    /// HTTP status of the response.
    pub(crate) status: StatusCode,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    /// Reason, in the log and in the response body.
    pub(crate) reason: &'static str,
    /// Whether the response closes the connection, so that a retry may reach another
    /// host.
    pub(crate) closes_connection: bool,
}

/// Why a request is given up, before it is known whether an earlier attempt has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Reason, in the log and in the response body.
    pub(crate) reason: &'static str,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Duration,
    /// Whether no upstream could take the request. Otherwise they could, and have too much
    /// work, or want none.
    pub(crate) is_for_lack_of_upstreams: bool,
}

impl Refusal {
    pub(crate) fn new(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            is_for_lack_of_upstreams: false,
        }
    }
}

impl GatewayReply {
    /// The request has not run and will not run, as `_proof` shows; the caller may retry it.
    pub(crate) fn not_run(refusal: Refusal, _proof: NotRunProof) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(refusal.retry_after),
            reason: refusal.reason,
            closes_connection: false,
        }
    }

    /// The same for a request that uses up a quota.
    pub(crate) fn over_quota(refusal: Refusal, proof: NotRunProof) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Self::not_run(refusal, proof)
        }
    }

    /// The same for a request whose body didn't arrive in time.
    pub(crate) fn incomplete(reason: &'static str, _proof: NotRunProof) -> Self {
        Self::without_retry_after(StatusCode::REQUEST_TIMEOUT, reason)
    }

    /// A response without `Retry-After`, with a status that the caller chooses and that
    /// promises nothing about a run. Most
    /// are for requests whose retry would fail in the same way; one for a truncated
    /// body, and those of `unknown` and `timed_out`, say nothing about a retry.
    pub(crate) fn without_retry_after(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
            closes_connection: false,
        }
    }

    /// The request may have run.
    pub(crate) fn unknown(reason: &'static str) -> Self {
        Self::without_retry_after(StatusCode::BAD_GATEWAY, reason)
    }

    /// The deadline passed, and the request may have run.
    pub(crate) fn timed_out(reason: &'static str) -> Self {
        Self::without_retry_after(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Makes the response close the connection, so that a retry may reach another
    /// host.
    pub(crate) fn closing_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Returns the response to the request with the identifier `request_id`.
    pub(crate) fn response_to(&self, request_id: &str) -> Response<ReplyBody> {
        let mut headers = own_response_headers(request_id, self.retry_after);
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let text = format!("{}\n", self.reason);
        full_response(self.status, headers, Bytes::from(text))
    }
}

/// Returns a response whose complete body is `body`.
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
