//! Where a crash or a success was seen.

use crate::dispatch::UpstreamRecord;
use crate::dispatch::shared_hash::shared_hash;

/// What an upstream runs: a service, and the version of its software.
///
/// A suspect is the same at all services, but a crash or a success says something only of the
/// software that had it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceVersion {
    /// 32-bit hash of the service's name.
    pub service: u32,
    /// 32-bit hash of the version; `None` if it isn't known.
    pub version: Option<u32>,
}

impl ServiceVersion {
    /// Returns what the upstream with the entry `record` runs.
    pub fn of(record: &UpstreamRecord) -> Self {
        let version = record.version.as_ref();
        Self {
            service: service_hash(&record.service),
            version: version.map(|version| shared_hash(&version.0) as u32),
        }
    }

    /// Returns a service of which no version is known.
    pub fn of_service(service: &str) -> Self {
        Self {
            service: service_hash(service),
            version: None,
        }
    }

    /// Returns whether both may be the same software.
    pub(super) fn may_be(self, other: Self) -> bool {
        let is_other_version =
            self.version.is_some() && other.version.is_some() && self.version != other.version;
        self.service == other.service && !is_other_version
    }
}

/// Returns the hash that stands for a service in messages and stored objects.
pub(super) fn service_hash(service: &str) -> u32 {
    shared_hash(service) as u32
}
