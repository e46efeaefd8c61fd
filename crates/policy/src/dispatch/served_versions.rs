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
//! How long a stream lives its caller decides. The record has, for each version, a bound on the
//! lifetimes of the streams that began at it, which only rises. A stream that exceeds it
//! is filed by itself until the record covers it.
//!
//! A stream belongs to one service as well. A route may be split among several, or lead to
//! another one than when the stream began, so the record also has the routes that have led to
//! a service, and a stream that no host knows goes on only if one service alone can have
//! begun it (see [`ServedVersions::sole_service`]).
//!
//! A host that is cut off, or stood still, doesn't learn of versions that join meanwhile. What
//! it knows therefore counts only if it has just read the records, the list and the
//! configuration.

mod history;
mod notices;
mod origin;
mod routes;

pub use notices::{NoticedVersion, VersionsNotice};

use super::stream_versions::VersionDigest;
use super::version_record::{CLOCK_MARGIN, VersionRecord, age_of};
use super::{SoftwareVersion, StoreEra, StreamLifetime};
use crate::Timestamp;
use history::{NEWS_TIME, ServiceHistory, Sighting, is_recent};
use std::collections::HashMap;

/// A write of a record: the store's era and revision.
pub type RecordRevision = (Option<StoreEra>, u64);

/// The versions at which each service has served.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    services: HashMap<String, ServiceHistory>,
    /// Whether the records have been read since the start.
    is_read: bool,
    /// Time as of which the records, the list and the configuration were read last.
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

    /// Records that calls of the time `as_of` have read all records, the list of upstreams and
    /// the configuration, which were taken over.
    pub fn record_read(&mut self, as_of: Timestamp) {
        self.read_as_of = self.read_as_of.max(Some(as_of));
    }

    /// Returns whether the records, the list and the configuration were read so lately that one of
    /// them had every version, and every route, by which a stream has begun by now: a version gets
    /// requests only some time after its record.
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
        let is_first = !self.is_read;
        for (revision, record) in records {
            self.record_stored(now, unix_ms, (era, *revision), record);
            if is_first && record.era != era {
                self.history_mut(&record.service).forget_lifetimes();
            }
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
        history.routes.load(now, unix_ms, is_first, record);
        history.routes.set_recorded(now, revision, record);
        for entry in &record.versions {
            let listed_at = now - entry.least_age(unix_ms);
            // Hosts that run know better than the record when a version was last listed.
            let known = history.versions.entry(entry.version.clone());
            let sighting = known.or_insert(Sighting::new(listed_at));
            sighting.raise_lifetime(entry.lifetime());
        }
        if history.revision < Some(revision) {
            history.set_recorded_lifetimes(record);
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
                history.forget_recorded_lifetimes();
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
                sighting.lifetime = history.initial_lifetime(now);
                sighting.record_listed(now);
                history.versions.insert(version.cloned(), sighting);
            }
        }
    }

    /// Records that a stream begins that callers may resume for `lifetime`: at `version` or, if
    /// that is [`VersionDigest::DOUBTFUL`], at any version of the service. Returns whether
    /// the record covers the lifetime, as far as this host knows.
    pub fn record_stream(
        &mut self,
        service: &str,
        version: VersionDigest,
        lifetime: StreamLifetime,
    ) -> bool {
        let Some(history) = self.services.get_mut(service) else {
            return false;
        };
        let mut versions = history.versions.values();
        if versions.len() > 0 && versions.all(|one| one.has_recorded(lifetime)) {
            return true;
        }
        let began_at = |name: &_| {
            version == VersionDigest::DOUBTFUL || digest_of(service, name) == Some(version)
        };
        let versions = history.versions.iter_mut();
        let mut is_covered = false;
        for (_, sighting) in versions.filter(|(name, _)| began_at(name)) {
            sighting.raise_lifetime(lifetime);
            is_covered = sighting.has_recorded(lifetime);
        }
        is_covered
    }

    /// Returns whether the record covers the lifetime of a stream that began at `version`, as far
    /// as this host knows.
    pub fn is_covered(
        &self,
        service: &str,
        version: VersionDigest,
        lifetime: StreamLifetime,
    ) -> bool {
        let history = self.services.get(service);
        let mut versions = history.iter().flat_map(|history| &history.versions);
        versions.any(|(name, sighting)| {
            sighting.has_recorded(lifetime) && digest_of(service, name) == Some(version)
        })
    }

    /// Records that streams of `service` will begin that callers may resume for `lifetime`, so
    /// that the record covers it before they do.
    pub fn expect_lifetime(&mut self, service: &str, lifetime: StreamLifetime) {
        let history = self.history_mut(service);
        history.expected_lifetime = history.expected_lifetime.max(lifetime.rounded_up());
        let lifetime = history.expected_lifetime;
        let versions = history.versions.values_mut();
        let listed = versions.filter(|one| one.is_open || one.is_unrecorded);
        listed.for_each(|one| one.raise_lifetime(lifetime));
    }

    /// Records that another host files a stream by itself.
    pub fn record_filed_stream(&mut self, version: VersionDigest, lifetime: StreamLifetime) {
        for (service, history) in &mut self.services {
            for (name, sighting) in &mut history.versions {
                if sighting.lifetime < lifetime && digest_of(service, name) == Some(version) {
                    sighting.raise_lifetime(lifetime);
                }
            }
        }
    }

    /// Returns whether a stream of `service` may have begun at `version`.
    pub fn may_have_begun(&self, service: &str, version: VersionDigest) -> bool {
        let history = self.services.get(service);
        let mut names = history.iter().flat_map(|history| history.versions.keys());
        version == VersionDigest::DOUBTFUL
            || names.any(|name| digest_of(service, name) == Some(version))
    }

    /// Returns the services of which versions are known.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns `listed`, the only version that the list names, if it alone can have begun the
    /// streams of `service` that callers may still resume. What is known must be current.
    pub fn sole_version(
        &self,
        now: Timestamp,
        service: &str,
        listed: VersionDigest,
    ) -> Option<VersionDigest> {
        let history = self.services.get(service)?;
        let mut recent = history.recent_versions(now);
        let is_sole = recent.all(|name| digest_of(service, name) == Some(listed));
        let is_proven = is_sole && self.is_complete(now, history) && self.is_current(now);
        is_proven.then_some(listed)
    }

    /// Returns whether the streams of `service` that callers may still resume may have begun at
    /// several versions, or others at another service by the same route, as far as this host
    /// can tell.
    pub fn is_divided(&self, now: Timestamp, service: &str) -> bool {
        let Some(history) = self.services.get(service) else {
            return false;
        };
        !self.may_be_sole(now, history) || self.shares_routes(now, service, history)
    }

    /// Returns whether one version alone may have begun the streams of `service` that callers
    /// may still resume, as far as this host can tell.
    pub fn may_have_sole_version(&self, now: Timestamp, service: &str) -> bool {
        let history = self.services.get(service);
        history.is_some_and(|history| self.may_be_sole(now, history))
    }

    fn may_be_sole(&self, now: Timestamp, history: &ServiceHistory) -> bool {
        self.is_complete(now, history) && history.recent_versions(now).count() <= 1
    }

    /// Returns whether all versions are known at which streams began that callers may still
    /// resume.
    fn is_complete(&self, now: Timestamp, history: &ServiceHistory) -> bool {
        let lifetime = history.longest_lifetime();
        let since = history.complete_since;
        self.is_read && !since.is_some_and(|since| is_recent(now, since, lifetime))
    }

    /// Returns what is known of a service, for the log: each version with the time since it
    /// was listed and the longest lifetime of its streams, and whether the records have been read.
    pub fn summary(&self, now: Timestamp, service: &str) -> String {
        let history = self.services.get(service);
        let versions = history.iter().flat_map(|history| &history.versions);
        let mut parts: Vec<String> = versions
            .map(|(version, sighting)| {
                let name = version.as_ref().map_or("unstated", |one| one.0.as_str());
                let age_ms = now.since(sighting.listed_at).as_millis();
                let lifetime_s = sighting.lifetime.duration().as_secs();
                format!("{name} {age_ms} ms for {lifetime_s} s")
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
        let unix_of = |at: Timestamp| unix_ms_of(at, now, unix_ms);
        let since_ms = history.complete_since.map(unix_of);
        let mut record = VersionRecord {
            service: service.to_owned(),
            era,
            complete_since_ms: stored.map_or(since_ms, |stored| match stored.era == era {
                true => stored.complete_since_ms,
                false => since_ms,
            }),
            versions: stored.map_or_else(Vec::new, |stored| stored.versions.clone()),
            routes: Some(history.routes.updated(now, unix_ms, era, stored)),
        };
        for (version, sighting) in &history.versions {
            let gone_ms = match sighting.is_listed(now) {
                true => None,
                false => Some(unix_of(sighting.listed_at)),
            };
            record.set(version.as_ref(), gone_ms, sighting.lifetime);
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

/// Returns a time as Unix time in milliseconds, which is `unix_ms` at `now`.
fn unix_ms_of(at: Timestamp, now: Timestamp, unix_ms: i64) -> i64 {
    unix_ms - now.since(at).as_millis() as i64
}

fn digest_of(service: &str, version: &Option<SoftwareVersion>) -> Option<VersionDigest> {
    let version = version.as_ref()?;
    Some(VersionDigest::new(service, version))
}
