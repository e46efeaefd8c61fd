//! Incremental assembly of a configuration.
//!
//! A change usually touches one chunk out of hundreds. Only chunks whose digest
//! changed are parsed; the new configuration shares all other values with the
//! previous one.

use lagoonlift_types::{AssembleError, ChunkDigest, ChunkName, Configuration, Manifest};
use std::sync::Arc;

/// Returns the configuration that `manifest` describes.
///
/// `previous` and `base` are the manifest and the configuration that precede
/// it.
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
