//! The store of the configuration in force, whose revision never decreases.
//!
//! Revisions reach a host from the platform through a steward, which is the
//! controller process of a data centre, and from any peer, in any order, and a
//! restarted platform may serve an older one. A revoked key must not become valid
//! again, so the store accepts only higher revisions. It accepts only complete
//! ones: the text of every listed chunk is available and matches the listed
//! digest. Readers see either one revision or the next, never a mixture.

use crate::assemble::assemble;
use crate::history::{ManifestDelta, ManifestHistory};
use lagoonlift_types::{AssembleError, ChunkDigest, Configuration, Manifest, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The outcome of offering a configuration to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The configuration is in force now.
    Accepted,
    /// This revision or a higher one is already in force.
    Older,
    /// A listed chunk is neither in the offer nor in the store.
    Incomplete,
    /// The text of a chunk doesn't match its digest or can't be parsed.
    Malformed,
}

/// Holds the configuration with the highest revision seen.
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

    /// Puts a configuration in force if it is complete and has a higher
    /// revision than the current one.
    ///
    /// `chunks` needs to contain only the chunks that the store lacks; see
    /// [`ConfigurationStore::missing_chunks`].
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
        // Sent while the lock is held, so that watchers see revisions in order.
        self.current.send_replace(Arc::new(configuration));
        OfferOutcome::Accepted
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver of the configuration in force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.current.subscribe()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.current.borrow().revision
    }

    /// Returns the digests of the chunks that `manifest` lists and the store
    /// lacks.
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

    /// Returns the changes to the manifest since a revision, if they are known.
    pub fn delta(&self, since: Revision) -> Option<ManifestDelta> {
        let state = self.lock();
        state.history.delta(since, &state.manifest)
    }

    /// Returns the text of a chunk of the configuration in force.
    pub fn chunk(&self, digest: ChunkDigest) -> Option<Arc<[u8]>> {
        self.lock().chunks.get(&digest).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use, because no code between two writes to
        // the state can panic.
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
