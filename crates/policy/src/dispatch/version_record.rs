//! The record in the store of the versions at which a service has served.
//!
//! Hosts keep nothing on disk. When all of them end at once, the record is what is left of
//! the knowledge which versions may have begun the streams that callers resume.

use super::{RoutePattern, SoftwareVersion, StoreEra, StreamLifetime};
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
    /// The routes of resumable streams that have led to the service; `None` in records of
    /// releases that didn't state them, where any may have.
    #[serde(default)]
    pub routes: Option<RecordedRoutes>,
}

/// The routes in the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRoutes {
    /// Unix time since which the routes are complete, in milliseconds; `None` if they have
    /// been complete from the first stream on.
    #[serde(default)]
    pub complete_since_ms: Option<i64>,
    /// The routes.
    pub patterns: Vec<RecordedRoute>,
}

/// A route in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRoute {
    /// The requests that it took.
    pub pattern: RoutePattern,
    /// Unix time at which it last led to the service, in milliseconds; `None` if it did at the
    /// latest write.
    #[serde(default)]
    pub gone_ms: Option<i64>,
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
        least_age(self.gone_ms, unix_ms)
    }

    /// Returns the lifetime that no stream which began at the version exceeds.
    pub(super) fn lifetime(&self) -> StreamLifetime {
        self.lifetime_s.unwrap_or(StreamLifetime::unknown())
    }
}

impl RecordedRoute {
    /// Returns the least time since the route led to the service, by any host's clock.
    pub(super) fn least_age(&self, unix_ms: i64) -> Duration {
        least_age(self.gone_ms, unix_ms)
    }
}

impl RecordedRoutes {
    /// Returns the entry of a route.
    pub(super) fn find(&self, pattern: &RoutePattern) -> Option<&RecordedRoute> {
        let mut routes = self.patterns.iter();
        routes.find(|one| one.pattern == *pattern)
    }

    /// Sets the entry of a route. Of two times at which it last led to the service, the later
    /// one is kept.
    pub(super) fn set(&mut self, pattern: &RoutePattern, gone_ms: Option<i64>) {
        let mut routes = self.patterns.iter_mut();
        match routes.find(|one| one.pattern == *pattern) {
            Some(entry) => entry.gone_ms = later_end(entry.gone_ms, gone_ms),
            None => self.patterns.push(RecordedRoute {
                pattern: pattern.clone(),
                gone_ms,
            }),
        }
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
                entry.gone_ms = later_end(entry.gone_ms, gone_ms);
                entry.lifetime_s = Some(entry.lifetime().max(lifetime));
            }
            None => self.versions.push(RecordedVersion {
                version: version.cloned(),
                gone_ms,
                lifetime_s: Some(lifetime),
            }),
        }
    }

    /// Removes the versions at which no stream can have begun for long, and the routes by which
    /// none can.
    pub(super) fn remove_old(&mut self, unix_ms: i64) {
        let is_old = |gone_ms: i64| age_of(unix_ms, gone_ms) > RETENTION;
        self.versions
            .retain(|entry| !entry.gone_ms.is_some_and(is_old));
        if let Some(routes) = &mut self.routes {
            let patterns = &mut routes.patterns;
            patterns.retain(|entry| !entry.gone_ms.is_some_and(is_old));
        }
    }
}

/// Returns the least time since `gone_ms`, by any host's clock; none for what is still there.
fn least_age(gone_ms: Option<i64>, unix_ms: i64) -> Duration {
    gone_ms.map_or(Duration::ZERO, |gone_ms| {
        age_of(unix_ms, gone_ms).saturating_sub(CLOCK_MARGIN)
    })
}

/// Returns the time to record for what is gone since `told_ms`, where `known_ms` was recorded.
/// `None` stands for what is there.
fn later_end(known_ms: Option<i64>, told_ms: Option<i64>) -> Option<i64> {
    told_ms.map(|told| known_ms.map_or(told, |known| known.max(told)))
}

/// Returns the time since `at_ms`, both as Unix times in milliseconds.
pub(super) fn age_of(unix_ms: i64, at_ms: i64) -> Duration {
    Duration::from_millis(u64::try_from(unix_ms.saturating_sub(at_ms)).unwrap_or(0))
}
