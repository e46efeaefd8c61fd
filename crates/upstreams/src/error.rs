//! Errors of calls to upstreams.
//!
//! Whether a request may be retried depends on whether an upstream may have run
//! it, so the errors distinguish failures by that.

use http::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// An attempt that failed before a response began.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written to a socket, so it can't have run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream refused the request because it is busy, and didn't run it.
    #[error("the upstream is busy")]
    Busy {
        /// Time after which the upstream asks to be tried again, from the
        /// `Retry-After` header.
        retry_after: Option<Duration>,
    },
    /// The upstream responded with an error status.
    #[error("the upstream responded with status {status}")]
    Status {
        /// The status of the response.
        status: StatusCode,
        /// The beginning of the response body, with invalid UTF-8 replaced.
        text: String,
    },
    /// The connection was lost, or the response couldn't be read or wasn't a
    /// success; the request may have run.
    #[error("the connection was lost: {0}")]
    ConnectionLost(String),
    /// No response arrived within the given time; the request may have run.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// A response body that ended before it was complete.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The connection was lost, or was closed before the end of the stream.
    #[error("the stream was interrupted: {0}")]
    Interrupted(String),
    /// No data arrived within the given time.
    #[error("no event within {0:?}")]
    Timeout(Duration),
    /// The data isn't a valid stream of events.
    #[error("the stream is malformed: {0}")]
    Malformed(String),
}

impl From<reqwest::Error> for SendError {
    fn from(error: reqwest::Error) -> Self {
        // Connect and builder errors occur before the first byte is written.
        match error.is_connect() || error.is_builder() {
            true => Self::NotSent(format_with_causes(&error)),
            false => Self::ConnectionLost(format_with_causes(&error)),
        }
    }
}

/// Formats an error together with its chain of causes, which the HTTP client
/// leaves out of its own message.
pub(crate) fn format_with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
