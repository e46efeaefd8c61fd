//! The record in the store of the versions at which a service has served.
//!
//! Hosts keep nothing on disk. When all of them end at once, the record is what is left of
//! the knowledge which versions may have begun the streams that callers resume.

use super::{SoftwareVersion, StoreEra, StreamLifetime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest difference between the clocks of two hosts.
pub(super) const CLOCK_MARGIN: Duration = Duration::from_secs(6);

/// Time for which a version is known that is no longer listed: longer than any stream lives
/// that began at it, by any host's clock.
pub(super) const RETENTION: Duration = Duration::from_secs(4_200);

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
    /// Lifetime that no stream which began at the version exceeds; `None` in records of
    /// releases that didn't state it, where it is unknown.
    #[serde(default)]
    pub lifetime_s: Option<StreamLifetime>,
}

impl RecordedVersion {
    /// Returns the least time since the version was listed, by any host's clock.
    pub(super) fn least_age(&self, unix_ms: i64) -> Duration {
        self.gone_ms.map_or(Duration::ZERO, |gone_ms| {
            age_of(unix_ms, gone_ms).saturating_sub(CLOCK_MARGIN)
        })
    }

    /// Returns the lifetime that no stream which began at the version exceeds.
    pub(super) fn lifetime(&self) -> StreamLifetime {
        self.lifetime_s.unwrap_or(StreamLifetime::unknown())
    }
}

impl VersionRecord {
    /// Returns the entry of a version.
    pub(super) fn find(&self, version: Option<&SoftwareVersion>) -> Option<&RecordedVersion> {
        let mut versions = self.versions.iter();
        versions.find(|one| one.version.as_ref() == version)
    }

    /// Sets the entry of a version. Of two times at which it was last listed, and of two
    /// lifetimes, the later and the longer one are kept.
    pub(super) fn set(
        &mut self,
        version: Option<&SoftwareVersion>,
        gone_ms: Option<i64>,
        lifetime: StreamLifetime,
    ) {
        let mut versions = self.versions.iter_mut();
        match versions.find(|one| one.version.as_ref() == version) {
            Some(entry) => {
                entry.gone_ms = gone_ms.map(|at| entry.gone_ms.map_or(at, |known| known.max(at)));
                entry.lifetime_s = Some(entry.lifetime().max(lifetime));
            }
            None => self.versions.push(RecordedVersion {
                version: version.cloned(),
                gone_ms,
                lifetime_s: Some(lifetime),
            }),
        }
    }

    /// Removes the versions that no stream can have begun for long.
    pub(super) fn remove_old(&mut self, unix_ms: i64) {
        let is_old = |gone_ms: i64| age_of(unix_ms, gone_ms) > RETENTION;
        self.versions
            .retain(|entry| !entry.gone_ms.is_some_and(is_old));
    }
}

/// Returns the time since `at_ms`, both as Unix times in milliseconds.
pub(super) fn age_of(unix_ms: i64, at_ms: i64) -> Duration {
    Duration::from_millis(u64::try_from(unix_ms.saturating_sub(at_ms)).unwrap_or(0))
}
