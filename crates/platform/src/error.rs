//! What a failed call says about its effect.

use crate::VersionedObject;
use reqwest::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// A call to the platform that failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// The condition of a write didn't hold; it had no effect.
    #[error("the object has changed")]
    Conflict {
        /// What the object is now; `None` when it doesn't exist.
        current: Option<Box<VersionedObject>>,
    },
    /// No connection came about; the call certainly had no effect.
    #[error("the platform can't be reached: {detail}")]
    Unavailable {
        /// What the connection failed with.
        detail: String,
    },
    /// No usable answer came; the call may have taken effect, or may still.
    #[error("the platform's answer was lost: {detail}")]
    OutcomeUnknown {
        /// How the answer was lost.
        detail: String,
    },
    /// The platform's rate limit was reached; the call had no effect.
    #[error("the platform's rate limit was reached")]
    RateLimited {
        /// When the platform asks to come back.
        retry_after: Duration,
    },
    /// The platform refused the call; it had no effect.
    #[error("the platform refused the call with status {status}")]
    Rejected {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// A value doesn't have the form that its reader expects.
    #[error("malformed value: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

impl PlatformError {
    /// Returns whether the call may have taken effect, or may still.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }

    pub(crate) fn from_transport(error: &reqwest::Error) -> Self {
        let detail = error.to_string();
        match () {
            () if error.is_connect() => Self::Unavailable { detail },
            () if error.is_builder() => Self::Malformed { detail },
            () => Self::OutcomeUnknown { detail },
        }
    }

    /// Reads a status that isn't a success. A server's own failure leaves open
    /// whether the call took effect.
    pub(crate) fn from_status(status: StatusCode, retry_after: Option<Duration>) -> Self {
        match status {
            StatusCode::TOO_MANY_REQUESTS => Self::RateLimited {
                retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            },
            _ if status.is_client_error() => Self::Rejected {
                status: status.as_u16(),
            },
            _ => Self::OutcomeUnknown {
                detail: format!("status {status}"),
            },
        }
    }
}

/// When to come back if the platform doesn't say.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
