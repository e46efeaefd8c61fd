//! The last publication of usage counts by a process that stops.

use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longest wait for the publication. It ends before the process is killed.
const PUBLICATION_TIMEOUT: Duration = Duration::from_millis(200);

/// Lets the task that stops the process wait for the task that publishes the counts.
#[derive(Debug, Default)]
pub(crate) struct FinalPublication {
    request: Notify,
    completion: Notify,
}

impl FinalPublication {
    /// Requests a publication and waits until it has been attempted, or for
    /// `PUBLICATION_TIMEOUT`. Returns whether it has been attempted.
    pub(crate) async fn run(&self) -> bool {
        self.request.notify_one();
        timeout(PUBLICATION_TIMEOUT, self.completion.notified())
            .await
            .is_ok()
    }

    /// Waits until a publication is requested.
    pub(crate) async fn requested(&self) {
        self.request.notified().await;
    }

    /// Ends the wait of `run`.
    pub(crate) fn complete(&self) {
        self.completion.notify_one();
    }
}
