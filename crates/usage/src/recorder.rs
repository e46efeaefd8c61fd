//! Records the usage of this process and closes its windows.
//!
//! An actor owns the chain of windows, so that records and closed windows are
//! applied one after the other.

use crate::chain::WindowChain;
use crate::closer::WindowCloser;
use crate::counters::{UsageCounter, UsageCounters};
use crate::peers::PeerWindowCloser;
use crate::window::{UsageWindow, current_window};
use lagoonlift_hosts::{CopyError, PeerNode, PendingCopy, UsagePosition};
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_types::{
    ClassName, DataCentreName, Incarnation, ProcessId, RequestId, UsageFigures, UsageRecord,
    WindowId, WorkspaceName,
};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;
use xtra::prelude::*;

/// Polling interval for windows that have ended; shorter with short windows.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of polls per window length.
const POLLS_PER_WINDOW: u32 = 4;

/// Why a flush left records for peers to close.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FlushError {
    /// The call to the platform failed.
    #[error("the call to the platform failed")]
    Platform(#[from] PlatformError),
    /// The recorder has stopped.
    #[error("the usage recorder has stopped")]
    Stopped,
}

/// Records the usage of requests and closes the windows in which it is billed.
///
/// Clones share one recorder, which stops when the last of them is dropped.
#[derive(Clone)]
pub struct UsageRecorder {
    shared: Arc<Shared>,
}

