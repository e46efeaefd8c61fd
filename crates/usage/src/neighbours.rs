//! Closing windows for neighbours that no longer do it themselves.
//!
//! A neighbour may be dead, paused or cut off from the platform; it makes no
//! difference which, for the object that is created first settles the matter.

use crate::chain::WindowChain;
use crate::closer::WindowCloser;
use crate::counters::{UsageCounter, UsageCounters};
use crate::window::current_window;
use lagoonlift_hosts::{HeldCopies, PeerNode};
use lagoonlift_platform::PlatformError;
use lagoonlift_types::{ProcessId, WindowId};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Windows after which a window of a neighbour that seems well is closed too.
const OVERDUE_WINDOWS: u64 = 2;

/// Closes windows of neighbours whose records this process holds.
#[derive(Clone)]
pub(crate) struct NeighbourCloser {
    pub(crate) node: PeerNode,
    pub(crate) closer: WindowCloser,
    pub(crate) process: ProcessId,
    pub(crate) window: Duration,
    pub(crate) counters: Arc<UsageCounters>,
}

impl NeighbourCloser {
    /// Closes windows as they become due, for ever.
    pub(crate) async fn run(self, interval: Duration) {
        let mut interval = tokio::time::interval(interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.close_due().await;
        }
    }

    /// Closes the windows that are due now.
    pub(crate) async fn close_due(&self) {
        let current = current_window(self.window);
        for held in self.node.held_copies() {
            let present = self.is_present(&held);
            match held.records {
                0 if !present => self.node.forget_copies(&held.process, held.incarnation),
                0 => {}
                _ if present && !is_overdue(&held, current) => {}
                _ => self.close(&held, current).await,
            }
        }
    }

    /// Returns whether this incarnation of the neighbour takes part.
    fn is_present(&self, held: &HeldCopies) -> bool {
        let members = self.node.members();
        let members = members.borrow();
        members
            .iter()
            .any(|member| member.process == held.process && member.incarnation == held.incarnation)
    }

    async fn close(&self, held: &HeldCopies, current: WindowId) {
        let (process, incarnation) = (&held.process, held.incarnation);
        let records = self.node.held_records(process, incarnation);
        let mut chain =
            WindowChain::new(process.clone(), incarnation, held.position).with_records(records);
        if self.walk(&mut chain, current).await.is_err() {
            self.counters.increment(UsageCounter::AttemptsFailed);
        }
        self.node
            .advance_copies(process, incarnation, chain.position());
    }

    /// Walks the chain until the records that are held are covered.
    async fn walk(&self, chain: &mut WindowChain, current: WindowId) -> Result<(), PlatformError> {
        while let Some(attempt) = chain.attempt(current, &self.process) {
            let window = self.closer.close(attempt).await?;
            if let Err(error) = chain.settle(&window) {
                tracing::error!(%error, process = %window.process, "a usage window doesn't fit its chain");
                self.counters.increment(UsageCounter::ChainsBroken);
                break;
            }
            if window.closed_by == self.process {
                self.counters
                    .increment(UsageCounter::NeighbourWindowsClosed);
            }
        }
        Ok(())
    }
}

fn is_overdue(held: &HeldCopies, current: WindowId) -> bool {
    held.position.next_window.0.saturating_add(OVERDUE_WINDOWS) < current.0
}
