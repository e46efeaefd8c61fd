//! Reads the configuration in the platform's store, and replaces one chunk of it.
//!
//! The manifest is the only object that several operators write. It is replaced
//! with a compare-and-swap on its version, so each revision has one author. If the
//! response to a write is lost, the manifest is read again: the revision that the
//! write would have created shows whether the write took effect. Once later
//! revisions make that impossible to tell, only an idempotent change is retried. For
//! other changes the outcome is reported as unknown, because a retry could undo a
//! later change.

use lagoonlift_platform::{PlatformClient, PlatformError, Version};
use lagoonlift_types::{Chunk, ChunkDigest, ChunkName, Manifest, Revision};
use serde_json::Value;
use std::time::Duration;

/// Maximum number of attempts of a change, after conflicts with other operators and
/// lost responses.
const MAX_ATTEMPTS: u32 = 32;

/// Backoff after the first failed attempt; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Number of consecutive failed attempts after which the change is given up.
const MAX_CONSECUTIVE_FAILURES: u32 = 6;

/// The manifest, and one chunk that it lists.
#[derive(Clone, Debug)]
pub(crate) struct ChunkState {
    pub(crate) manifest: Manifest,
    /// Version of the manifest's object; `None` if there is no configuration yet.
    pub(crate) version: Option<Version>,
    pub(crate) digest: Option<ChunkDigest>,
    pub(crate) chunk: Option<Chunk>,
}

/// What a change does to a chunk, given its current content.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChunkAction {
    /// Write this content.
    Write(Chunk),
    /// Write nothing: the change is already in force.
    Skip,
    /// Write nothing: the change conflicts with the current content.
    Refuse,
}

/// Whether a change may be retried when it is unknown whether it took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetrySafety {
    /// The change is idempotent, whatever other changes lie between the attempts.
    Safe,
    /// A retry might undo a change that lies between the attempts.
    Unsafe,
}

/// Outcome of a change.
#[derive(Clone, Debug)]
pub(crate) enum ChunkOutcome {
    /// The change was written as this revision.
    Written(Revision),
    /// The change was already in force at this revision.
    Unchanged(Revision),
    /// The change conflicts with this state.
    Refused(Box<ChunkState>),
    /// The response to the write of this revision was lost, and whether the write
    /// took effect can no longer be told.
    Unknown(Revision),
}

/// The configuration in the platform's store.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationStore {
    client: PlatformClient,
}

impl ConfigurationStore {
    pub(crate) fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    pub(crate) fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Reads the manifest; returns an empty one with revision 0 if there is none.
    pub(crate) async fn manifest(&self) -> Result<(Manifest, Option<Version>), PlatformError> {
        let read = self.client.get_as::<Manifest>(Manifest::KEY).await?;
        Ok(match read {
            Some((manifest, version)) => (manifest, Some(version)),
            None => (Manifest::default(), None),
        })
    }

    /// Reads a chunk and verifies its digest.
    pub(crate) async fn chunk(&self, digest: ChunkDigest) -> Result<Chunk, PlatformError> {
        let key = Manifest::chunk_key(digest);
        let malformed = |detail: &str| PlatformError::Malformed {
            detail: format!("{key}: {detail}"),
        };
        let object = self.client.get(&key).await?;
        let object = object.ok_or_else(|| malformed("is missing"))?;
        let chunk: Chunk = object.parse()?;
        let mut value = object.value;
        value.sort_all_objects();
        match ChunkDigest::of(value.to_string().as_bytes()) == digest {
            true => Ok(chunk),
            false => Err(malformed("does not match its digest")),
        }
    }

    /// Reads the manifest and the chunk with this name.
    pub(crate) async fn state(&self, name: &ChunkName) -> Result<ChunkState, PlatformError> {
        let (manifest, version) = self.manifest().await?;
        let digest = manifest.chunks.get(name).copied();
        let chunk = match digest {
            Some(digest) => Some(self.chunk(digest).await?),
            None => None,
        };
        Ok(ChunkState {
            manifest,
            version,
            digest,
            chunk,
        })
    }

