//! Entries of the list that name no upstream, which another writer may have left.

use lagoonlift_adapter::store::{Revision, StoreObject};
use std::collections::HashMap;

/// Largest number of entries that are remembered.
const MAX_ENTRIES: usize = 1_000;

/// Longest part of a name in a log line, in bytes.
const MAX_SHOWN_BYTES: usize = 200;

/// The odd entries that have been logged, so that each is once a revision, however often the
/// list is read.
#[derive(Debug, Default)]
pub(crate) struct OddEntries {
    logged: HashMap<String, Revision>,
}

impl OddEntries {
    /// Logs an entry that names no upstream though it is there.
    pub(super) fn log(&mut self, object: &StoreObject) {
        if self.logged.get(&object.name) == Some(&object.revision) {
            return;
        }
        if self.logged.len() >= MAX_ENTRIES {
            self.logged.clear();
        }
        self.logged.insert(object.name.clone(), object.revision);
        tracing::warn!(
            upstream = shown_name(&object.name),
            name_bytes = object.name.len(),
            revision = object.revision.0,
            error = object.content_error,
            "the entry names no upstream to use"
        );
    }
}

/// Returns the part of a name that log lines show.
pub(super) fn shown_name(name: &str) -> &str {
    &name[..name.floor_char_boundary(MAX_SHOWN_BYTES)]
}
