//! Closes usage windows of peers that no longer close them themselves.
//!
//! A peer may be dead, paused or partitioned from the platform. The cases need
//! not be told apart, because the object that is created first determines a
//! window's content.

use crate::chain::WindowChain;
use crate::closer::WindowCloser;
use crate::counters::{UsageCounter, UsageCounters};
use crate::window::{UsageWindow, current_window};
use lagoonlift_hosts::{HeldCopies, PeerNode};
use lagoonlift_types::{ProcessId, WindowId};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Number of windows after which a window is closed even for a peer that is still
/// a member.
const OVERDUE_WINDOWS: u64 = 2;

/// Closes windows of peers whose records this process holds copies of.
#[derive(Clone)]
pub(crate) struct PeerWindowCloser {
    pub(crate) node: PeerNode,
    pub(crate) closer: WindowCloser,
    pub(crate) process: ProcessId,
    pub(crate) window_length: Duration,
    pub(crate) counters: Arc<UsageCounters>,
}

impl PeerWindowCloser {
    /// Closes windows when they become due; never returns.
    pub(crate) async fn run(self, interval: Duration) {
        let mut interval = tokio::time::interval(interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.close_due().await;
        }
    }

    /// Closes all windows that are due.
    pub(crate) async fn close_due(&self) {
        let current = current_window(self.window_length);
        for held in self.node.held_copies() {
            let is_member = self.is_member(&held);
            match held.range.is_empty() {
                true if !is_member => self.node.remove_copies(&held.process, held.incarnation),
                true => {}
                false if is_member && !is_overdue(&held, current) => {}
                false => self.close(held, current).await,
            }
        }
    }

    /// Returns whether this incarnation of the peer is in the membership.
    fn is_member(&self, held: &HeldCopies) -> bool {
        let members = self.node.members();
        let members = members.borrow();
        members
            .iter()
            .any(|member| member.process == held.process && member.incarnation == held.incarnation)
    }

    /// Closes windows along the peer's chain until they cover all held records.
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
            self.record_closed(&window);
        }
    }

    fn record_closed(&self, window: &UsageWindow) {
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
