//! Copies of this process's usage records at a neighbour.
//!
//! The last byte of an answer waits for the second copy, so records go out at
//! once, summed up when many are waiting, over one stream to one neighbour. When
//! the neighbour changes, it gets the sum of every record that no closed window
//! covers yet: the last neighbour always holds all of them.

use crate::context::{CONNECT_TIMEOUT, PeerContext};
use crate::copy_queue::{CopyError, CopyQueue, PendingCopy};
use crate::counters::PeerCounter;
use crate::membership::{Member, MemberState};
use crate::stream::{PeerStream, StreamError};
use crate::usage_range::ClosedWindow;
use crate::wire::{CopyBatch, Request, Response};
use lagoonlift_types::{ProcessId, UsageRecord, WindowId};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

/// Time within which a neighbour must confirm a batch. Short, because the last
/// byte of an answer waits; a neighbour that is given up too early costs only
/// that everything is sent to another.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a neighbour that failed is tried last.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);
/// Time between two attempts while no neighbour takes copies.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Copies usage records to a neighbour.
#[derive(Debug)]
pub(crate) struct UsageCopier {
    context: Arc<PeerContext>,
    queue: Mutex<CopyQueue>,
    wake: Notify,
}

impl UsageCopier {
    pub(crate) fn new(context: Arc<PeerContext>) -> Self {
        Self {
            context,
            queue: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Queues a record for copying; sequences must be queued without gaps.
    pub(crate) fn enqueue(&self, record: UsageRecord) -> PendingCopy {
        let pending = self.lock().add(&record);
        self.wake.notify_one();
        pending
    }

    /// Notes that windows are left out, while no record is uncovered.
    pub(crate) fn skip_to(&self, window: WindowId) {
        self.lock().skip_to(window);
    }

    /// Notes that a window was closed.
    pub(crate) fn close_window(&self, closed: &ClosedWindow) -> bool {
        self.lock().close_window(closed)
    }

    fn lock(&self) -> MutexGuard<'_, CopyQueue> {
        // Nothing that may panic runs between two writes to the queue.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies records for ever.
    pub(crate) async fn run(self: Arc<Self>, mut members: watch::Receiver<Arc<Vec<Member>>>) {
        let mut failures = BTreeMap::new();
        loop {
            if self.lock().is_empty() {
                self.wake.notified().await;
                continue;
            }
            let Some(neighbour) = self.choose(&members.borrow_and_update(), &failures) else {
                self.lock().fail(CopyError::NoPeer);
                self.wait_for_change(&mut members).await;
                continue;
            };
            if self.copy_to(&neighbour, &mut members).await.is_err() {
                self.context
                    .counters
                    .increment(PeerCounter::UsageBatchesFailed);
                self.note_failure(&mut failures, neighbour.process).await;
            }
        }
    }

    /// Remembers a failure; pauses when there was nobody better to ask.
    async fn note_failure(
        &self,
        failures: &mut BTreeMap<ProcessId, Instant>,
        neighbour: ProcessId,
    ) {
        failures.retain(|_, at| at.elapsed() < AVOID_AFTER_FAILURE);
        if failures.insert(neighbour, Instant::now()).is_some() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until there may be a neighbour, or a new record has to be told
    /// that there is none.
    async fn wait_for_change(&self, members: &mut watch::Receiver<Arc<Vec<Member>>>) {
        tokio::select! {
            _ = members.changed() => {}
            () = self.wake.notified() => {}
            () = tokio::time::sleep(RETRY_PAUSE) => {}
        }
    }

    /// Chooses a neighbour; each process prefers others, so that copies spread.
    fn choose(
        &self,
        members: &[Member],
        failures: &BTreeMap<ProcessId, Instant>,
    ) -> Option<Member> {
        let context = &self.context;
        let rank = |member: &&Member| {
            let failed = failures
                .get(&member.process)
                .is_some_and(|at| at.elapsed() < AVOID_AFTER_FAILURE);
            let pair = format!("{} {}", context.process, member.process);
            let doubted = member.state != MemberState::Alive;
            (failed, doubted, *blake3::hash(pair.as_bytes()).as_bytes())
        };
        let eligible =
            |member: &&Member| member.takes_copies_of(&context.process, &context.data_centre);
        members.iter().filter(eligible).min_by_key(rank).cloned()
    }

    /// Copies to one neighbour until it fails or should take no more copies.
    async fn copy_to(
        &self,
        neighbour: &Member,
        members: &mut watch::Receiver<Arc<Vec<Member>>>,
    ) -> Result<(), CopyFailure> {
        let counters = Arc::clone(&self.context.counters);
        let connecting = PeerStream::connect(neighbour.address, &self.context.keys, counters);
        let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
        self.lock().resend_all();
        loop {
            while let Some(batch) = self.next_batch() {
                self.copy_batch(&mut stream, batch).await?;
            }
            tokio::select! {
                () = self.wake.notified() => {}
                _ = members.changed() => {
                    if !stays(neighbour, &members.borrow_and_update()) {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn copy_batch(
        &self,
        stream: &mut PeerStream,
        batch: CopyBatch,
    ) -> Result<(), CopyFailure> {
        let end = batch.range.to;
        let request = Request::CopyUsage(batch);
        let exchange = async {
            stream.send(&request).await?;
            stream.receive().await
        };
        match timeout(CONFIRM_TIMEOUT, exchange).await?? {
            Response::Copied => {
                self.context
                    .counters
                    .increment(PeerCounter::UsageBatchesCopied);
                self.lock().confirm(end);
                Ok(())
            }
            _ => Err(StreamError::Unexpected.into()),
        }
    }

    fn next_batch(&self) -> Option<CopyBatch> {
        let context = &self.context;
        self.lock()
            .take_batch(&context.process, context.incarnation)
    }
}

/// Returns whether the neighbour still takes part and isn't about to end. A
/// suspicion alone is no reason to send everything to another one.
fn stays(neighbour: &Member, members: &[Member]) -> bool {
    members.iter().any(|member| {
        member.process == neighbour.process
            && member.incarnation == neighbour.incarnation
            && member.state != MemberState::Draining
    })
}

/// Why copying to one neighbour ended.
#[derive(Debug, Error)]
enum CopyFailure {
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("the neighbour didn't answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}
