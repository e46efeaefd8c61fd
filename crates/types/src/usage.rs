//! Usage records and the windows in which they are billed.

use crate::{ClassName, Incarnation, ProcessId, RequestId, Sequence, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::AddAssign;

/// Usage of one workspace, in billed units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageFigures {
    /// Requests that ran.
    pub requests: u64,
    /// Prompt tokens processed by engines.
    pub prompt_tokens: u64,
    /// Output tokens delivered to callers.
    pub output_tokens: u64,
}

impl AddAssign for UsageFigures {
    fn add_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.output_tokens = self.output_tokens.saturating_add(other.output_tokens);
    }
}

impl UsageFigures {
    /// Subtracts `other`; returns `None` if any result would be negative.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        Some(Self {
            requests: self.requests.checked_sub(other.requests)?,
            prompt_tokens: self.prompt_tokens.checked_sub(other.prompt_tokens)?,
            output_tokens: self.output_tokens.checked_sub(other.output_tokens)?,
        })
    }
}

/// Total usage, by workspace and class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSums {
    lines: BTreeMap<(WorkspaceName, ClassName), UsageFigures>,
}

impl UsageSums {
    /// Creates sums without any usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds usage of one workspace in one class.
    pub fn add(&mut self, workspace: &WorkspaceName, class: &ClassName, figures: UsageFigures) {
        let key = (workspace.clone(), class.clone());
        *self.lines.entry(key).or_default() += figures;
    }

    /// Adds all usage of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (workspace, class, figures) in other.iter() {
            self.add(workspace, class, figures);
        }
    }

    /// Subtracts `other`; returns `None` if any result would be negative.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        let mut difference = self.clone();
        for (key, figures) in &other.lines {
            let left = difference.lines.remove(key).unwrap_or_default();
            let left = left.checked_sub(*figures)?;
            if left != UsageFigures::default() {
                difference.lines.insert(key.clone(), left);
            }
        }
        Some(difference)
    }

    /// Returns the usage of each workspace and class, ordered by both.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkspaceName, &ClassName, UsageFigures)> {
        let lines = self.lines.iter();
        lines.map(|((workspace, class), figures)| (workspace, class, *figures))
    }
}

/// Usage of one request, identified by process, incarnation and sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The process that served the request.
    pub process: ProcessId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// Position among the records of that incarnation, starting at 0 without
    /// gaps.
    pub sequence: Sequence,
    /// The billed request.
    pub request: RequestId,
    /// The billed workspace.
    pub workspace: WorkspaceName,
    /// The class of the request.
    pub class: ClassName,
    /// The usage of the request.
    pub figures: UsageFigures,
}

/// Number of a usage window: seconds since the Unix epoch divided by the
/// window's length. Windows only group records; correctness doesn't depend on the
/// clock.
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
