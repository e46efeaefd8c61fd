//! The right to act, as the parts that act see it.

use crate::clock::BootTime;
use lagoonlift_types::Epoch;
use tokio::sync::watch;

/// A right to act, and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Epoch of the lease; the fencing number of orders.
    pub epoch: Epoch,
    /// From then on the right has ended.
    pub deadline: BootTime,
}

/// Says whether this process may act. Cheap to clone.
///
/// Whoever sends something under the lease asks right before each send: the
/// process may have been paused since the last answer.
#[derive(Clone, Debug)]
pub struct Authority {
    grants: watch::Receiver<Option<Grant>>,
}

impl Authority {
    pub(crate) fn new(grants: watch::Receiver<Option<Grant>>) -> Self {
        Self { grants }
    }

    /// Returns the epoch if this process may act now.
    pub fn epoch(&self) -> Option<Epoch> {
        let grant = *self.grants.borrow();
        let grant = grant.filter(|grant| BootTime::now() < grant.deadline);
        grant.map(|grant| grant.epoch)
    }

    /// Returns whether this process may act now, under `epoch`.
    pub fn holds(&self, epoch: Epoch) -> bool {
        self.epoch() == Some(epoch)
    }

    /// Waits until this process may act; for ever once it is stopping.
    pub(crate) async fn wait_for_grant(&mut self) -> Epoch {
        loop {
            if let Some(epoch) = self.epoch() {
                return epoch;
            }
            if self.grants.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until the right under `epoch` has ended.
    pub(crate) async fn wait_for_end(&mut self, epoch: Epoch) {
        let is_over = |grant: &Option<Grant>| grant.is_none_or(|grant| grant.epoch != epoch);
        // A sender that is gone ends every right.
        let _ = self.grants.wait_for(is_over).await;
    }
}
