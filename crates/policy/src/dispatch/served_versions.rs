//! The versions at which each service has served, as this host knows.
//!
//! A caller may resume a stream that no host knows any more. The stream may go on only if
//! one version alone can have begun it. That follows from the record in the store, which
//! outlives all hosts, and from what this host and its peers have seen listed since.
//!
//! A version is written to the record before its upstreams get requests, as far as others
//! can serve meanwhile. A service without a record has therefore begun no stream, unless
//! the store was restored from a copy that lacks the record.
//!
//! A host that is cut off, or stood still, doesn't learn of versions that join meanwhile. What
//! it knows therefore counts only if it has just read the records and the list.

mod history;
mod notices;

pub use notices::{NoticedVersion, VersionsNotice};

use super::stream_versions::VersionDigest;
use super::version_record::{CLOCK_MARGIN, VersionRecord, age_of};
use super::{SoftwareVersion, StoreEra};
use crate::Timestamp;
use history::{NEWS_TIME, ServiceHistory, Sighting, VIEW_LAG};
use std::collections::HashMap;
use std::time::Duration;

/// A write of a record: the store's era and revision.
pub type RecordRevision = (Option<StoreEra>, u64);

/// The versions at which each service has served.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    services: HashMap<String, ServiceHistory>,
    /// Whether the records have been read since the start.
    is_read: bool,
    /// Time as of which the records and the list were read last.
    read_as_of: Option<Timestamp>,
    /// Completeness of the services that have no record.
    complete_since: Option<Timestamp>,
}

impl ServedVersions {
    /// Creates an instance that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the records have been read since the start.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Records that calls of the time `as_of` have read all records and the list of upstreams,
    /// which were taken over.
    pub fn record_read(&mut self, as_of: Timestamp) {
        self.read_as_of = self.read_as_of.max(Some(as_of));
    }

    /// Returns whether the records and the list were read so lately that one of them had every
    /// version at which a stream has begun by now: a version gets requests only some time after
    /// its record.
    pub fn is_current(&self, now: Timestamp) -> bool {
        self.read_as_of
            .is_some_and(|as_of| now.since(as_of) < NEWS_TIME)
    }

    /// Takes over all records of the store, read in `era`. With `has_malformed`, some could
    /// not be decoded.
    pub fn load(
        &mut self,
        now: Timestamp,
        unix_ms: i64,
        era: Option<StoreEra>,
        records: &[(u64, VersionRecord)],
        has_malformed: bool,
    ) {
        let is_restored = era.is_some_and(|era| era > StoreEra(0));
        let is_outdated = records.iter().any(|(_, record)| record.era != era);
        let may_lack_records = is_outdated || records.is_empty() && is_restored || has_malformed;
        if !self.is_read && may_lack_records {
            self.complete_since = Some(now);
            for history in self.services.values_mut() {
                history.complete_since = Some(now);
            }
        }
        for (revision, record) in records {
            self.record_stored(now, unix_ms, (era, *revision), record);
        }
        self.is_read = true;
    }

    /// Takes over one record, as it was read or written in the store.
    pub fn record_stored(
        &mut self,
        now: Timestamp,
        unix_ms: i64,
        revision: RecordRevision,
        record: &VersionRecord,
    ) {
        let is_first = !self.is_read;
        let history = self.history_mut(&record.service);
        if is_first && let Some(since_ms) = record.complete_since_ms {
            let age = age_of(unix_ms, since_ms).saturating_sub(CLOCK_MARGIN);
            let since = history.complete_since.unwrap_or_default();
            history.complete_since = Some(since.max(now - age));
        }
        for entry in &record.versions {
            let listed_at = now - entry.least_age(unix_ms);
            // Hosts that run know better than the record when a version was last listed.
            history
                .versions
                .entry(entry.version.clone())
                .or_insert(Sighting::new(listed_at));
        }
        if history.revision < Some(revision) {
            history.revision = Some(revision);
            history.revision_known_at = now;
            history.has_outdated_record = record.era != revision.0;
            history.set_open(now, |version| {
                let entry = record.find(version);
                entry.is_some_and(|entry| entry.gone_ms.is_none())
            });
        }
    }

    /// Records that the store was restored in `era`: its records may be older than known,
    /// and have to be written again.
    pub fn record_restored(&mut self, era: StoreEra) {
        for history in self.services.values_mut() {
            if history.revision < Some((Some(era), 0)) {
                history.revision = Some((Some(era), 0));
                history.has_outdated_record = true;
            }
        }
    }

    /// Records that an upstream of `service` with this version is listed.
    pub fn record_listed(
        &mut self,
        now: Timestamp,
        service: &str,
        version: Option<&SoftwareVersion>,
    ) {
        let history = self.history_mut(service);
        match history.versions.get_mut(&version.cloned()) {
            Some(sighting) => sighting.record_listed(now),
            None => {
                let mut sighting = Sighting::new(now);
                sighting.record_listed(now);
                history.versions.insert(version.cloned(), sighting);
            }
        }
    }

