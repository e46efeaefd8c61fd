//! Handle with which other tasks check whether this process holds the lease.

use crate::clock::BootTime;
use lagoonlift_types::Epoch;
use tokio::sync::watch;

/// The right to act for the data centre until a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Epoch of the lease, which orders carry as their fencing token.
    pub epoch: Epoch,
    /// Time at which the grant expires, by this host's clock.
    pub deadline: BootTime,
}

/// Checks whether this process holds the lease. Cheap to clone.
///
/// Every send under the lease has to be preceded by its own check, because the
/// process may have been paused since an earlier one.
#[derive(Clone, Debug)]
pub struct Authority {
    grants: watch::Receiver<Option<Grant>>,
}

impl Authority {
    pub(crate) fn new(grants: watch::Receiver<Option<Grant>>) -> Self {
        Self { grants }
    }

    /// Returns the epoch of the current grant, or `None` if this process doesn't
    /// hold the lease.
    pub fn epoch(&self) -> Option<Epoch> {
        let grant = *self.grants.borrow();
        let grant = grant.filter(|grant| BootTime::now() < grant.deadline);
        grant.map(|grant| grant.epoch)
    }

    /// Returns whether this process holds the lease with `epoch`.
    pub fn holds(&self, epoch: Epoch) -> bool {
        self.epoch() == Some(epoch)
    }

    /// Waits until this process holds the lease and returns the epoch. Never
    /// returns once the lease actor has stopped.
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

    /// Waits until the grant with `epoch` has ended.
    pub(crate) async fn wait_for_end(&mut self, epoch: Epoch) {
        let is_over = |grant: &Option<Grant>| grant.is_none_or(|grant| grant.epoch != epoch);
        // If the lease actor has stopped, every grant has ended.
        let _ = self.grants.wait_for(is_over).await;
    }
}
