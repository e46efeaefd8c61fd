//! Writes claims to the platform in batches.
//!
//! A batch takes one or more rounds. A round writes the object, or reads it to
//! confirm this process's copy, or does both. At most one round is in flight for
//! each object of claims; changes that arrive meanwhile join the next batch. The
//! actor doesn't wait for the platform itself: a task performs the round and
//! sends its outcome to the actor.

use crate::claim::{ClaimChange, ClaimKey, ClaimResult, ClaimShard, ClaimTable};
use lagoonlift_platform::{PlatformClient, PlatformError, Version, VersionedObject};
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use xtra::{Context, Handler, WeakAddress};

/// Maximum number of rounds of one batch. If the last round finds this process's
/// copy stale, the changes of the batch get the same reply as if the store were
/// unavailable.
const MAX_BATCH_ROUNDS: u32 = 8;

/// Delay before final states and releases that couldn't be confirmed are
/// retried, after a failure of the platform as well as after repeated conflicts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Changes one claim.
#[derive(Debug)]
pub(crate) struct ChangeClaim {
    pub(crate) shard: ClaimShard,
    pub(crate) key: ClaimKey,
    pub(crate) change: ClaimChange,
    pub(crate) reply: oneshot::Sender<Result<ClaimResult, ClaimStoreError>>,
}

/// The change couldn't be confirmed: the store is unavailable or didn't respond
/// in time, its object can't be parsed, the batch used up its rounds, or an
/// earlier write of the object is unresolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the change of the claim couldn't be confirmed")]
pub(crate) struct ClaimStoreError {
    /// Whether the change may nevertheless be applied, now or later.
    pub(crate) may_be_applied: bool,
}

/// Reports the end of one round of a batch.
#[derive(Debug)]
struct BatchFinished {
    shard: ClaimShard,
    batch: Vec<ChangeClaim>,
    rounds: u32,
    outcome: BatchOutcome,
}

#[derive(Debug)]
enum BatchOutcome {
    /// The object holds this table.
    Written(ClaimTable, Option<Version>),
    /// The object holds a different table than expected; the batch has to be
    /// applied to this one.
    Stale(ClaimTable, Option<Version>),
    /// The changes couldn't be confirmed: the platform is unavailable, or the
    /// object can't be parsed.
    Unconfirmed(ClaimStoreError),
}

/// Actor that owns this process's copy of the claims.
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
    /// Whether a round is in flight.
    is_writing: bool,
    /// Whether a write has an unknown result. Any later round that writes the
    /// object or confirms this process's copy clears the flag; a round that
    /// finds the copy stale doesn't. New claims are refused while it is set: the
    /// list of claims to release must not grow with the length of an outage.
    has_unresolved_write: bool,
}

impl ClaimActor {
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self {
            platform,
            shards: HashMap::new(),
        }
    }

    /// Starts a round with the queued changes, unless one is in flight. `rounds`
    /// is the number of rounds that the batch has already taken.
    fn start_batch(&mut self, shard: ClaimShard, rounds: u32, address: &WeakAddress<Self>) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        // Claims of requests whose callers have disconnected needn't be
        // written.
        state.queued.retain(|change| change.is_needed());
        if state.is_writing || state.queued.is_empty() {
            return;
        }
        state.is_writing = true;
        let round = BatchRound {
            platform: self.platform.clone(),
            key: shard.object_key(),
            table: state.table.clone(),
            version: state.version,
        };
        let batch = std::mem::take(&mut state.queued);
        let address = address.clone();
        tokio::spawn(async move {
            let (batch, outcome) = round.run(batch).await;
            let finished = BatchFinished {
                shard,
                batch,
                rounds: rounds + 1,
                outcome,
            };
            if let Some(address) = address.try_upgrade() {
                // Sending fails only when the process ends.
                let _ = address.send(finished).await;
            }
        });
    }
}

