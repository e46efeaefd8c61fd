//! The configuration in force, which never goes back.
//!
//! Revisions reach a host from the platform through a steward and from any
//! neighbour, in any order, and a restarted platform may show an older one. A
//! key that was withdrawn must not come back to life, so the store takes only
//! higher revisions, and only whole ones: every listed chunk is at hand and its
//! text has the listed digest. Readers see one revision or the next, never a
//! mixture.

use crate::assemble::assemble;
use crate::history::{ManifestDelta, ManifestHistory};
use lagoonlift_types::{AssembleError, ChunkDigest, Configuration, Manifest, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Accepted,
    /// This revision or a higher one is in force.
    Older,
    /// A chunk is missing that the store doesn't hold either.
    Incomplete,
    /// A chunk's text doesn't have its digest, or doesn't parse.
    Malformed,
}

/// Holds the highest configuration seen.
#[derive(Debug)]
pub struct ConfigurationStore {
    state: Mutex<State>,
    current: watch::Sender<Arc<Configuration>>,
}

#[derive(Debug, Default)]
struct State {
    manifest: Arc<Manifest>,
    chunks: BTreeMap<ChunkDigest, Arc<[u8]>>,
    history: ManifestHistory,
}

impl Default for ConfigurationStore {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigurationStore {
    /// Creates a store that holds the empty configuration, revision 0.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            current: watch::Sender::default(),
        }
    }

    /// Takes a configuration if it is whole and higher than the one in force.
    ///
    /// `chunks` need hold only those that the store doesn't; see
    /// [`ConfigurationStore::missing`].
    pub fn offer(
        &self,
        manifest: Manifest,
        chunks: BTreeMap<ChunkDigest, Vec<u8>>,
    ) -> OfferOutcome {
        let digests_match =
            |(digest, text): (&ChunkDigest, &Vec<u8>)| ChunkDigest::of(text) == *digest;
        if !chunks.iter().all(digests_match) {
            return OfferOutcome::Malformed;
        }
        let mut state = self.lock();
        if manifest.revision <= state.manifest.revision {
            return OfferOutcome::Older;
        }
        let offered: BTreeMap<ChunkDigest, Arc<[u8]>> = chunks
            .into_iter()
            .map(|(digest, text)| (digest, text.into()))
            .collect();
        let text_of = |digest: ChunkDigest| {
            let text = offered.get(&digest).or_else(|| state.chunks.get(&digest));
            text.cloned()
        };
        let base = self.current();
        let configuration = match assemble(&manifest, &state.manifest, &base, text_of) {
            Ok(configuration) => configuration,
            Err(AssembleError::Missing(_)) => return OfferOutcome::Incomplete,
            Err(AssembleError::Malformed { .. }) => return OfferOutcome::Malformed,
        };
        state.adopt(manifest, offered);
        // Sent under the lock, so that watchers see revisions in their order.
        self.current.send_replace(Arc::new(configuration));
        OfferOutcome::Accepted
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver of each configuration that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.current.subscribe()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.current.borrow().revision
    }

    /// Returns the digests of chunks that `manifest` lists and the store lacks.
    pub fn missing_chunks(&self, manifest: &Manifest) -> Vec<ChunkDigest> {
        let state = self.lock();
        let digests: BTreeSet<&ChunkDigest> = manifest.chunks.values().collect();
        digests
            .into_iter()
            .filter(|digest| !state.chunks.contains_key(digest))
            .copied()
            .collect()
    }

    /// Returns the manifest in force.
    pub fn manifest(&self) -> Arc<Manifest> {
        Arc::clone(&self.lock().manifest)
    }

    /// Returns what changed in the manifest since a revision, if that is known.
    pub fn delta(&self, since: Revision) -> Option<ManifestDelta> {
        let state = self.lock();
        state.history.delta(since, &state.manifest)
    }

    /// Returns the text of a chunk that is in force.
    pub fn chunk(&self, digest: ChunkDigest) -> Option<Arc<[u8]>> {
        self.lock().chunks.get(&digest).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing that may panic runs between two writes to the state.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn adopt(&mut self, manifest: Manifest, offered: BTreeMap<ChunkDigest, Arc<[u8]>>) {
        let listed: BTreeSet<ChunkDigest> = manifest.chunks.values().copied().collect();
        self.chunks.extend(offered);
        self.chunks.retain(|digest, _| listed.contains(digest));
        self.history.record(&self.manifest, &manifest);
        self.manifest = Arc::new(manifest);
    }
}
