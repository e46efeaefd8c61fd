//! The phases of a planned stop.

use tokio::sync::watch;

/// How far a planned stop has come. The phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop is planned.
    Running,
    /// The load balancer is told to send no new callers. Callers are told to open
    /// another connection after their response.
    Leaving,
    /// The listener is closed.
    Closing,
}

/// Waits until the stop has reached `phase`.
pub(crate) async fn reached(phases: &mut watch::Receiver<StopPhase>, phase: StopPhase) {
    // An error means that the process's handle was dropped without a stop.
    if phases.wait_for(|current| *current >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}
