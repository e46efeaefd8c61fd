//! Splits a configuration into chunks that a manifest lists.
//!
//! A change concerns one workspace or one data centre, so it should transfer one
//! chunk, not the whole configuration. Chunks are immutable and identified by
//! their digest, so a copy from a peer is equivalent to the platform's own.

use crate::{
    Configuration, DataCentreCapacity, DataCentreName, Revision, Workspace, WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The workspace or data centre that a chunk describes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChunkName {
    /// A workspace.
    Workspace(WorkspaceName),
    /// The upstreams and order limit of a data centre.
    DataCentre(DataCentreName),
}

impl fmt::Display for ChunkName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(name) => write!(f, "workspace/{name}"),
            Self::DataCentre(name) => write!(f, "data-centre/{name}"),
        }
    }
}

/// The content of a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Chunk {
    /// See [`ChunkName::Workspace`].
    Workspace(Arc<Workspace>),
    /// See [`ChunkName::DataCentre`].
    DataCentre(Arc<DataCentreCapacity>),
}

/// The BLAKE3 digest of a chunk's JSON text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChunkDigest([u8; 32]);

impl ChunkDigest {
    /// Computes the digest of a chunk's JSON text.
    pub fn of(text: &[u8]) -> Self {
        Self(*blake3::hash(text).as_bytes())
    }
}

impl fmt::Display for ChunkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ChunkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkDigest({}..)", hex::encode(&self.0[..4]))
    }
}

impl TryFrom<String> for ChunkDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest)?;
        Ok(Self(digest))
    }
}

impl From<ChunkDigest> for String {
    fn from(digest: ChunkDigest) -> Self {
        digest.to_string()
    }
}

/// The list of the chunks of one revision of the configuration.
///
/// Stored as JSON under [`Manifest::KEY`]; chunks are stored as JSON under
/// [`Manifest::chunk_key`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Digest of each chunk, by the workspace or data centre that it describes.
    #[serde(with = "entries")]
    pub chunks: BTreeMap<ChunkName, ChunkDigest>,
}

/// Why no configuration can be assembled from a manifest's chunks.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AssembleError {
    /// A listed chunk is not available.
    #[error("chunk {0} is missing")]
    Missing(ChunkName),
    /// A chunk's text doesn't parse, or the chunk is of another kind than its name.
    #[error("chunk {name} is malformed: {detail}")]
    Malformed {
        /// The chunk.
        name: ChunkName,
        /// Description of the error.
        detail: String,
    },
}

impl Manifest {
    /// Object key of the manifest.
    pub const KEY: &'static str = "config/manifest";

    /// Returns the object key of the chunk with this digest.
    pub fn chunk_key(digest: ChunkDigest) -> String {
        format!("config/chunks/{digest}")
    }

    /// Returns the JSON text of a chunk, with the members of each object sorted.
    ///
    /// A store may return a value with its members in another order. A reader
    /// that sorts the members again gets the same text, and so the same digest.
    ///
    /// # Errors
    ///
    /// Returns an error if a value can't be written as JSON.
    pub fn chunk_text(chunk: &Chunk) -> Result<Vec<u8>, serde_json::Error> {
        let mut value = serde_json::to_value(chunk)?;
        value.sort_all_objects();
        serde_json::to_vec(&value)
    }

    /// Splits a configuration into a manifest and the JSON texts of its chunks, by
    /// digest.
    ///
    /// # Errors
    ///
    /// Returns an error if a value can't be written as JSON.
    pub fn split(
        configuration: &Configuration,
    ) -> Result<(Self, BTreeMap<ChunkDigest, Vec<u8>>), serde_json::Error> {
        let workspaces = configuration.workspaces.iter().map(|(name, workspace)| {
            let chunk = Chunk::Workspace(Arc::clone(workspace));
            (ChunkName::Workspace(name.clone()), chunk)
        });
        let data_centres = configuration.data_centres.iter().map(|(name, capacity)| {
            let chunk = Chunk::DataCentre(Arc::clone(capacity));
            (ChunkName::DataCentre(name.clone()), chunk)
        });
        let mut manifest = Self {
            revision: configuration.revision,
            chunks: BTreeMap::new(),
        };
        let mut texts = BTreeMap::new();
        for (name, chunk) in workspaces.chain(data_centres) {
            let text = Self::chunk_text(&chunk)?;
            let digest = ChunkDigest::of(&text);
            manifest.chunks.insert(name, digest);
            texts.insert(digest, text);
        }
        Ok((manifest, texts))
    }

    /// Assembles the configuration; `text_of` returns a chunk's JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing or malformed.
    pub fn assemble<T: AsRef<[u8]>>(
        &self,
        text_of: impl Fn(ChunkDigest) -> Option<T>,
    ) -> Result<Configuration, AssembleError> {
        let mut configuration = Configuration {
            revision: self.revision,
            ..Configuration::default()
        };
        for (name, digest) in &self.chunks {
            let text = text_of(*digest).ok_or_else(|| AssembleError::Missing(name.clone()))?;
            let malformed = |detail: String| AssembleError::Malformed {
                name: name.clone(),
                detail,
            };
            let chunk = serde_json::from_slice(text.as_ref());
            match (name, chunk.map_err(|error| malformed(error.to_string()))?) {
                (ChunkName::Workspace(name), Chunk::Workspace(workspace)) => {
                    configuration.workspaces.insert(name.clone(), workspace);
                }
                (ChunkName::DataCentre(name), Chunk::DataCentre(capacity)) => {
                    configuration.data_centres.insert(name.clone(), capacity);
                }
                _ => return Err(malformed("kind doesn't match the name".to_owned())),
            }
        }
        Ok(configuration)
    }
}

/// Serializes the map as a list of pairs, since keys of JSON objects must be
/// strings.
mod entries {
    use super::{BTreeMap, ChunkDigest, ChunkName};
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        chunks: &BTreeMap<ChunkName, ChunkDigest>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(chunks)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<ChunkName, ChunkDigest>, D::Error> {
        let entries = Vec::<(ChunkName, ChunkDigest)>::deserialize(deserializer)?;
        Ok(entries.into_iter().collect())
    }
}
