//! The object store: versioned objects with conditional writes.

use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoredObject {
    /// Key of the object.
    pub key: String,
    /// Version of the object's last write.
    pub version: u64,
    /// Value of the object.
    pub value: Value,
}

/// A write or deletion that took effect.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectChange {
    /// Key of the object.
    pub key: String,
    /// Version assigned to the write.
    pub version: u64,
    /// Value written; `None` for a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// A copy of the objects in the store.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    objects: BTreeMap<String, StoredObject>,
}

/// The objects and the history of all writes.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<String, StoredObject>,
    history: Vec<ObjectChange>,
    version: u64,
}

impl ObjectStore {
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn history(&self) -> &[ObjectChange] {
        &self.history
    }

    pub(crate) fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<StoredObject> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Returns the latest change of each key under `prefix` with a version above
    /// `after`, ordered by version.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Vec<ObjectChange> {
        let first = self
            .history
            .partition_point(|change| change.version <= after);
        let mut latest = BTreeMap::new();
        for change in &self.history[first..] {
            if change.key.starts_with(prefix) {
                latest.insert(change.key.as_str(), change);
            }
        }
        let mut changes: Vec<_> = latest.into_values().cloned().collect();
        changes.sort_by_key(|change| change.version);
        changes
    }

    /// Writes an object and returns its new version if the condition holds. Otherwise
    /// the error is the current object, if it exists.
    pub(crate) fn put_if(
        &mut self,
        key: &str,
        value: Value,
        condition: WriteCondition,
    ) -> Result<u64, Option<StoredObject>> {
        self.check(key, condition)?;
        Ok(self.put(key, value))
    }

    /// Deletes an object and returns the deletion's version if the condition holds.
    /// Otherwise the error is the current object, if it exists.
    pub(crate) fn delete_if(
        &mut self,
        key: &str,
        condition: WriteCondition,
    ) -> Result<u64, Option<StoredObject>> {
        self.check(key, condition)?;
        self.objects.remove(key);
        Ok(self.record(key, None))
    }

    pub(crate) fn put(&mut self, key: &str, value: Value) -> u64 {
        let version = self.record(key, Some(value.clone()));
        let object = StoredObject {
            key: key.to_owned(),
            version,
            value,
        };
        self.objects.insert(key.to_owned(), object);
        version
    }

    pub(crate) fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            objects: self.objects.clone(),
        }
    }

    /// Restores the objects and returns the store's version, which isn't reset.
    pub(crate) fn restore(&mut self, snapshot: StoreSnapshot) -> u64 {
        self.objects = snapshot.objects;
        self.version
    }

    fn check(&self, key: &str, condition: WriteCondition) -> Result<(), Option<StoredObject>> {
        let current = self.objects.get(key);
        let is_met = match (condition, current) {
            (WriteCondition::Absent, None) => true,
            (WriteCondition::Version(version), Some(object)) => object.version == version,
            _ => false,
        };
        if is_met {
            Ok(())
        } else {
            Err(current.cloned())
        }
    }

    fn record(&mut self, key: &str, value: Option<Value>) -> u64 {
        self.version += 1;
        self.history.push(ObjectChange {
            key: key.to_owned(),
            version: self.version,
            value,
        });
        self.version
    }
}
