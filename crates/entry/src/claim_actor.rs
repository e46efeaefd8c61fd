//! Writes claims to the platform, many with one write.
//!
//! For each object of claims one write is on its way at most; what arrives
//! meanwhile goes with the next. The actor never waits for the platform itself:
//! a task does, and sends the actor what came of it.

use crate::claim::{ClaimChange, ClaimKey, ClaimResult, ClaimShard, ClaimTable};
use lagoonlift_platform::{PlatformClient, PlatformError, Version, Versioned};
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use xtra::{Context, Handler, WeakAddress};

/// Attempts at one batch before its requests are told that the store is away.
const MAX_BATCH_WRITES: u32 = 8;

/// Wait before a batch is tried again after the platform failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Changes one claim.
#[derive(Debug)]
pub(crate) struct ChangeClaim {
    pub(crate) shard: ClaimShard,
    pub(crate) key: ClaimKey,
    pub(crate) change: ClaimChange,
    pub(crate) reply: oneshot::Sender<Result<ClaimResult, ClaimStoreError>>,
}

/// The platform's store can't be asked now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform's store is away")]
pub(crate) struct ClaimStoreError {
    /// Whether the change may be in force, or come into force, nevertheless.
    pub(crate) may_be_applied: bool,
}

/// What came of a write or read.
#[derive(Debug)]
struct BatchFinished {
    shard: ClaimShard,
    batch: Vec<ChangeClaim>,
    writes: u32,
    outcome: BatchOutcome,
}

#[derive(Debug)]
enum BatchOutcome {
    /// The table is what the object holds.
    Written(ClaimTable, Option<Version>),
    /// The object holds something else; the batch has to be applied to that.
    Stale(ClaimTable, Option<Version>),
    /// The platform can't be asked.
    Unavailable(ClaimStoreError),
}

/// Owns what this process knows of the claims.
#[derive(xtra::Actor)]
pub(crate) struct ClaimActor {
    platform: PlatformClient,
    shards: HashMap<ClaimShard, ShardState>,
}

#[derive(Debug, Default)]
struct ShardState {
    table: ClaimTable,
    version: Option<Version>,
    queued: Vec<ChangeClaim>,
    is_writing: bool,
    /// A write may have taken effect, and what it claimed in vain has not been
    /// given back. New claims wait for that: the list of what is to be given
    /// back must not grow with the length of an outage.
    has_unresolved_write: bool,
}

impl ClaimActor {
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self {
            platform,
            shards: HashMap::new(),
        }
    }

    /// Starts a write for what waits, unless one is on its way.
    fn start_batch(&mut self, shard: ClaimShard, writes: u32, address: &WeakAddress<Self>) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        // Requests whose callers have left are not worth a write.
        state.queued.retain(|change| change.is_needed());
        if state.is_writing || state.queued.is_empty() {
            return;
        }
        state.is_writing = true;
        let write = BatchWrite {
            platform: self.platform.clone(),
            key: shard.object_key(),
            table: state.table.clone(),
            version: state.version,
        };
        let batch = std::mem::take(&mut state.queued);
        let address = address.clone();
        tokio::spawn(async move {
            let (batch, outcome) = write.run(batch).await;
            let finished = BatchFinished {
                shard,
                batch,
                writes: writes + 1,
                outcome,
            };
            if let Some(address) = address.try_upgrade() {
                // The actor ends only with the process.
                let _ = address.send(finished).await;
            }
        });
    }
}

impl ChangeClaim {
    /// A claim that nobody waits for needn't be made; other changes must be.
    fn is_needed(&self) -> bool {
        !matches!(self.change, ClaimChange::Open(_)) || !self.reply.is_closed()
    }
}

/// One conditional write of a batch.
struct BatchWrite {
    platform: PlatformClient,
    key: String,
    table: ClaimTable,
    version: Option<Version>,
}

impl BatchWrite {
    async fn run(mut self, batch: Vec<ChangeClaim>) -> (Vec<ChangeClaim>, BatchOutcome) {
        let before = self.table.clone();
        self.table.remove_expired(unix_seconds());
        let results: Vec<ClaimResult> = batch
            .iter()
            .map(|change| self.table.apply(&change.key, &change.change))
            .collect();
        let has_refusal = results.iter().any(|result| *result != ClaimResult::Applied);
        // A refusal is told only on what the object holds now, not on what this
        // process remembers of it.
        let outcome = match has_refusal || self.table == before {
            true => self.confirm(&before).await,
            false => self.write().await,
        };
        (batch, outcome)
    }

