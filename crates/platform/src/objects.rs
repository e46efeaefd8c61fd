//! Versioned objects of the platform's store.

use crate::{PlatformError, wire};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// Version of an object. It changes with each write, and no version is used
/// twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the last write of the object.
    pub version: Version,
    /// Value of the object, any JSON.
    pub value: Value,
}

impl VersionedObject {
    /// Deserializes the value as a `T`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Malformed`] if the value isn't a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        T::deserialize(&self.value).map_err(|error| PlatformError::Malformed {
            detail: format!("{}: {error}", self.key),
        })
    }
}

impl From<wire::StoredObject> for VersionedObject {
    fn from(object: wire::StoredObject) -> Self {
        Self {
            key: object.key,
            version: Version(object.version),
            value: object.value,
        }
    }
}

/// All objects whose keys start with a prefix, at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList {
    /// Highest version in the store. A watch that starts after it misses no
    /// change.
    pub version: Version,
    /// The objects, in ascending order of key.
    pub objects: Vec<VersionedObject>,
}

/// Changes that a watch observed.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChanges {
    /// Version after which the next watch continues.
    pub version: Version,
    /// The latest change of each key, in ascending order of version.
    pub changes: Vec<wire::ObjectChange>,
}
