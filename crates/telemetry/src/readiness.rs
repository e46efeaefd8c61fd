//! Whether the balancer may send new callers here.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A flag that goes up when a process can serve and down before it stops.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Creates a flag that is down.
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises or lowers the flag.
    pub fn set_ready(&self, is_ready: bool) {
        self.0.store(is_ready, Ordering::Release);
    }

    /// Returns whether the flag is up.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