    async fn write(self) -> BatchOutcome {
        let written = match self.version {
            Some(version) => self.platform.update(&self.key, &self.table, version).await,
            None => self.platform.create(&self.key, &self.table).await,
        };
        match written {
            Ok(version) => BatchOutcome::Written(self.table, Some(version)),
            Err(PlatformError::Conflict { current }) => {
                stale_outcome(current.map(|current| *current))
            }
            // What the object holds now shows whether the write took effect.
            Err(error) if error.is_ambiguous() => match self.platform.get(&self.key).await {
                Ok(current) => stale_outcome(current),
                Err(_) => BatchOutcome::Unavailable(ClaimStoreError {
                    may_be_applied: true,
                }),
            },
            Err(_) => BatchOutcome::Unavailable(ClaimStoreError {
                may_be_applied: false,
            }),
        }
    }

    /// Reads the object; if it is as remembered, the refusals stand, and the
    /// others of the batch are written.
    async fn confirm(self, before: &ClaimTable) -> BatchOutcome {
        let Ok(current) = self.platform.get(&self.key).await else {
            return BatchOutcome::Unavailable(ClaimStoreError {
                may_be_applied: false,
            });
        };
        let version = current.as_ref().map(|current| current.version);
        match version == self.version {
            true if self.table == *before => BatchOutcome::Written(self.table, version),
            true => self.write().await,
            false => stale_outcome(current),
        }
    }
}

fn stale_outcome(current: Option<Versioned>) -> BatchOutcome {
    let Some(current) = current else {
        return BatchOutcome::Stale(ClaimTable::new(), None);
    };
    match current.parse() {
        Ok(table) => BatchOutcome::Stale(table, Some(current.version)),
        Err(error) => {
            tracing::error!(%error, "an object of claims can't be read");
            BatchOutcome::Unavailable(ClaimStoreError {
                may_be_applied: false,
            })
        }
    }
}

impl Handler<ChangeClaim> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, change: ChangeClaim, context: &mut Context<Self>) {
        let shard = change.shard.clone();
        let state = self.shards.entry(shard.clone()).or_default();
        if state.has_unresolved_write && matches!(change.change, ClaimChange::Open(_)) {
            // The caller may have left; then nobody needs to know.
            let _ = change.reply.send(Err(ClaimStoreError {
                may_be_applied: false,
            }));
            return;
        }
        state.queued.push(change);
        self.start_batch(shard, 0, &context.mailbox().address());
    }
}

impl Handler<BatchFinished> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, finished: BatchFinished, context: &mut Context<Self>) {
        let address = context.mailbox().address();
        let state = self.shards.entry(finished.shard.clone()).or_default();
        state.is_writing = false;
        let mut writes = 0;
        match finished.outcome {
            BatchOutcome::Written(table, version) => {
                reply_with_results(finished.batch, &table);
                state.table = table;
                state.version = version;
                state.has_unresolved_write = false;
            }
            BatchOutcome::Stale(table, version) => {
                state.table = table;
                state.version = version;
                if finished.writes < MAX_BATCH_WRITES {
                    state.queued.splice(0..0, finished.batch);
                    writes = finished.writes;
                } else {
                    reply_unavailable(
                        finished.batch,
                        ClaimStoreError {
                            may_be_applied: false,
                        },
                        &address,
                    );
                }
            }
            BatchOutcome::Unavailable(unavailable) => {
                state.has_unresolved_write |= unavailable.may_be_applied;
                reply_unavailable(finished.batch, unavailable, &address);
            }
        }
        self.start_batch(finished.shard, writes, &address);
    }
}

/// Answers each change with what the written table says of it.
fn reply_with_results(batch: Vec<ChangeClaim>, table: &ClaimTable) {
    let mut table = table.clone();
    for change in batch {
        // Applied once more, a change that is in force changes nothing.
        let result = table.apply(&change.key, &change.change);
        // Whoever claims for a caller that left gives the claim back itself.
        let _ = change.reply.send(Ok(result));
    }
}

/// Tells that the store is away. What became of a request, and keys given back,
/// must come into force nevertheless, so these changes are tried again.
fn reply_unavailable(
    batch: Vec<ChangeClaim>,
    unavailable: ClaimStoreError,
    address: &WeakAddress<ClaimActor>,
) {
    let mut retried = Vec::new();
    for change in batch {
        // Whoever waits is told now; the rest goes on without it.
        let _ = change.reply.send(Err(unavailable));
        if !matches!(change.change, ClaimChange::Open(_)) {
            let (reply, _) = oneshot::channel();
            retried.push(ChangeClaim { reply, ..change });
        }
    }
    if !retried.is_empty() {
        retry_later(retried, address);
    }
}

fn retry_later(changes: Vec<ChangeClaim>, address: &WeakAddress<ClaimActor>) {
    let address = address.clone();
    tokio::spawn(async move {
        tokio::time::sleep(RETRY_DELAY).await;
        for change in changes {
            if let Some(address) = address.try_upgrade() {
                let _ = address.send(change).await;
            }
        }
    });
}

/// Returns the time by which claims are forgotten.
pub(crate) fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
