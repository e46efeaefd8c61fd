//! Cancellation of running requests by their identifiers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The running requests, which can be cancelled. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct CancelRegistry(Arc<Mutex<HashMap<String, watch::Sender<bool>>>>);

/// Tells one running request that it has been cancelled.
#[derive(Debug)]
pub(crate) struct CancelSignal {
    registry: CancelRegistry,
    request: String,
    receiver: watch::Receiver<bool>,
}

impl CancelRegistry {
    /// Registers a request that is starting to run.
    pub(crate) fn register(&self, request: &str) -> CancelSignal {
        let mut senders = self.lock();
        let sender = senders.entry(request.to_owned()).or_default();
        CancelSignal {
            registry: self.clone(),
            request: request.to_owned(),
            receiver: sender.subscribe(),
        }
    }

    /// Cancels a request and returns whether it was running.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let sender = self.lock().remove(request);
        sender.is_some_and(|sender| sender.send(true).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, watch::Sender<bool>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CancelSignal {
    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&mut self) {
        // An error means that `cancel` has dropped the sender, so the request was
        // cancelled in this case too.
        let _ = self.receiver.wait_for(|cancelled| *cancelled).await;
    }
}

impl Drop for CancelSignal {
    fn drop(&mut self) {
        let mut senders = self.registry.lock();
        let is_last_receiver = |sender: &watch::Sender<bool>| sender.receiver_count() <= 1;
        if senders.get(&self.request).is_some_and(is_last_receiver) {
            senders.remove(&self.request);
        }
    }
}
