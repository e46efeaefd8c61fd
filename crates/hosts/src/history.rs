//! Which chunks changed between two revisions.
//!
//! A manifest of hundreds of workspaces is tens of kilobytes, and a change
//! alters one line of it. A host that is a few revisions behind is therefore
//! sent the altered lines only, with a digest of the whole list, by which it
//! notices when the lines don't fit what it holds.

use lagoonlift_types::{ChunkDigest, ChunkName, Manifest, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Steps that are remembered.
const MAX_STEPS: usize = 256;

/// What changed in the manifest up to a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// The revision that it leads to.
    pub revision: Revision,
    /// Chunks that may differ, with their digest, or none when removed.
    pub changes: Vec<(ChunkName, Option<ChunkDigest>)>,
    /// Digest of the whole list at [`ManifestDelta::revision`].
    pub result_digest: [u8; 32],
}

impl ManifestDelta {
    /// Applies the changes; `None` when the outcome isn't the sender's list.
    pub fn apply(&self, base: &Manifest) -> Option<Manifest> {
        let mut manifest = base.clone();
        manifest.revision = self.revision;
        for (name, digest) in &self.changes {
            match digest {
                Some(digest) => manifest.chunks.insert(name.clone(), *digest),
                None => manifest.chunks.remove(name),
            };
        }
        (list_digest(&manifest) == self.result_digest).then_some(manifest)
    }
}

/// The last steps from one manifest to the next.
#[derive(Debug, Default)]
pub(crate) struct ManifestHistory {
    steps: VecDeque<Step>,
}

/// One step; revisions between `from` and `to` were never held here.
#[derive(Debug)]
struct Step {
    from: Revision,
    to: Revision,
    names: Vec<ChunkName>,
}

impl ManifestHistory {
    /// Remembers the step from one manifest to a later one.
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
        let step = Step {
            from: from.revision,
            to: to.revision,
            names: altered.chain(removed).cloned().collect(),
        };
        self.steps.push_back(step);
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns what changed since `since`, if the steps reach back that far.
    ///
    /// From a revision that was never held here the step over it may lack a
    /// chunk that came and went within it; the digest shows that.
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
            result_digest: list_digest(current),
        })
    }
}

fn list_digest(manifest: &Manifest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for (name, digest) in &manifest.chunks {
        hasher.update(name.to_string().as_bytes());
        hasher.update(b" ");
        hasher.update(digest.to_string().as_bytes());
        hasher.update(b"\n");
    }
    *hasher.finalize().as_bytes()
}