struct Shared {
    actor: Address<UsageActor>,
    closer: WindowCloser,
    peers: PeerWindowCloser,
    counters: Arc<UsageCounters>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl UsageRecorder {
    /// Starts a recorder; `window_length` is the length of a usage window.
    pub fn start(
        node: PeerNode,
        platform: PlatformClient,
        process: ProcessId,
        incarnation: Incarnation,
        data_centre: DataCentreName,
        window_length: Duration,
    ) -> Self {
        let counters = Arc::new(UsageCounters::default());
        let position = UsagePosition::default();
        let actor = UsageActor {
            chain: WindowChain::new(process.clone(), incarnation, position),
            node: node.clone(),
            process: process.clone(),
            incarnation,
            window_length,
            counters: Arc::clone(&counters),
        };
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let closer = WindowCloser {
            platform,
            data_centre,
        };
        let peers = PeerWindowCloser {
            node,
            closer: closer.clone(),
            process,
            window_length,
            counters: Arc::clone(&counters),
        };
        let interval = POLL_INTERVAL.min(window_length / POLLS_PER_WINDOW);
        let tasks = vec![
            tokio::spawn(close_own(actor.clone(), closer.clone(), interval)).abort_handle(),
            tokio::spawn(peers.clone().run(interval)).abort_handle(),
        ];
        let shared = Shared {
            actor,
            closer,
            peers,
            counters,
            tasks,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Records the usage of a request and waits until another host of the data
    /// centre holds a copy.
    ///
    /// # Errors
    ///
    /// Returns an error if no copy was confirmed in time. The record is kept
    /// nevertheless; it is lost only if this process dies before the record's
    /// window is closed and before a peer holds a copy.
    pub async fn record(
        &self,
        request: RequestId,
        workspace: WorkspaceName,
        class: ClassName,
        figures: UsageFigures,
    ) -> Result<(), CopyError> {
        let record = Record {
            request,
            workspace,
            class,
            figures,
        };
        let result = match self.shared.actor.send(record).await {
            Ok(pending) => pending.wait().await,
            // The actor runs as long as this recorder holds its address.
            Err(_) => Err(CopyError::NoPeer),
        };
        if result.is_err() {
            self.shared
                .counters
                .increment(UsageCounter::RecordsUncopied);
        }
        result
    }

    /// Closes all windows including the current one, before the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached. The peers that hold
    /// copies close the windows in that case.
    pub async fn flush(&self) -> Result<(), FlushError> {
        self.shared.peers.close_due().await;
        close_until(&self.shared.actor, &self.shared.closer, Due::All).await
    }

    /// Returns the counters of records, copies and closed windows.
    pub fn counters(&self) -> Arc<UsageCounters> {
        Arc::clone(&self.shared.counters)
    }
}

/// Owns the chain of windows of this process.
#[derive(xtra::Actor)]
struct UsageActor {
    chain: WindowChain,
    node: PeerNode,
    process: ProcessId,
    incarnation: Incarnation,
    window_length: Duration,
    counters: Arc<UsageCounters>,
}

/// Message: records the usage of a request.
struct Record {
    request: RequestId,
    workspace: WorkspaceName,
    class: ClassName,
    figures: UsageFigures,
}

/// Message: returns the next window to close.
struct NextAttempt(Due);

/// Which windows to close.
#[derive(Clone, Copy)]
enum Due {
    /// Windows that have ended.
    Ended,
    /// All windows, including the current one.
    All,
}

/// Message: the platform holds this window.
struct Closed(UsageWindow);

/// Message: an attempt to close a window failed and will be retried.
struct AttemptFailed;

impl Handler<Record> for UsageActor {
    type Return = PendingCopy;

    async fn handle(&mut self, record: Record, _: &mut Context<Self>) -> PendingCopy {
        let record = UsageRecord {
            process: self.process.clone(),
            incarnation: self.incarnation,
            sequence: self.chain.next_sequence(),
            request: record.request,
            workspace: record.workspace,
            class: record.class,
            figures: record.figures,
        };
        self.counters.increment(UsageCounter::Records);
        self.chain.add(&record, current_window(self.window_length));
        // A peer must know where the chain continues before it holds the first
        // record; otherwise it might close a window that was skipped.
        self.node
            .skip_usage_windows(self.chain.position().next_window);
        self.node.enqueue_usage(record)
    }
}

impl Handler<NextAttempt> for UsageActor {
    type Return = Option<UsageWindow>;

    async fn handle(&mut self, next: NextAttempt, _: &mut Context<Self>) -> Option<UsageWindow> {
        let current = match next.0 {
            Due::Ended => current_window(self.window_length),
            Due::All => WindowId(u64::MAX),
        };
        self.chain.next_attempt(current, &self.process)
    }
}

impl Handler<Closed> for UsageActor {
    type Return = ();

    async fn handle(&mut self, closed: Closed, _: &mut Context<Self>) {
        let window = closed.0;
        if let Err(error) = self.chain.apply(&window) {
            tracing::error!(%error, "a usage window doesn't fit its chain");
            self.counters.increment(UsageCounter::ChainsBroken);
            return;
        }
        if !self.node.close_usage_window(&window.to_closed_window()) {
            self.counters.increment(UsageCounter::ChainsBroken);
        }
        self.counters.increment(UsageCounter::WindowsClosed);
        if window.closed_by != self.process {
            tracing::info!(window = %window.window, by = %window.closed_by, "a peer closed a usage window");
            self.counters.increment(UsageCounter::WindowsClosedByOthers);
        }
        if current_window(self.window_length).0 > window.window.0 + 1 {
            self.counters.increment(UsageCounter::WindowsLate);
        }
    }
}

impl Handler<AttemptFailed> for UsageActor {
    type Return = ();

    async fn handle(&mut self, _: AttemptFailed, _: &mut Context<Self>) {
        self.counters.increment(UsageCounter::AttemptsFailed);
    }
}

/// Closes the windows of this process when they end, until the recorder stops.
async fn close_own(actor: Address<UsageActor>, closer: WindowCloser, interval: Duration) {
    let mut interval = tokio::time::interval(interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match close_until(&actor, &closer, Due::Ended).await {
            Ok(()) => {}
            Err(FlushError::Platform(_)) => {
                // An error means that the recorder has stopped; the next call returns.
                let _ = actor.send(AttemptFailed).await;
            }
            Err(FlushError::Stopped) => return,
        }
    }
}

/// Closes windows in order until none is due.
async fn close_until(
    actor: &Address<UsageActor>,
    closer: &WindowCloser,
    due: Due,
) -> Result<(), FlushError> {
    let stopped = |_| FlushError::Stopped;
    while let Some(attempt) = actor.send(NextAttempt(due)).await.map_err(stopped)? {
        let window = closer.close(attempt).await?;
        actor.send(Closed(window)).await.map_err(stopped)?;
    }
    Ok(())
}
