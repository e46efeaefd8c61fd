//! What can go wrong between here and an upstream, told apart by what may have
//! run.

use http::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// Why no answer has begun.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request reached a socket.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream refused as busy; it has run nothing.
    #[error("the upstream is busy")]
    Busy {
        /// When it wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The upstream answered with an error status.
    #[error("the upstream answered {status}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The beginning of the body.
        text: String,
    },
    /// The connection broke; the request may have run.
    #[error("the connection broke: {0}")]
    ConnectionLost(String),
    /// Nothing came within the time allowed; the request may have run.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// Why a stream ended before its end marker.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The connection broke or was closed early.
    #[error("the stream broke: {0}")]
    Interrupted(String),
    /// Nothing came within the time allowed.
    #[error("no event within {0:?}")]
    Timeout(Duration),
    /// What came is no event stream.
    #[error("the stream is malformed: {0}")]
    Malformed(String),
}

impl From<reqwest::Error> for SendError {
    fn from(error: reqwest::Error) -> Self {
        // An error while connecting or building comes before the first write.
        match error.is_connect() || error.is_builder() {
            true => Self::NotSent(error_text(&error)),
            false => Self::ConnectionLost(error_text(&error)),
        }
    }
}

/// Returns the error with its causes, which the library keeps apart.
pub(crate) fn error_text(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
