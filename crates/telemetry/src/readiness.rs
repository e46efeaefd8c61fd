//! Readiness of a process, as reported to the load balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flag that is set while a process accepts new work and cleared before it stops.
///
/// Clones share the same flag.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Creates a flag that reports not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the process is ready.
    pub fn set_ready(&self, is_ready: bool) {
        self.0.store(is_ready, Ordering::Release);
    }

    /// Returns whether the process accepts new work.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
