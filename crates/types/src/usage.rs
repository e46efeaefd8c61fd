//! Usage records and the windows they are billed in.

use crate::{ClassName, Incarnation, ProcessId, RequestId, Sequence, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::AddAssign;

/// What one workspace used, in units that are billed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageFigures {
    /// Requests that ran.
    pub requests: u64,
    /// Prompt tokens read by engines.
    pub prompt_tokens: u64,
    /// Output tokens delivered to callers.
    pub output_tokens: u64,
}

impl AddAssign for UsageFigures {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// What one request used. Identified by process, incarnation and sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The process that served the request.
    pub process: ProcessId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// Position among the records of that incarnation, without gaps, from 0.
    pub sequence: Sequence,
    /// The request that is billed.
    pub request: RequestId,
    /// The workspace that pays.
    pub workspace: WorkspaceName,
    /// The class of the request.
    pub class: ClassName,
    /// What was used.
    pub figures: UsageFigures,
}

/// Number of a usage window: seconds since the Unix epoch divided by the
/// window's length. Windows only group records; no promise rests on the clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowId(pub u64);

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
