//! Faults that a test can switch on in an engine.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A fault that hits one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineFault {
    /// Serve normally; useful to let some requests pass first.
    None,
    /// Refuse with 429; nothing runs.
    Busy,
    /// Break the connection before the response's headers; nothing is
    /// generated, but the request was read.
    CrashBeforeHeaders,
    /// Break the connection after this many tokens.
    CrashAfterTokens(u64),
    /// Break the connection after the last token, before the end marker.
    CrashBeforeEnd,
    /// Run to the end, then break the connection instead of answering.
    LoseAnswer,
    /// Stop sending after this many tokens but keep the connection open.
    SilentAfterTokens(u64),
    /// Answer 500 after reading the request.
    ServerError,
    /// Wait before the first token.
    Delay(Duration),
    /// Send token texts that belong to another prompt.
    ForeignTokens,
}

/// The faults that wait for requests: the next request takes the first one.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults(Arc<Mutex<FaultQueue>>);

#[derive(Debug, Default)]
struct FaultQueue {
    next: VecDeque<EngineFault>,
    always: Option<EngineFault>,
}

impl EngineFaults {
    /// Adds a fault that hits one later request.
    pub fn push(&self, fault: EngineFault) {
        self.with(|queue| queue.next.push_back(fault));
    }

    /// Sets the fault that hits every request that no pushed fault hits.
    pub fn set_default(&self, fault: Option<EngineFault>) {
        self.with(|queue| queue.always = fault);
    }

    pub(crate) fn take(&self) -> EngineFault {
        self.with(|queue| {
            let next = queue.next.pop_front().or_else(|| queue.always.clone());
            next.unwrap_or(EngineFault::None)
        })
    }

    fn with<T>(&self, act: impl FnOnce(&mut FaultQueue) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
