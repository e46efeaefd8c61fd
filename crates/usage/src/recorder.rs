//! The actor that owns the usage of this process.

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

/// Time between two looks for windows that ended; shorter with short windows.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Looks within the length of one window, at least.
const CHECKS_PER_WINDOW: u32 = 4;

/// Why records were left for the neighbours to close.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FlushError {
    /// The platform couldn't be asked.
    #[error("the platform couldn't be asked")]
    Platform(#[from] PlatformError),
    /// The keeper has stopped.
    #[error("the keeper has stopped")]
    Stopped,
}

/// Records what requests use and closes the windows they are billed in.
///
/// Clones share the keeper; it ends with the last of them.
#[derive(Clone)]
pub struct UsageRecorder {
    shared: Arc<Shared>,
}

struct Shared {
    actor: Address<UsageActor>,
    closer: WindowCloser,
    neighbours: PeerWindowCloser,
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
    /// Starts a keeper; `window` is the length of a usage window.
    pub fn start(
        node: PeerNode,
        platform: PlatformClient,
        process: ProcessId,
        incarnation: Incarnation,
        data_centre: DataCentreName,
        window: Duration,
    ) -> Self {
        let counters = Arc::new(UsageCounters::default());
        let position = UsagePosition::default();
        let actor = UsageActor {
            chain: WindowChain::new(process.clone(), incarnation, position),
            node: node.clone(),
            process: process.clone(),
            incarnation,
            window,
            counters: Arc::clone(&counters),
        };
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let closer = WindowCloser {
            platform,
            data_centre,
        };
        let neighbours = PeerWindowCloser {
            node,
            closer: closer.clone(),
            process,
            window,
            counters: Arc::clone(&counters),
        };
        let interval = CHECK_INTERVAL.min(window / CHECKS_PER_WINDOW);
        let tasks = vec![
            tokio::spawn(close_own(actor.clone(), closer.clone(), interval)).abort_handle(),
            tokio::spawn(neighbours.clone().run(interval)).abort_handle(),
        ];
        let shared = Shared {
            actor,
            closer,
            neighbours,
            counters,
            tasks,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Records what a request used, and returns when another host of the data
    /// centre holds a copy.
    ///
    /// # Errors
    ///
    /// Fails when no copy was confirmed in time. The record is kept all the
    /// same; it is lost only if this process dies before its window is closed
    /// and before a neighbour takes a copy.
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
            // The actor lives as long as this keeper holds its address.
            Err(_) => Err(CopyError::NoPeer),
        };
        if result.is_err() {
            self.shared
                .counters
                .increment(UsageCounter::RecordsUncopied);
        }
        result
    }

    /// Closes the running window early, for a process that ends.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be asked; the neighbours that hold copies
    /// will close the window then.
    pub async fn flush(&self) -> Result<(), FlushError> {
        self.shared.neighbours.close_due().await;
        close_until(&self.shared.actor, &self.shared.closer, Due::All).await
    }

    /// Returns the counts of what was recorded, copied and closed.
    pub fn counters(&self) -> Arc<UsageCounters> {
        Arc::clone(&self.shared.counters)
    }
}

/// Owns the chain of this process.
#[derive(xtra::Actor)]
struct UsageActor {
    chain: WindowChain,
    node: PeerNode,
    process: ProcessId,
    incarnation: Incarnation,
    window: Duration,
    counters: Arc<UsageCounters>,
}

/// A request used something.
struct Record {
    request: RequestId,
    workspace: WorkspaceName,
    class: ClassName,
    figures: UsageFigures,
}

/// Asks for the next window to close.
struct NextAttempt(Due);

/// Which windows are to be closed.
#[derive(Clone, Copy)]
enum Due {
    /// Those that ended.
    Ended,
    /// The running one too.
    All,
}

/// The platform holds this window.
struct Settled(UsageWindow);

/// An attempt failed and will be repeated.
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
        self.chain.add(&record, current_window(self.window));
        // A neighbour must know where the chain goes on before it holds the
        // first record, or it might close a window that was left out.
        self.node
            .skip_usage_windows(self.chain.position().next_window);
        self.node.enqueue_usage(record)
    }
}

impl Handler<NextAttempt> for UsageActor {
    type Return = Option<UsageWindow>;

    async fn handle(&mut self, next: NextAttempt, _: &mut Context<Self>) -> Option<UsageWindow> {
        let current = match next.0 {
            Due::Ended => current_window(self.window),
            Due::All => WindowId(u64::MAX),
        };
        self.chain.next_attempt(current, &self.process)
    }
}

impl Handler<Settled> for UsageActor {
    type Return = ();

    async fn handle(&mut self, settled: Settled, _: &mut Context<Self>) {
        let window = settled.0;
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
            tracing::info!(window = %window.window, by = %window.closed_by, "a neighbour closed a usage window");
            self.counters.increment(UsageCounter::WindowsClosedByOthers);
        }
        if current_window(self.window).0 > window.window.0 + 1 {
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

/// Closes the windows of this process as they end, for ever.
async fn close_own(actor: Address<UsageActor>, closer: WindowCloser, interval: Duration) {
    let mut interval = tokio::time::interval(interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match close_until(&actor, &closer, Due::Ended).await {
            Ok(()) => {}
            Err(FlushError::Platform(_)) => {
                // The actor is gone when the keeper is.
                let _ = actor.send(AttemptFailed).await;
            }
            Err(FlushError::Stopped) => return,
        }
    }
}

/// Closes windows until none is due.
async fn close_until(
    actor: &Address<UsageActor>,
    closer: &WindowCloser,
    due: Due,
) -> Result<(), FlushError> {
    let stopped = |_| FlushError::Stopped;
    while let Some(attempt) = actor.send(NextAttempt(due)).await.map_err(stopped)? {
        let window = closer.close(attempt).await?;
        actor.send(Settled(window)).await.map_err(stopped)?;
    }
    Ok(())
}
