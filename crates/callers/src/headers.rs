//! Names of the HTTP headers in callers' requests and in our responses.

use http::HeaderName;

/// Request header: the request class, or `default` if absent.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("lagoonlift-class");

/// Request header: a key that the caller sends with every retry of one request.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Response header: the outcome of the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("lagoonlift-outcome");

/// Response header: the identifier of the request in logs and in `explain`.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("lagoonlift-request-id");

/// Response header: whether the client may retry the request. `false` stops
/// client libraries that otherwise retry after every 5xx status.
pub const SHOULD_RETRY_HEADER: HeaderName = HeaderName::from_static("x-should-retry");
