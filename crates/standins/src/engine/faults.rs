//! Faults that a test can inject into an engine.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A fault that affects one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineFault {
    /// Serve the request normally. A test queues it before other faults to let some
    /// requests succeed first.
    None,
    /// Refuse the request with status 429 and execute nothing.
    Busy,
    /// Refuse the request in the same way after this time.
    BusyAfter(Duration),
    /// Close the connection before the response headers. The request was read but
    /// no token was generated.
    CrashBeforeHeaders,
    /// Close the connection after this many tokens.
    CrashAfterTokens(u64),
    /// Close the connection after the last token, before the end marker.
    CrashBeforeEnd,
    /// Generate all tokens, then close the connection: a response that isn't
    /// streamed is never sent, and a stream lacks its end marker.
    LoseAnswer,
    /// Stop sending after this many tokens but keep the connection open.
    SilentAfterTokens(u64),
    /// Keep the connection open and send no response headers.
    SilentBeforeHeaders,
    /// Send nothing for some time, then go on.
    Pause {
        /// Number of tokens sent before the pause.
        after_tokens: u64,
        /// Length of the pause.
        duration: Duration,
    },
    /// Respond with status 500 after reading the request.
    ServerError,
    /// Wait this long before the first token.
    Delay(Duration),
    /// Send tokens of the completion of another prompt.
    ForeignTokens,
}

/// The queue of faults to inject. Each request takes the first one, or the default
/// fault when the queue is empty. Clones share the queue.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults(Arc<Mutex<FaultQueue>>);

#[derive(Debug, Default)]
struct FaultQueue {
    queued: VecDeque<EngineFault>,
    default_fault: Option<EngineFault>,
}

impl EngineFaults {
    /// Queues a fault for one later request.
    pub fn push(&self, fault: EngineFault) {
        self.with(|queue| queue.queued.push_back(fault));
    }

    /// Sets the fault for every request that finds the queue empty; `None` removes
    /// it.
    pub fn set_default(&self, fault: Option<EngineFault>) {
        self.with(|queue| queue.default_fault = fault);
    }

    pub(crate) fn take(&self) -> EngineFault {
        self.with(|queue| {
            let next = queue
                .queued
                .pop_front()
                .or_else(|| queue.default_fault.clone());
            next.unwrap_or(EngineFault::None)
        })
    }

    fn with<T>(&self, operation: impl FnOnce(&mut FaultQueue) -> T) -> T {
        operation(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