impl ChangeClaim {
    /// Returns whether the change has to be written. A claim whose requester no
    /// longer waits needn't be; other changes always have to be.
    fn is_needed(&self) -> bool {
        !matches!(self.change, ClaimChange::Open(_)) || !self.reply.is_closed()
    }
}

/// One round of a batch.
struct BatchRound {
    platform: PlatformClient,
    key: String,
    table: ClaimTable,
    version: Option<Version>,
}

impl BatchRound {
    async fn run(mut self, batch: Vec<ChangeClaim>) -> (Vec<ChangeClaim>, BatchOutcome) {
        let before = self.table.clone();
        self.table.remove_expired(unix_seconds());
        let results: Vec<ClaimResult> = batch
            .iter()
            .map(|change| self.table.apply(&change.key, &change.change))
            .collect();
        let has_refusal = results.iter().any(|result| *result != ClaimResult::Applied);
        // A refusal has to rest on the object's current content, not on this
        // process's copy of it.
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
            // The object's current content shows whether the write took effect.
            Err(error) if error.is_ambiguous() => match self.platform.get(&self.key).await {
                Ok(current) => stale_outcome(current),
                Err(_) => BatchOutcome::Unconfirmed(ClaimStoreError {
                    may_be_applied: true,
                }),
            },
            Err(_) => BatchOutcome::Unconfirmed(ClaimStoreError {
                may_be_applied: false,
            }),
        }
    }

    /// Reads the object. If this process's copy is current, the refusals are
    /// final and the other changes of the batch are written.
    async fn confirm(self, before: &ClaimTable) -> BatchOutcome {
        let Ok(current) = self.platform.get(&self.key).await else {
            return BatchOutcome::Unconfirmed(ClaimStoreError {
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

fn stale_outcome(current: Option<VersionedObject>) -> BatchOutcome {
    let Some(current) = current else {
        return BatchOutcome::Stale(ClaimTable::new(), None);
    };
    match current.parse() {
        Ok(table) => BatchOutcome::Stale(table, Some(current.version)),
        Err(error) => {
            tracing::error!(
                %error,
                "can't parse an object of claims; \
                 its new claims are refused and its other changes are retried"
            );
            BatchOutcome::Unconfirmed(ClaimStoreError {
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
            // The send fails if the caller has disconnected; the result is then
            // irrelevant.
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
        let mut rounds = 0;
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
                if finished.rounds < MAX_BATCH_ROUNDS {
                    state.queued.splice(0..0, finished.batch);
                    rounds = finished.rounds;
                } else {
                    reply_unconfirmed(
                        finished.batch,
                        ClaimStoreError {
                            may_be_applied: false,
                        },
                        &address,
                    );
                }
            }
            BatchOutcome::Unconfirmed(error) => {
                state.has_unresolved_write |= error.may_be_applied;
                reply_unconfirmed(finished.batch, error, &address);
            }
        }
        self.start_batch(finished.shard, rounds, &address);
    }
}

/// Replies to each change with its result in the written table.
fn reply_with_results(batch: Vec<ChangeClaim>, table: &ClaimTable) {
    let mut table = table.clone();
    for change in batch {
        // Applying a change a second time has no effect and returns its result.
        let result = table.apply(&change.key, &change.change);
        // If the caller has disconnected, its claim guard releases the claim.
        let _ = change.reply.send(Ok(result));
    }
}

/// Replies that the changes couldn't be confirmed. Final states and releases must
/// still be applied eventually, so these changes are retried.
fn reply_unconfirmed(
    batch: Vec<ChangeClaim>,
    error: ClaimStoreError,
    address: &WeakAddress<ClaimActor>,
) {
    let mut retried = Vec::new();
    for change in batch {
        // The requester gets its reply now; the retry continues without one.
        let _ = change.reply.send(Err(error));
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

/// Returns the time in seconds since the Unix epoch, by which claims expire.
pub(crate) fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}
