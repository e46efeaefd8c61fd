//! Errors of calls to the platform.
//!
//! What the users of a failed call may do next depends on whether the call had an
//! effect, so each error says whether it had none or may have had one.

use crate::VersionedObject;
use reqwest::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// A failed call to the platform.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// The condition of a write didn't hold; the write had no effect.
    #[error("the object has changed")]
    Conflict {
        /// The current object, or `None` if it doesn't exist.
        current: Option<Box<VersionedObject>>,
    },
    /// No connection could be established; the call had no effect.
    #[error("the platform can't be reached: {detail}")]
    Unavailable {
        /// Why the connection failed.
        detail: String,
    },
    /// No usable response arrived; the call may have taken effect, or may still
    /// take effect.
    #[error("the outcome of the call to the platform is unknown: {detail}")]
    OutcomeUnknown {
        /// Why there is no usable response.
        detail: String,
    },
    /// The platform's rate limit was reached; the call had no effect.
    #[error("the platform's rate limit was reached")]
    RateLimited {
        /// Time after which the platform asks to retry.
        retry_after: Duration,
    },
    /// The platform refused the call; it had no effect.
    #[error("the platform refused the call with status {status}")]
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
    /// A value doesn't have the expected type, or a request couldn't be built.
    #[error("malformed value: {detail}")]
    Malformed {
        /// Description of the fault, with the object's key if there is one.
        detail: String,
    },
}

impl PlatformError {
    /// Returns whether the call may have taken effect, or may still take effect.
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

    /// Converts a status that isn't a success. After a server error, it is unknown
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

/// Time to wait before a retry if the platform sends no `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
