//! Outcomes of requests: a closed set, the same in code and on the wire.
//!
//! Callers rely on a refusal that says "not run" to be true. Every path through
//! the system therefore ends in exactly one of these values, and only code that
//! knows that no byte of the request reached an upstream may choose
//! [`Outcome::NotRun`].

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response was delivered.
    Answered,
    /// No upstream ran any part of the request.
    NotRun {
        /// Why the request was refused.
        reason: NotRunReason,
        /// Time after which the caller may retry; `None` if a retry can't succeed.
        retry_after: Option<Duration>,
    },
    /// The request may have run. The system doesn't retry it.
    Unknown,
    /// The request ran and failed.
    Failed,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The key is missing, unknown or revoked.
    Unauthorized,
    /// The request itself is malformed.
    BadRequest,
    /// The model or route doesn't exist or isn't available to this workspace.
    NotFound,
    /// The body or the headers exceed the permitted size.
    TooLarge,
    /// The workspace has exceeded its rate limit.
    LimitReached,
    /// The queue is full or the deadline can't be met.
    Overloaded,
    /// No upstream can accept the request at present.
    NoUpstream,
    /// The platform's store is unavailable and the request needs a claim there.
    StoreUnavailable,
    /// The host is shutting down.
    ShuttingDown,
}

/// The outcome without its details, as a metrics label and header value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// See [`Outcome::Answered`].
    Answered,
    /// See [`Outcome::NotRun`].
    NotRun,
    /// See [`Outcome::Unknown`].
    Unknown,
    /// See [`Outcome::Failed`].
    Failed,
}

impl Outcome {
    /// Returns the outcome without its details.
    pub fn kind(&self) -> OutcomeKind {
        match self {
            Self::Answered => OutcomeKind::Answered,
            Self::NotRun { .. } => OutcomeKind::NotRun,
            Self::Unknown => OutcomeKind::Unknown,
            Self::Failed => OutcomeKind::Failed,
        }
    }
}

impl OutcomeKind {
    /// Returns the value used in headers and metrics labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for OutcomeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
