//! The last decisions of one process, in bounded memory.
//!
//! Operators ask why after the fact, so every decision is kept for a while
//! without anyone having asked for it. The log is a ring: the oldest decision
//! goes when a new one comes, and each has a bounded size, so a flood of
//! requests costs old explanations and never memory.

use crate::{Decision, DecisionStep, Evidence};
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

impl fmt::Display for RecordedDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Decision {
            subject,
            step,
            evidence,
            authority,
        } = &self.decision;
        let at = UNIX_EPOCH + std::time::Duration::from_millis(self.at);
        write!(f, "{} ", humantime::format_rfc3339_millis(at))?;
        write!(f, "{step}")?;
        if let Some(upstream) = &subject.upstream {
            write!(f, " at {upstream}")?;
        }
        if let Some(request) = &subject.request {
            write!(f, " for request {request}")?;
        }
        if let Some(workspace) = &subject.workspace {
            write!(f, " of {workspace}")?;
        }
        write!(f, " by {}", authority.holder)?;
        if let Some(epoch) = authority.epoch {
            write!(f, " at epoch {epoch}")?;
        }
        write!(f, " under revision {}", authority.revision)?;
        for (i, fact) in evidence.iter().enumerate() {
            let separator = if i == 0 { ": " } else { ", " };
            write!(f, "{separator}{fact}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DecisionStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted => f.write_str("admitted"),
            Self::Queued => f.write_str("queued"),
            Self::Dispatched { attempt, priority } => {
                write!(f, "dispatched (attempt {attempt}, priority {priority})")
            }
            Self::Refused { reason } => write!(f, "refused, not run ({reason:?})"),
            Self::Ended { outcome } => write!(f, "ended as {outcome}"),
            Self::RoleChange { role } => write!(f, "ordered to become {role:?}"),
            Self::ModelLoad { model } => write!(f, "ordered to load {model}"),
            Self::Held { reason } => write!(f, "left as it is ({reason:?})"),
            Self::OrderEnded { succeeded: true } => f.write_str("order done"),
            Self::OrderEnded { succeeded: false } => f.write_str("order failed"),
            Self::Draining => f.write_str("draining"),
            Self::LeaseTaken => f.write_str("lease taken"),
            Self::LeaseLost => f.write_str("lease lost"),
            Self::UpstreamsOrdered { count } => write!(f, "{count} upstreams ordered"),
            Self::UpstreamReturned => f.write_str("given back"),
            Self::WindowSealed { window } => write!(f, "usage window {window} sealed"),
            Self::WindowReported { window } => write!(f, "usage window {window} reported"),
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimeLeft(left) => write!(f, "{} ms left", left.as_millis()),
            Self::Idempotent(true) => f.write_str("may run twice"),
            Self::Idempotent(false) => f.write_str("may not run twice"),
            Self::InFlight(count) => write!(f, "{count} in flight from here"),
            Self::Load {
                prefill_backlog_tokens,
                active_streams,
                age,
            } => write!(
                f,
                "{prefill_backlog_tokens} tokens waiting and {active_streams} streams {} ms ago",
                age.as_millis()
            ),
            Self::PrefixHeld => f.write_str("prompt's beginning cached"),
            Self::QueueLength(length) => write!(f, "{length} queued here"),
            Self::Avoided(upstream) => write!(f, "{upstream} failed it before"),
            Self::TokensDelivered(tokens) => write!(f, "{tokens} tokens delivered"),
            Self::PrefillShare(share) => write!(f, "prefill share {share:.2}"),
            Self::ExpectedPrefillShare(share) => write!(f, "expected prefill share {share:.2}"),
            Self::EnginesAway(count) => write!(f, "{count} engines away"),
        }
    }
}