    /// Changes the chunk as `decide` returns. After a conflict with another operator,
    /// `decide` is called again with the content that is in force then.
    pub(crate) async fn change(
        &self,
        name: &ChunkName,
        retry_safety: RetrySafety,
        decide: impl Fn(Option<&Chunk>) -> ChunkAction,
    ) -> Result<ChunkOutcome, PlatformError> {
        // Revision that a write with a lost response would have created.
        let mut unconfirmed: Option<Revision> = None;
        let mut failures = 0;
        for _ in 0..MAX_ATTEMPTS {
            let result = match self.state(name).await {
                Ok(state) => {
                    self.attempt(name, retry_safety, &decide, state, &mut unconfirmed)
                        .await
                }
                Err(error) => Err(error),
            };
            match result {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => failures = 0,
                Err(error) => {
                    failures += 1;
                    let may_retry = error.is_ambiguous() || unconfirmed.is_some();
                    match unconfirmed {
                        _ if may_retry && failures < MAX_CONSECUTIVE_FAILURES => {}
                        Some(revision) => return Ok(ChunkOutcome::Unknown(revision)),
                        None => return Err(error),
                    }
                }
            }
            tokio::time::sleep(backoff(failures)).await;
        }
        match unconfirmed {
            Some(revision) => Ok(ChunkOutcome::Unknown(revision)),
            None => Err(PlatformError::Conflict { current: None }),
        }
    }

    /// Makes one attempt; returns `None` after a conflict with another operator.
    async fn attempt(
        &self,
        name: &ChunkName,
        retry_safety: RetrySafety,
        decide: &impl Fn(Option<&Chunk>) -> ChunkAction,
        state: ChunkState,
        unconfirmed: &mut Option<Revision>,
    ) -> Result<Option<ChunkOutcome>, PlatformError> {
        let revision = state.manifest.revision;
        let action = decide(state.chunk.as_ref());
        let is_outcome_hidden = unconfirmed.is_some_and(|unconfirmed| revision > unconfirmed);
        let outcome = match action {
            ChunkAction::Skip => Some(ChunkOutcome::Unchanged(revision)),
            _ if is_outcome_hidden && retry_safety == RetrySafety::Unsafe => {
                Some(ChunkOutcome::Unknown(revision))
            }
            ChunkAction::Refuse => Some(ChunkOutcome::Refused(Box::new(state))),
            ChunkAction::Write(chunk) => {
                if unconfirmed.is_some_and(|unconfirmed| revision >= unconfirmed) {
                    *unconfirmed = None;
                }
                self.write(name, &chunk, state, unconfirmed).await?
            }
        };
        Ok(outcome)
    }

    async fn write(
        &self,
        name: &ChunkName,
        chunk: &Chunk,
        state: ChunkState,
        unconfirmed: &mut Option<Revision>,
    ) -> Result<Option<ChunkOutcome>, PlatformError> {
        let digest = self.create_chunk(chunk).await?;
        let mut manifest = state.manifest;
        manifest.revision = manifest.revision.next();
        manifest.chunks.insert(name.clone(), digest);
        let written = match state.version {
            Some(version) => self.client.update(Manifest::KEY, &manifest, version).await,
            None => self.client.create(Manifest::KEY, &manifest).await,
        };
        match written {
            Ok(_) => Ok(Some(ChunkOutcome::Written(manifest.revision))),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) if error.is_ambiguous() => {
                unconfirmed.get_or_insert(manifest.revision);
                Err(error)
            }
            Err(error) => Err(error),
        }
    }

    /// Creates the chunk's object, unless it exists.
    async fn create_chunk(&self, chunk: &Chunk) -> Result<ChunkDigest, PlatformError> {
        let malformed = |error: serde_json::Error| PlatformError::Malformed {
            detail: error.to_string(),
        };
        let text = Manifest::chunk_text(chunk).map_err(malformed)?;
        let digest = ChunkDigest::of(&text);
        let value: Value = serde_json::from_slice(&text).map_err(malformed)?;
        match self
            .client
            .create(&Manifest::chunk_key(digest), &value)
            .await
        {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(digest),
            Err(error) => Err(error),
        }
    }
}

fn backoff(failures: u32) -> Duration {
    match failures {
        0 => Duration::ZERO,
        _ => MAX_BACKOFF.min(INITIAL_BACKOFF * 2_u32.saturating_pow(failures - 1)),
    }
}
