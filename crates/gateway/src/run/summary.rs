//! What the log says of a request's attempts.

use std::net::SocketAddr;
use std::time::Duration;

/// Summary of a request's attempts for its log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptSummary {
    /// Engine that ran the prefill.
    pub(crate) prefill_engine: Option<String>,
    /// Duration of the prefill.
    pub(crate) prefill_time: Option<Duration>,
    /// Upstream of the last attempt.
    pub(crate) upstream: Option<String>,
    /// Version of that upstream's software.
    pub(crate) version: Option<String>,
    /// Host by way of which the last attempt went, if it did.
    pub(crate) other_host: Option<SocketAddr>,
    /// Attempts so far, without prefills.
    pub(crate) sends: u32,
}
