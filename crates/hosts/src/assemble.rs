//! Building a configuration from the one before it.
//!
//! A change touches one chunk of hundreds. Only chunks whose digest changed are
//! parsed; the rest of the new configuration shares its values with the old.

use lagoonlift_types::{AssembleError, ChunkDigest, ChunkName, Configuration, Manifest};
use std::sync::Arc;

/// Returns the configuration of `manifest`, given the manifest and the
/// configuration before it.
pub(crate) fn assemble(
    manifest: &Manifest,
    previous: &Manifest,
    base: &Configuration,
    text_of: impl Fn(ChunkDigest) -> Option<Arc<[u8]>>,
) -> Result<Configuration, AssembleError> {
    let unchanged =
        |name: &ChunkName, digest: &ChunkDigest| previous.chunks.get(name) == Some(digest);
    let changed = Manifest {
        revision: manifest.revision,
        chunks: manifest
            .chunks
            .iter()
            .filter(|(name, digest)| !unchanged(name, digest))
            .map(|(name, digest)| (name.clone(), *digest))
            .collect(),
    };
    let update = changed.assemble(text_of)?;
    let mut configuration = base.clone();
    configuration.revision = manifest.revision;
    configuration.workspaces.extend(update.workspaces);
    configuration.data_centres.extend(update.data_centres);
    for name in previous.chunks.keys() {
        if !manifest.chunks.contains_key(name) {
            remove(&mut configuration, name);
        }
    }
    Ok(configuration)
}

fn remove(configuration: &mut Configuration, name: &ChunkName) {
    match name {
        ChunkName::Workspace(name) => {
            configuration.workspaces.remove(name);
        }
        ChunkName::DataCentre(name) => {
            configuration.data_centres.remove(name);
        }
    }
}
