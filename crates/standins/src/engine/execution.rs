//! The log of what an engine executed.
//!
//! Tests use it as the ground truth for whether a request was executed.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One request that reached the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Value of the header `x-request-id`, or an empty string.
    pub request: String,
    /// Value of the header `x-attempt`, or 0.
    pub attempt: u32,
    /// Index of the first token requested; above 0 for a resumed stream.
    pub first_token: u64,
    /// Number of tokens generated.
    pub tokens: u64,
    /// How the execution ended, or that it is still running.
    pub end: ExecutionEnd,
    /// Names of all request headers, in lower case.
    pub headers: Vec<String>,
    /// Whether the request had an `authorization` header.
    pub had_key: bool,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// Still running.
    Running,
    /// All tokens were generated.
    Completed,
    /// The engine was busy and refused the request; nothing was executed.
    Refused,
    /// The caller cancelled the request or closed the connection.
    Cancelled,
    /// An injected fault ended the execution.
    Crashed,
}

/// All executions of one engine, oldest first. Clones share the log.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog(Arc<Mutex<Vec<Execution>>>);

/// The position of an execution in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExecutionIndex(usize);

impl ExecutionLog {
    /// Returns a copy of all executions.
    pub fn snapshot(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    pub(crate) fn begin(&self, execution: Execution) -> ExecutionIndex {
        let mut executions = self.lock();
        executions.push(execution);
        ExecutionIndex(executions.len() - 1)
    }

    pub(crate) fn count_token(&self, index: ExecutionIndex) {
        self.lock()[index.0].tokens += 1;
    }

    /// Sets how the execution ended, unless it has already ended.
    pub(crate) fn finish(&self, index: ExecutionIndex, end: ExecutionEnd) {
        let execution = &mut self.lock()[index.0];
        if execution.end == ExecutionEnd::Running {
            execution.end = end;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
