//! Signals that request a daemon's graceful shutdown.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receiver of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignal {
    /// Registers the signal handlers.
    ///
    /// A signal that arrives before the call of [`Self::wait`] is not lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers cannot be registered.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
