//! The record in the store of the versions at which a service has served.
//!
//! Hosts keep nothing on disk. When all of them end at once, the record is what is left of
//! the knowledge which versions may have begun the streams that callers resume.

use super::{SoftwareVersion, StoreEra};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest difference between the clocks of two hosts.
pub(super) const CLOCK_MARGIN: Duration = Duration::from_secs(6);

/// Time for which the record keeps a version that is no longer listed.
const RETENTION_MS: i64 = 3_600_000;

/// Contents of the record of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Name of the service.
    pub service: String,
    /// Era of the store at the latest write. A store in another era may have lost writes.
    pub era: Option<StoreEra>,
    /// Unix time since which the record is complete, in milliseconds; `None` if it has been
    /// complete from the first stream on.
    #[serde(default)]
    pub complete_since_ms: Option<i64>,
    /// The versions that have served.
    pub versions: Vec<RecordedVersion>,
}

/// A version in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedVersion {
    /// The version; `None` stands for the entries that state none.
    pub version: Option<SoftwareVersion>,
    /// Unix time at which the version was last listed, in milliseconds; `None` if it was
    /// listed at the latest write.
    #[serde(default)]
    pub gone_ms: Option<i64>,
}

impl RecordedVersion {
    /// Returns the least time since the version was listed, by any host's clock.
    pub(super) fn least_age(&self, unix_ms: i64) -> Duration {
        self.gone_ms.map_or(Duration::ZERO, |gone_ms| {
            age_of(unix_ms, gone_ms).saturating_sub(CLOCK_MARGIN)
        })
    }
}

impl VersionRecord {
    /// Returns the entry of a version.
    pub(super) fn find(&self, version: Option<&SoftwareVersion>) -> Option<&RecordedVersion> {
        let mut versions = self.versions.iter();
        versions.find(|one| one.version.as_ref() == version)
    }

    /// Sets the entry of a version. Of two times at which it was last listed, the later one
    /// is kept.
    pub(super) fn set(&mut self, version: Option<&SoftwareVersion>, gone_ms: Option<i64>) {
        let mut versions = self.versions.iter_mut();
        match versions.find(|one| one.version.as_ref() == version) {
            Some(entry) if gone_ms.is_some() => entry.gone_ms = entry.gone_ms.max(gone_ms),
            Some(entry) => entry.gone_ms = None,
            None => self.versions.push(RecordedVersion {
                version: version.cloned(),
                gone_ms,
            }),
        }
    }

    /// Removes the versions that no stream can have begun for long.
    pub(super) fn remove_old(&mut self, unix_ms: i64) {
        let is_old = |gone_ms: i64| unix_ms.saturating_sub(gone_ms) > RETENTION_MS;
        self.versions
            .retain(|entry| !entry.gone_ms.is_some_and(is_old));
    }
}

/// Returns the time since `at_ms`, both as Unix times in milliseconds.
pub(super) fn age_of(unix_ms: i64, at_ms: i64) -> Duration {
    Duration::from_millis(u64::try_from(unix_ms.saturating_sub(at_ms)).unwrap_or(0))
}
