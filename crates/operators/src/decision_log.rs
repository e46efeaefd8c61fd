//! The last decisions of one process, in bounded memory.
//!
//! Operators ask why after the fact, so every decision is kept for a while
//! without anyone having asked for it. The log is a ring: the oldest decision
//! goes when a new one comes, and each has a bounded size, so a flood of
//! requests costs old explanations and never memory.

use crate::Decision;
use lagoonlift_types::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Decisions that a log keeps unless it is told otherwise.
const DEFAULT_CAPACITY: usize = 4_096;

/// Most facts that are kept with one decision.
const MAX_EVIDENCE: usize = 8;

/// Most decisions in one explanation.
const MAX_EXPLAINED: usize = 200;

/// A decision as the log keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedDecision {
    /// Milliseconds since the Unix epoch, by the host's wall clock; for reading
    /// only.
    pub at: u64,
    /// The decision.
    pub decision: Decision,
}

/// Whose decisions are asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainQuery {
    /// Those about a request.
    Request(RequestId),
    /// Those about an upstream or a workspace of this name.
    Name(String),
}

impl FromStr for ExplainQuery {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text.parse() {
            Ok(request) => Self::Request(request),
            Err(_) => Self::Name(text.to_owned()),
        })
    }
}

impl fmt::Display for ExplainQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Name(name) => f.write_str(name),
        }
    }
}

impl ExplainQuery {
    fn matches(&self, decision: &Decision) -> bool {
        let subject = &decision.subject;
        match self {
            Self::Request(request) => subject.request == Some(*request),
            Self::Name(name) => {
                let upstream = subject.upstream.as_ref().map(|upstream| upstream.as_str());
                let workspace = subject.workspace.as_ref().map(|name| name.as_str());
                upstream == Some(name) || workspace == Some(name)
            }
        }
    }
}

/// The last decisions of one process. Clones share the same log.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    ring: Arc<Mutex<VecDeque<RecordedDecision>>>,
    capacity: usize,
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self::new()
    }
}

impl DecisionLog {
    /// Creates an empty log for the usual number of decisions.
    pub fn new() -> Self {
        Self::with_capacity(DEFAULT_CAPACITY)
    }

    /// Creates an empty log that keeps `capacity` decisions, at least one.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            ring: Arc::default(),
            capacity: capacity.max(1),
        }
    }

    /// Records a decision; facts beyond the eighth are left out.
    pub fn record(&self, mut decision: Decision) {
        decision.evidence.truncate(MAX_EVIDENCE);
        decision.evidence.shrink_to_fit();
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = since.unwrap_or_default().as_millis() as u64;
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == self.capacity {
            ring.pop_front();
        }
        ring.push_back(RecordedDecision { at, decision });
    }

    /// Returns the last decisions that match, the oldest first.
    pub fn explain(&self, query: &ExplainQuery) -> Vec<RecordedDecision> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let matching = ring.iter().rev().filter(|r| query.matches(&r.decision));
        let mut found: Vec<RecordedDecision> = matching.take(MAX_EXPLAINED).cloned().collect();
        found.reverse();
        found
    }
}
