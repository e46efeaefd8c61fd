//! Outcomes on the wire: status, error body and headers.
//!
//! Client libraries repeat a call on many statuses by themselves. Each outcome
//! therefore says in a header, too, whether a repeat is safe, and "not run" is
//! the only one that invites it.

use crate::{ErrorBody, ErrorDetail, OUTCOME_HEADER, REQUEST_ID_HEADER, SHOULD_RETRY_HEADER};
use http::header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, StatusCode};
use lagoonlift_types::{NotRunReason, Outcome, OutcomeKind, RequestId};
use std::time::Duration;
use warp::reply::Response;

/// What a caller is told in place of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeReply {
    /// What became of the request.
    pub outcome: Outcome,
    /// For people.
    pub message: String,
    /// Whether this repeats what became of an earlier, identical request.
    pub is_replay: bool,
}

impl OutcomeReply {
    /// Creates a reply to a request that has just ended so.
    pub fn new(outcome: Outcome, message: impl Into<String>) -> Self {
        Self {
            outcome,
            message: message.into(),
            is_replay: false,
        }
    }

    /// Creates a refusal; `retry_after` is `None` when a repeat can't succeed.
    pub fn not_run(
        reason: NotRunReason,
        retry_after: Option<Duration>,
        message: impl Into<String>,
    ) -> Self {
        Self::new(
            Outcome::NotRun {
                reason,
                retry_after,
            },
            message,
        )
    }

    /// Creates a reply to a repeat of a request that already ran.
    pub fn already_ran(outcome: Outcome, message: impl Into<String>) -> Self {
        Self {
            is_replay: true,
            ..Self::new(outcome, message)
        }
    }

    /// Returns the error body as JSON text.
    pub fn body_text(&self) -> String {
        let (type_, code) = self.type_and_code();
        let error = ErrorDetail {
            message: self.message.clone(),
            type_: type_.to_owned(),
            code: code.to_owned(),
        };
        serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
    }

    /// Returns the whole HTTP response.
    pub fn into_response(self, request: RequestId) -> Response {
        let mut response = Response::new(self.body_text().into());
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let kind = HeaderValue::from_static(self.outcome.kind().as_str());
        headers.insert(OUTCOME_HEADER, kind);
        if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        let retry_after = match &self.outcome {
            Outcome::NotRun { retry_after, .. } => *retry_after,
            Outcome::Answered | Outcome::Unknown | Outcome::Failed => None,
        };
        let should_retry = match retry_after {
            Some(_) => HeaderValue::from_static("true"),
            None => HeaderValue::from_static("false"),
        };
        headers.insert(SHOULD_RETRY_HEADER, should_retry);
        if let Some(wait) = retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
        }
        if self.status() == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self.is_replay {
            true => StatusCode::CONFLICT,
            false => outcome_status(&self.outcome),
        }
    }

    fn type_and_code(&self) -> (&'static str, &'static str) {
        match (&self.outcome, self.is_replay) {
            (_, true) => ("idempotency_error", "already_ran"),
            (Outcome::NotRun { reason, .. }, false) => reason_names(*reason),
            (outcome, false) => match outcome.kind() {
                OutcomeKind::Unknown => ("server_error", "outcome_unknown"),
                OutcomeKind::Failed => ("server_error", "failed"),
                OutcomeKind::Answered | OutcomeKind::NotRun => ("server_error", "answered"),
            },
        }
    }
}

/// Returns the HTTP status by which an outcome is told.
pub fn outcome_status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun { reason, .. } => match reason {
            NotRunReason::Unauthorized => StatusCode::UNAUTHORIZED,
            NotRunReason::BadRequest => StatusCode::BAD_REQUEST,
            NotRunReason::NotFound => StatusCode::NOT_FOUND,
            NotRunReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            NotRunReason::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            NotRunReason::Overloaded
            | NotRunReason::NoUpstream
            | NotRunReason::StoreUnavailable
            | NotRunReason::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        },
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
    }
}

fn reason_names(reason: NotRunReason) -> (&'static str, &'static str) {
    match reason {
        NotRunReason::Unauthorized => ("authentication_error", "invalid_api_key"),
        NotRunReason::BadRequest => ("invalid_request_error", "bad_request"),
        NotRunReason::NotFound => ("invalid_request_error", "not_found"),
        NotRunReason::TooLarge => ("invalid_request_error", "too_large"),
        NotRunReason::LimitReached => ("rate_limit_error", "limit_reached"),
        NotRunReason::Overloaded => ("overloaded_error", "overloaded"),
        NotRunReason::NoUpstream => ("overloaded_error", "no_upstream"),
        NotRunReason::StoreUnavailable => ("server_error", "store_unavailable"),
        NotRunReason::ShuttingDown => ("server_error", "shutting_down"),
    }
}

/// `Retry-After` has whole seconds; a caller must not come back too early.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000).max(1) as u64
}
