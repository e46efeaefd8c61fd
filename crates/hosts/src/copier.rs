//! Copies of this process's usage records at a neighbour.
//!
//! The last byte of an answer waits for the second copy, so records go out at
//! once, many in a batch when many are waiting, over one stream to one
//! neighbour. When the neighbour changes, it gets every record that no closed
//! window covers yet: the last neighbour always holds all of them.

use crate::context::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, PeerContext};
use crate::copies::UsagePosition;
use crate::counters::PeerCounter;
use crate::membership::Member;
use crate::stream::{PeerStream, StreamError};
use crate::wire::{CopyBatch, Request, Response};
use lagoonlift_types::{ProcessId, Sequence, UsageRecord};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, timeout};

/// Most records in one batch.
const MAX_BATCH: usize = 512;
/// Time for which a neighbour that failed is tried last.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);
/// Time between two attempts while no neighbour takes copies.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a caller is told that its record has no copy yet.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a record has no second copy. It is kept and copied later if possible.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CopyError {
    /// No other host of the data centre takes copies.
    #[error("no other host of the data centre takes copies")]
    NoNeighbour,
    /// No neighbour confirmed a copy in time.
    #[error("no neighbour confirmed a copy in time")]
    Timeout,
}

/// Copies usage records to a neighbour.
#[derive(Debug)]
pub(crate) struct UsageCopier {
    context: Arc<PeerContext>,
    queue: Mutex<CopyQueue>,
    wake: Notify,
}

/// Records that no closed window is known to cover, and who waits for a copy.
#[derive(Debug, Default)]
struct CopyQueue {
    position: UsagePosition,
    records: BTreeMap<Sequence, UsageRecord>,
    /// The first record that the present neighbour wasn't sent.
    unsent: Sequence,
    waiting: BTreeMap<Sequence, oneshot::Sender<Result<(), CopyError>>>,
}

/// A copy that was asked for.
#[derive(Debug)]
pub struct PendingCopy(oneshot::Receiver<Result<(), CopyError>>);

impl PendingCopy {
    /// Waits for the copy.
    ///
    /// # Errors
    ///
    /// Fails when no neighbour confirmed a copy in time.
    pub async fn wait(self) -> Result<(), CopyError> {
        match timeout(COPY_TIMEOUT, self.0).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CopyError::NoNeighbour),
            Err(_) => Err(CopyError::Timeout),
        }
    }
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
        let (sender, receiver) = oneshot::channel();
        let mut queue = self.lock();
        queue.waiting.insert(record.sequence, sender);
        queue.records.insert(record.sequence, record);
        drop(queue);
        self.wake.notify_one();
        PendingCopy(receiver)
    }

    /// Notes up to where windows are closed.
    pub(crate) fn advance(&self, position: UsagePosition) {
        let mut queue = self.lock();
        queue.position = queue.position.max(position);
        queue.records = queue.records.split_off(&position.covered_to);
    }

    fn lock(&self) -> MutexGuard<'_, CopyQueue> {
        // Nothing that may panic runs between two writes to the queue.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies records for ever.
    pub(crate) async fn run(self: Arc<Self>, mut members: watch::Receiver<Arc<Vec<Member>>>) {
        let mut failures = BTreeMap::new();
        loop {
            if self.lock().records.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let Some(neighbour) = self.choose(&members.borrow_and_update(), &failures) else {
                self.lock().fail(CopyError::NoNeighbour);
                self.wait_for_change(&mut members).await;
                continue;
            };
            if self.copy_to(&neighbour, &mut members).await.is_err() {
                self.context
                    .counters
                    .increment(PeerCounter::UsageBatchesFailed);
                failures.insert(neighbour.process, Instant::now());
            }
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
            (failed, *blake3::hash(pair.as_bytes()).as_bytes())
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
        self.lock().restart();
        loop {
            while let Some(batch) = self.next_batch() {
                self.copy_batch(&mut stream, batch).await?;
            }
            tokio::select! {
                () = self.wake.notified() => {}
                _ = members.changed() => {
                    if !members.borrow_and_update().contains(neighbour) {
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
        let end = Sequence(batch.first.0 + batch.records.len() as u64);
        let request = Request::CopyUsage(batch);
        let exchange = async {
            stream.send(&request).await?;
            stream.receive().await
        };
        match timeout(ANSWER_TIMEOUT / 4, exchange).await?? {
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
        let mut queue = self.lock();
        let records = queue.take_batch();
        let first = records.first()?.sequence;
        Some(CopyBatch {
            process: self.context.process.clone(),
            incarnation: self.context.incarnation,
            position: queue.position,
            first,
            records,
        })
    }
}

/// Why copying to one neighbour ended.
#[derive(Debug, Error)]
enum CopyFailure {
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("the neighbour didn't answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl CopyQueue {
    /// Has everything sent again, to another neighbour.
    fn restart(&mut self) {
        self.unsent = self.position.covered_to;
    }

    fn take_batch(&mut self) -> Vec<UsageRecord> {
        let start = self.unsent.max(self.position.covered_to);
        let numbers = (start.0..).map(Sequence);
        let records: Vec<UsageRecord> = self
            .records
            .range(start..)
            .zip(numbers)
            .take_while(|((sequence, _), number)| *sequence == number)
            .take(MAX_BATCH)
            .map(|((_, record), _)| record.clone())
            .collect();
        self.unsent = Sequence(start.0 + records.len() as u64);
        records
    }

    /// Notes that the neighbour holds every record before `end`.
    fn confirm(&mut self, end: Sequence) {
        let unconfirmed = self.waiting.split_off(&end);
        for (_, waiter) in std::mem::replace(&mut self.waiting, unconfirmed) {
            // A caller that no longer waits needs no answer.
            let _ = waiter.send(Ok(()));
        }
    }

    fn fail(&mut self, error: CopyError) {
        for (_, waiter) in std::mem::take(&mut self.waiting) {
            // A caller that no longer waits needs no answer.
            let _ = waiter.send(Err(error));
        }
    }
}
