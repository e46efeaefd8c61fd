//! The latest decisions of one process, in bounded memory.
//!
//! Operators ask for an explanation after the fact, so every decision is recorded
//! without a request for it. The log is a ring buffer of decisions of bounded
//! size: a new decision evicts the oldest one. A flood of requests therefore
//! shortens the history and doesn't increase memory use.

use crate::Decision;
use lagoonlift_types::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Default number of decisions in a log.
const DEFAULT_CAPACITY: usize = 4_096;

/// Maximum number of facts stored with one decision.
const MAX_EVIDENCE: usize = 8;

/// Maximum number of decisions in the result of one query.
const MAX_QUERY_RESULTS: usize = 200;

/// A decision with the time at which it was recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedDecision {
    /// Milliseconds since the Unix epoch by the host's wall clock. For display
    /// only.
    pub at: u64,
    /// The decision.
    pub decision: Decision,
}

/// Selects the decisions to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainQuery {
    /// Decisions about this request.
    Request(RequestId),
    /// Decisions about the upstream or the workspace of this name.
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

/// The latest decisions of one process. Clones share the same log.
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
    /// Creates an empty log for 4096 decisions.
    pub fn new() -> Self {
        Self::with_capacity(DEFAULT_CAPACITY)
    }

    /// Creates an empty log for `capacity` decisions, at least one.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            ring: Arc::default(),
            capacity: capacity.max(1),
        }
    }

    /// Records a decision and its first eight facts; further facts are dropped.
    pub fn record(&self, mut decision: Decision) {
        decision.evidence.truncate(MAX_EVIDENCE);
        decision.evidence.shrink_to_fit();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = since_epoch.unwrap_or_default().as_millis() as u64;
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == self.capacity {
            ring.pop_front();
        }
        ring.push_back(RecordedDecision { at, decision });
    }

    /// Returns the latest decisions that match the query, at most 200, oldest
    /// first.
    pub fn explain(&self, query: &ExplainQuery) -> Vec<RecordedDecision> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let matching = ring.iter().rev().filter(|r| query.matches(&r.decision));
        let mut found: Vec<RecordedDecision> = matching.take(MAX_QUERY_RESULTS).cloned().collect();
        found.reverse();
        found
    }
}
