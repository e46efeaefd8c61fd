//! The history of changes between manifests.
//!
//! The manifest of hundreds of workspaces takes tens of kilobytes, and a change
//! alters one chunk entry of it. A host that is a few revisions behind is
//! therefore sent only the altered entries and a digest of all entries of the
//! resulting manifest. With the digest it detects that the altered entries don't
//! apply to the manifest that it holds.

use lagoonlift_types::{ChunkDigest, ChunkName, Manifest, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of steps in the history.
const MAX_STEPS: usize = 256;

/// The changes that lead from an earlier manifest to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// The revision of the later manifest.
    pub revision: Revision,
    /// Chunks that may differ, with their new digest, or `None` for a removed
    /// chunk.
    pub changes: Vec<(ChunkName, Option<ChunkDigest>)>,
    /// Digest of all chunk entries of the manifest at [`ManifestDelta::revision`].
    pub result_digest: [u8; 32],
}

impl ManifestDelta {
    /// Applies the changes to `base`. Returns `None` if the chunk entries of the
    /// result differ from those of the sender's manifest.
    pub fn apply(&self, base: &Manifest) -> Option<Manifest> {
        let mut manifest = base.clone();
        manifest.revision = self.revision;
        for (name, digest) in &self.changes {
            match digest {
                Some(digest) => manifest.chunks.insert(name.clone(), *digest),
                None => manifest.chunks.remove(name),
            };
        }
        (manifest_digest(&manifest) == self.result_digest).then_some(manifest)
    }
}

/// The most recent steps from one manifest to the next.
#[derive(Debug, Default)]
pub(crate) struct ManifestHistory {
    steps: VecDeque<ManifestStep>,
}

/// A step between two manifests. Revisions between `from` and `to` were never
/// held here.
#[derive(Debug)]
struct ManifestStep {
    from: Revision,
    to: Revision,
    names: Vec<ChunkName>,
}

impl ManifestHistory {
    /// Records the step from one manifest to a later one.
    pub(crate) fn record(&mut self, from: &Manifest, to: &Manifest) {
        let altered = to
            .chunks
            .iter()
            .filter(|(name, digest)| from.chunks.get(name) != Some(digest))
            .map(|(name, _)| name);
        let removed = from
            .chunks
            .keys()
            .filter(|name| !to.chunks.contains_key(name));
        let step = ManifestStep {
            from: from.revision,
            to: to.revision,
            names: altered.chain(removed).cloned().collect(),
        };
        self.steps.push_back(step);
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the changes since the revision `since`, if the history reaches
    /// back that far.
    ///
    /// If `since` was never held here, it lies within the range of a recorded
    /// step. A chunk that was added and removed within that range is missing from
    /// the step, although the requester may hold it. The requester detects this
    /// with the digest.
    pub(crate) fn delta(&self, since: Revision, current: &Manifest) -> Option<ManifestDelta> {
        let start = self.steps.iter().position(|step| step.to > since)?;
        if self.steps[start].from > since {
            return None;
        }
        let names: BTreeSet<&ChunkName> = self
            .steps
            .range(start..)
            .flat_map(|step| &step.names)
            .collect();
        let changes = names
            .into_iter()
            .map(|name| (name.clone(), current.chunks.get(name).copied()));
        Some(ManifestDelta {
            revision: current.revision,
            changes: changes.collect(),
            result_digest: manifest_digest(current),
        })
    }
}

fn manifest_digest(manifest: &Manifest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for (name, digest) in &manifest.chunks {
        hasher.update(name.to_string().as_bytes());
        hasher.update(b" ");
        hasher.update(digest.to_string().as_bytes());
        hasher.update(b"\n");
    }
    *hasher.finalize().as_bytes()
}
