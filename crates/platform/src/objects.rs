//! Versioned objects as the system's parts see them.

use crate::{PlatformError, wire};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// Version of an object. Changes with each write and is never used twice.
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
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Value,
}

impl VersionedObject {
    /// Reads the value as a `T`.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Malformed`] when the value isn't one.
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

/// All objects under a prefix at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList {
    /// A watch that starts after this version misses nothing.
    pub version: Version,
    /// The objects, by rising key.
    pub objects: Vec<VersionedObject>,
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChanges {
    /// The next watch goes on after this version.
    pub version: Version,
    /// The latest change of each key, by rising version.
    pub changes: Vec<wire::ObjectChange>,
}
