//! Names of the headers that callers and the system exchange.

use http::HeaderName;

/// From callers: the request class; `default` when absent.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("lagoonlift-class");

/// From callers: marks repeats of one and the same request.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// To callers: what became of the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("lagoonlift-outcome");

/// To callers: identifies the request in logs and in `explain`.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("lagoonlift-request-id");

/// To callers: `false` stops client libraries that repeat on every 5xx.
pub const SHOULD_RETRY_HEADER: HeaderName = HeaderName::from_static("x-should-retry");