    /// Returns `listed`, the only version that the list names, if it alone can have begun the
    /// streams of `service` that last up to `lifetime`. What is known must be current.
    pub fn sole_version(
        &self,
        now: Timestamp,
        service: &str,
        listed: VersionDigest,
        lifetime: Duration,
    ) -> Option<VersionDigest> {
        let history = self.services.get(service)?;
        let period = lifetime + VIEW_LAG;
        let is_recent = |at: Timestamp| now.since(at) < period;
        let is_complete = self.is_read && !history.complete_since.is_some_and(is_recent);
        let recent = history.versions.iter();
        let mut recent = recent.filter(|(_, sighting)| is_recent(sighting.listed_at));
        let is_listed = |version: &Option<SoftwareVersion>| {
            let digest = version.as_ref().map(|one| VersionDigest::new(service, one));
            digest == Some(listed)
        };
        let is_sole = recent.all(|(version, _)| is_listed(version));
        (is_complete && is_sole && self.is_current(now)).then_some(listed)
    }

    /// Returns whether streams of `service` that last up to `lifetime` may have begun at
    /// several versions, as far as this host can tell.
    pub fn is_divided(&self, now: Timestamp, service: &str, lifetime: Duration) -> bool {
        let Some(history) = self.services.get(service) else {
            return false;
        };
        let period = lifetime + VIEW_LAG;
        let is_recent = |at: Timestamp| now.since(at) < period;
        let is_complete = self.is_read && !history.complete_since.is_some_and(is_recent);
        let versions = history.versions.values();
        let recent = versions.filter(|sighting| is_recent(sighting.listed_at));
        !is_complete || recent.count() > 1
    }

    /// Returns the longest time for which a stream that lasts up to `lifetime` may have to be
    /// known, by any host's clock.
    pub fn known_for(lifetime: Duration) -> Duration {
        lifetime + VIEW_LAG + CLOCK_MARGIN
    }

    /// Returns what is known of a service, for the log: each version with the time since it
    /// was listed, and whether the records have been read.
    pub fn summary(&self, now: Timestamp, service: &str) -> String {
        let history = self.services.get(service);
        let versions = history.iter().flat_map(|history| &history.versions);
        let mut parts: Vec<String> = versions
            .map(|(version, sighting)| {
                let name = version.as_ref().map_or("unstated", |one| one.0.as_str());
                format!("{name} {} ms", now.since(sighting.listed_at).as_millis())
            })
            .collect();
        let since = history.and_then(|history| history.complete_since);
        parts.extend(since.map(|at| format!("complete {} ms", now.since(at).as_millis())));
        parts.extend((!self.is_read).then(|| "records not read".to_owned()));
        parts.join(", ")
    }

    /// Returns whether the upstreams of a listed version get no requests yet, because the
    /// version isn't in the record.
    pub fn is_held(
        &self,
        now: Timestamp,
        service: &str,
        version: Option<&SoftwareVersion>,
    ) -> bool {
        let history = self.services.get(service);
        let sighting = history.and_then(|history| history.versions.get(&version.cloned()));
        let held_until = sighting.and_then(|sighting| sighting.held_until);
        held_until.is_some_and(|until| now < until)
    }

    /// Returns the time until which a new stream of `service` waits if the upstreams of all
    /// versions are held.
    pub fn waits_until(&self, service: &str) -> Option<Timestamp> {
        let versions = self.services.get(service)?.versions.values();
        versions.filter_map(Sighting::waits_until).max()
    }

    /// Returns whether the record has a listed version of each service that has upstreams.
    pub fn has_records(&self) -> bool {
        let mut services = self.services.values();
        self.is_read && services.all(ServiceHistory::has_record)
    }

    /// Returns the services whose record has to be written, as far as known here.
    pub fn outdated(&self, now: Timestamp) -> Vec<String> {
        let services = self.services.iter();
        let outdated = services.filter(|(_, history)| history.is_outdated(now));
        outdated.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the record of `service` as it has to be written in place of `stored`; `None`
    /// if it needs no change.
    pub fn updated_record(
        &self,
        now: Timestamp,
        unix_ms: i64,
        era: Option<StoreEra>,
        service: &str,
        stored: Option<&VersionRecord>,
    ) -> Option<VersionRecord> {
        let history = self.services.get(service)?;
        let unix_of = |at: Timestamp| unix_ms - now.since(at).as_millis() as i64;
        let since_ms = history.complete_since.map(unix_of);
        let mut record = VersionRecord {
            service: service.to_owned(),
            era,
            complete_since_ms: stored.map_or(since_ms, |stored| match stored.era == era {
                true => stored.complete_since_ms,
                false => since_ms,
            }),
            versions: stored.map_or_else(Vec::new, |stored| stored.versions.clone()),
        };
        for (version, sighting) in &history.versions {
            let gone_ms = match sighting.is_listed(now) {
                true => None,
                false => Some(unix_of(sighting.listed_at)),
            };
            record.set(version.as_ref(), gone_ms);
        }
        if stored == Some(&record) {
            return None;
        }
        record.remove_old(unix_ms);
        Some(record)
    }

    /// Forgets the versions that were listed long ago.
    pub fn expire(&mut self, now: Timestamp) {
        for history in self.services.values_mut() {
            history.expire(now);
        }
    }

    fn history_mut(&mut self, service: &str) -> &mut ServiceHistory {
        let complete_since = self.complete_since;
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceHistory {
                complete_since,
                ..ServiceHistory::default()
            })
    }
}
