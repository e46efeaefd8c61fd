//! Copying of this process's usage records to a peer.
//!
//! The last byte of a caller's response is held back until a peer confirms its
//! copy of the usage record, or the wait for the confirmation fails. Records are
//! therefore sent immediately over one stream to one peer, and summed when
//! several are waiting. When the peer changes, the new peer receives the sum of
//! all records that no closed window covers yet, so the current peer always
//! holds all of them.

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

/// Timeout for a peer to confirm a batch. It is short because the last byte of a
/// caller's response is held back until a peer confirms the copy. Abandoning a peer too early costs
/// only that all uncovered records are sent to another peer.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a peer that failed is chosen only if there is no other.
const FAILED_PEER_BACKOFF: Duration = Duration::from_secs(5);
/// Delay between two attempts while no peer accepts copies.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Copies usage records to a peer.
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

    /// Queues a record for copying. Sequence numbers must be queued without
    /// gaps.
    pub(crate) fn enqueue(&self, record: UsageRecord) -> PendingCopy {
        let pending = self.lock().add(&record);
        self.wake.notify_one();
        pending
    }

    /// Skips the windows before `window`, if closed windows cover every record.
    pub(crate) fn skip_to(&self, window: WindowId) {
        self.lock().skip_to(window);
    }

    /// Records that a window was closed. Returns whether it matches the queued
    /// records.
    pub(crate) fn close_window(&self, closed: &ClosedWindow) -> bool {
        self.lock().close_window(closed)
    }

    fn lock(&self) -> MutexGuard<'_, CopyQueue> {
        // A poisoned lock is safe to use, because no code between two writes to
        // the queue can panic.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies records until the task is aborted.
    pub(crate) async fn run(self: Arc<Self>, mut members: watch::Receiver<Arc<Vec<Member>>>) {
        let mut failures = BTreeMap::new();
        loop {
            if self.lock().is_empty() {
                self.wake.notified().await;
                continue;
            }
            let Some(peer) = self.choose_peer(&members.borrow_and_update(), &failures) else {
                self.lock().fail(CopyError::NoPeer);
                self.wait_for_change(&mut members).await;
                continue;
            };
            if self.copy_to(&peer, &mut members).await.is_err() {
                self.context
                    .counters
                    .increment(PeerCounter::UsageBatchesFailed);
                self.record_failure(&mut failures, peer.process).await;
            }
        }
    }

    /// Records a failure, and delays the next attempt if the chosen peer had
    /// failed recently, because then there was no better one.
    async fn record_failure(&self, failures: &mut BTreeMap<ProcessId, Instant>, peer: ProcessId) {
        failures.retain(|_, at| at.elapsed() < FAILED_PEER_BACKOFF);
        if failures.insert(peer, Instant::now()).is_some() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until a peer may be available, or until a new record must be
    /// reported as having no copy.
    async fn wait_for_change(&self, members: &mut watch::Receiver<Arc<Vec<Member>>>) {
        tokio::select! {
            _ = members.changed() => {}
            () = self.wake.notified() => {}
            () = tokio::time::sleep(RETRY_DELAY) => {}
        }
    }

    /// Chooses the peer that copies are sent to. Each process ranks the peers
    /// in a different order, so that copies are spread.
    fn choose_peer(
        &self,
        members: &[Member],
        failures: &BTreeMap<ProcessId, Instant>,
    ) -> Option<Member> {
        let context = &self.context;
        let rank = |member: &&Member| {
            let has_failed = failures
                .get(&member.process)
                .is_some_and(|at| at.elapsed() < FAILED_PEER_BACKOFF);
            let pair = format!("{} {}", context.process, member.process);
            let is_not_alive = member.state != MemberState::Alive;
            (
                has_failed,
                is_not_alive,
                *blake3::hash(pair.as_bytes()).as_bytes(),
            )
        };
        let is_eligible =
            |member: &&Member| member.can_hold_copies_of(&context.process, &context.data_centre);
        members.iter().filter(is_eligible).min_by_key(rank).cloned()
    }

    /// Sends copies to one peer until it fails or must not receive more copies.
    async fn copy_to(
        &self,
        peer: &Member,
        members: &mut watch::Receiver<Arc<Vec<Member>>>,
    ) -> Result<(), CopyFailure> {
        let counters = Arc::clone(&self.context.counters);
        let connecting = PeerStream::connect(peer.address, &self.context.keys, counters);
        let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
        self.lock().resend_all();
        loop {
            while let Some(batch) = self.next_batch() {
                self.copy_batch(&mut stream, batch).await?;
            }
            tokio::select! {
                () = self.wake.notified() => {}
                _ = members.changed() => {
                    if !is_still_eligible(peer, &members.borrow_and_update()) {
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
        match timeout(CONFIRMATION_TIMEOUT, exchange).await?? {
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

/// Returns whether the peer is still a member and isn't draining. A suspicion
/// alone doesn't justify sending all records to another peer.
fn is_still_eligible(peer: &Member, members: &[Member]) -> bool {
    members.iter().any(|member| {
        member.process == peer.process
            && member.incarnation == peer.incarnation
            && member.state != MemberState::Draining
    })
}

/// Why copying to a peer ended.
#[derive(Debug, Error)]
enum CopyFailure {
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("the peer didn't respond in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}
