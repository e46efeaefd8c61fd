//! What an engine really ran; the oracle of tests for "ran" and "not run".

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One request that reached the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// `x-request-id`, or empty.
    pub request: String,
    /// `x-attempt`, or 0.
    pub attempt: u32,
    /// Index of the first token that was asked for.
    pub first_token: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// How it ended.
    pub end: ExecutionEnd,
    /// Names of all headers that came with it, in lower case.
    pub headers: Vec<String>,
    /// Whether any header's value held a bearer key.
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
    /// Refused as busy; nothing ran.
    Refused,
    /// The caller cancelled it or went away.
    Cancelled,
    /// A fault ended it.
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

    /// Sets the end, unless the execution has ended before.
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
