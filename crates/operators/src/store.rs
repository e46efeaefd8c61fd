//! Reads the configuration in the platform's store, and replaces one chunk of it.
//!
//! The manifest is the only object that two operators both write. It is replaced
//! on the condition that it still has the version that was read, so each
//! revision has one author. An answer that was lost is read back: the revision
//! that the write would have had tells whether it took effect, and where it
//! can't tell any more, that is said instead of writing again.

use lagoonlift_platform::{PlatformClient, PlatformError, Version};
use lagoonlift_types::{Chunk, ChunkDigest, ChunkName, Manifest, Revision};
use serde_json::Value;
use std::time::Duration;

/// Most times that a change is tried, against other operators and lost answers.
const MAX_ATTEMPTS: u32 = 32;

/// Wait before an attempt that follows a failed one; doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Failed calls in a row after which an unread answer is given up on.
const MAX_FAILURES: u32 = 6;

/// The manifest, and one chunk as it lists it.
#[derive(Clone, Debug)]
pub(crate) struct ChunkState {
    pub(crate) manifest: Manifest,
    /// Version of the manifest; `None` when there is no configuration yet.
    pub(crate) version: Option<Version>,
    pub(crate) digest: Option<ChunkDigest>,
    pub(crate) chunk: Option<Chunk>,
}

/// What is to be done about a chunk, given its present state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChunkStep {
    /// Put this in force.
    Write(Chunk),
    /// What is wanted is in force.
    Done,
    /// The change doesn't fit any more.
    Refuse,
}

/// Whether a change may be made again when it is unknown whether it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repetition {
    /// Making it twice is making it once, whatever came in between.
    Harmless,
    /// It might undo what came in between.
    Harmful,
}

/// How a change ended.
#[derive(Clone, Debug)]
pub(crate) enum ChunkOutcome {
    /// This change put it in force.
    Written(Revision),
    /// It was in force already.
    Done(Revision),
    /// It didn't fit; the state is the one that it didn't fit onto.
    Refused(Box<ChunkState>),
    /// The answer was lost, and later changes hide whether it took effect.
    Unclear(Revision),
}

/// The configuration in the platform's store.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationObjects {
    client: PlatformClient,
}

impl ConfigurationObjects {
    pub(crate) fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    pub(crate) fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Reads the manifest; the empty one at revision 0 if there is none.
    pub(crate) async fn manifest(&self) -> Result<(Manifest, Option<Version>), PlatformError> {
        let read = self.client.get_as::<Manifest>(Manifest::KEY).await?;
        Ok(match read {
            Some((manifest, version)) => (manifest, Some(version)),
            None => (Manifest::default(), None),
        })
    }

    /// Reads a chunk and checks that it is what its digest says.
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
            false => Err(malformed("has another digest")),
        }
    }

    /// Reads the manifest and the chunk of this name.
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

    /// Changes the chunk as `decide` says, which is asked again with what is in
    /// force whenever another operator came first.
    pub(crate) async fn change(
        &self,
        name: &ChunkName,
        repetition: Repetition,
        decide: impl Fn(Option<&Chunk>) -> ChunkStep,
    ) -> Result<ChunkOutcome, PlatformError> {
        // Revision that a write with a lost answer would have had.
        let mut lost: Option<Revision> = None;
        let mut failures = 0;
        for _ in 0..MAX_ATTEMPTS {
            let result = match self.state(name).await {
                Ok(state) => {
                    self.attempt(name, repetition, &decide, state, &mut lost)
                        .await
                }
                Err(error) => Err(error),
            };
            match result {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => failures = 0,
                Err(error) => {
                    failures += 1;
                    let may_go_on = error.is_ambiguous() || lost.is_some();
                    match lost {
                        _ if may_go_on && failures < MAX_FAILURES => {}
                        Some(revision) => return Ok(ChunkOutcome::Unclear(revision)),
                        None => return Err(error),
                    }
                }
            }
            tokio::time::sleep(pause(failures)).await;
        }
        match lost {
            Some(revision) => Ok(ChunkOutcome::Unclear(revision)),
            None => Err(PlatformError::Conflict { current: None }),
        }
    }

    /// Tries once; `None` when another operator came first.
    async fn attempt(
        &self,
        name: &ChunkName,
        repetition: Repetition,
        decide: &impl Fn(Option<&Chunk>) -> ChunkStep,
        state: ChunkState,
        lost: &mut Option<Revision>,
    ) -> Result<Option<ChunkOutcome>, PlatformError> {
        let revision = state.manifest.revision;
        let step = decide(state.chunk.as_ref());
        let hidden = lost.is_some_and(|lost| revision > lost);
        let outcome = match step {
            ChunkStep::Done => Some(ChunkOutcome::Done(revision)),
            _ if hidden && repetition == Repetition::Harmful => {
                Some(ChunkOutcome::Unclear(revision))
            }
            ChunkStep::Refuse => Some(ChunkOutcome::Refused(Box::new(state))),
            ChunkStep::Write(chunk) => {
                if lost.is_some_and(|lost| revision >= lost) {
                    *lost = None;
                }
                self.write(name, &chunk, state, lost).await?
            }
        };
        Ok(outcome)
    }

    async fn write(
        &self,
        name: &ChunkName,
        chunk: &Chunk,
        state: ChunkState,
        lost: &mut Option<Revision>,
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
                lost.get_or_insert(manifest.revision);
                Err(error)
            }
            Err(error) => Err(error),
        }
    }

    /// Creates the chunk's object, unless it is there already.
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

fn pause(failures: u32) -> Duration {
    match failures {
        0 => Duration::ZERO,
        _ => LONGEST_PAUSE.min(FIRST_PAUSE * 2_u32.saturating_pow(failures - 1)),
    }
}
