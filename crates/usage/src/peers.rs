//! Closing windows for neighbours that no longer do it themselves.
//!
//! A neighbour may be dead, paused or cut off from the platform; it makes no
//! difference which, for the object that is created first settles the matter.

use crate::chain::WindowChain;
use crate::closer::WindowCloser;
use crate::counters::{UsageCounter, UsageCounters};
use crate::window::{UsageWindow, current_window};
use lagoonlift_hosts::{HeldCopies, PeerNode};
use lagoonlift_types::{ProcessId, WindowId};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Windows after which a window of a neighbour that seems well is closed too.
const OVERDUE_WINDOWS: u64 = 2;

/// Closes windows of neighbours whose records this process holds.
#[derive(Clone)]
pub(crate) struct PeerWindowCloser {
    pub(crate) node: PeerNode,
    pub(crate) closer: WindowCloser,
    pub(crate) process: ProcessId,
    pub(crate) window: Duration,
    pub(crate) counters: Arc<UsageCounters>,
}

impl PeerWindowCloser {
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
            match held.range.is_empty() {
                true if !present => self.node.remove_copies(&held.process, held.incarnation),
                true => {}
                false if present && !is_overdue(&held, current) => {}
                false => self.close(held, current).await,
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

    /// Walks the neighbour's chain until what is held is covered.
    async fn close(&self, held: HeldCopies, current: WindowId) {
        let mut chain =
            WindowChain::new(held.process, held.incarnation, held.position).with_range(held.range);
        while let Some(attempt) = chain.next_attempt(current, &self.process) {
            let Ok(window) = self.closer.close(attempt).await else {
                self.counters.increment(UsageCounter::AttemptsFailed);
                return;
            };
            if let Err(error) = chain.apply(&window) {
                tracing::error!(%error, process = %window.process, "a usage window doesn't fit its chain");
                self.counters.increment(UsageCounter::ChainsBroken);
                return;
            }
            self.note_closed(&window);
        }
    }

    fn note_closed(&self, window: &UsageWindow) {
        if window.closed_by == self.process {
            self.counters.increment(UsageCounter::PeerWindowsClosed);
        }
        let closed = window.to_closed_window();
        self.node
            .close_copied_window(&window.process, window.incarnation, &closed);
    }
}

fn is_overdue(held: &HeldCopies, current: WindowId) -> bool {
    held.position.next_window.0.saturating_add(OVERDUE_WINDOWS) < current.0
}
