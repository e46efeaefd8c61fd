//! The signals that ask a daemon to stop.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
#[derive(Debug)]
pub struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignal {
    /// Starts listening, so that a signal that comes before [`Self::wait`] is
    /// not lost.
    ///
    /// # Errors
    ///
    /// Fails when the handlers can't be set.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
