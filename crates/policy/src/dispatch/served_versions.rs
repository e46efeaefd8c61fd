//! The versions at which each service has served, as this host knows.
//!
//! A caller may resume a stream that no host knows any more. The stream may go on only if
//! one version alone can have begun it. That follows from the record in the store, which
//! outlives all hosts, and from what this host and its peers have seen listed since.
//!
//! A version is written to the record before its upstreams get requests, as far as others
//! can serve meanwhile. A service without a record has therefore begun no stream, unless
//! the store was restored from a copy that lacks the record.

use super::stream_versions::VersionDigest;
use super::version_record::{CLOCK_MARGIN, VersionRecord, age_of};
use super::{SoftwareVersion, StoreEra};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a host may still begin streams at a version that another one has seen
/// leave the list.
const VIEW_LAG: Duration = Duration::from_secs(5);

/// Time after which a version that no host lists is recorded as gone.
const GONE_DELAY: Duration = Duration::from_secs(3);

/// Time for which a version is known here after it was last listed.
const RETENTION: Duration = Duration::from_secs(900);

/// Longest time for which the upstreams of a version get no requests, while others can
/// serve, because it isn't in the record.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// Largest number of versions in a notice, so that it fits into a datagram.
const MAX_NOTICE_VERSIONS: usize = 12;

/// Time for which they get none after the record has it, so that all hosts learn of the
/// version before a stream begins there.
const NEWS_TIME: Duration = Duration::from_millis(300);

/// A write of a record: the store's era and revision.
pub type RecordRevision = (Option<StoreEra>, u64);

/// A host's message about the versions of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsNotice {
    /// Name of the service.
    pub service: String,
    /// The latest write of the record that the sender knows.
    pub revision: Option<RecordRevision>,
    /// Whether the record was last written before the store was restored.
    pub has_outdated_record: bool,
    /// The versions that are listed or in the record as listed, the latter first.
    pub versions: Vec<NoticedVersion>,
}

/// A version in a notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticedVersion {
    /// The version; `None` stands for the entries that state none.
    pub version: Option<SoftwareVersion>,
    /// Time since the sender itself saw it listed, in milliseconds; `None` if that is long
    /// ago. What others saw isn't passed on, since the time on the way would make it seem
    /// later with each host that passes it on.
    pub age_ms: Option<u32>,
    /// Whether the record has it as listed.
    pub is_open: bool,
}

/// What is known of a version.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    /// Latest time at which it may have been listed at any host.
    listed_at: Timestamp,
    /// Latest time at which it was listed here.
    seen_at: Option<Timestamp>,
    /// Whether the record has it as listed.
    is_open: bool,
    /// Whether it was seen listed here while the record didn't have it as such.
    is_unrecorded: bool,
    /// Time until which its upstreams get no requests.
    held_until: Option<Timestamp>,
}

/// What is known of a service.
#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    versions: HashMap<Option<SoftwareVersion>, Sighting>,
    revision: Option<RecordRevision>,
    /// Time at which this host learned of that write.
    revision_known_at: Timestamp,
    /// Time before which other versions may have served.
    complete_since: Option<Timestamp>,
    /// Whether the record was last written before the store was restored.
    has_outdated_record: bool,
}

/// The versions at which each service has served.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    services: HashMap<String, ServiceHistory>,
    /// Whether the records have been read since the start.
    is_read: bool,
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

    /// Records what a peer knows. Returns whether it knew a later write of the record.
    pub fn record_notice(&mut self, now: Timestamp, notice: &VersionsNotice) -> bool {
        let history = self.history_mut(&notice.service);
        for one in &notice.versions {
            let Some(age_ms) = one.age_ms else {
                continue;
            };
            let listed_at = now - Duration::from_millis(age_ms.into());
            let known = history.versions.entry(one.version.clone());
            let sighting = known.or_insert(Sighting::new(listed_at));
            sighting.listed_at = sighting.listed_at.max(listed_at);
        }
        let is_later = notice.revision > history.revision;
        if is_later {
            history.revision = notice.revision;
            history.revision_known_at = now;
            history.has_outdated_record = notice.has_outdated_record;
            for one in notice.versions.iter().filter(|one| one.is_open) {
                let known = history.versions.entry(one.version.clone());
                known.or_insert(Sighting::new(now));
            }
            history.set_open(now, |version| {
                let mut versions = notice.versions.iter();
                versions.any(|one| one.version.as_ref() == version && one.is_open)
            });
        }
        is_later
    }

    /// Returns what peers have to know, by service.
    pub fn notices(&self, now: Timestamp) -> Vec<VersionsNotice> {
        let notices = self.services.iter().map(|(service, history)| {
            let known = history.versions.iter();
            let known = known.map(|(version, sighting)| NoticedVersion {
                version: version.clone(),
                age_ms: sighting.seen_age(now).map(|age| age.as_millis() as u32),
                is_open: sighting.is_open,
            });
            let mut versions: Vec<NoticedVersion> = known
                .filter(|one| one.is_open || one.age_ms.is_some())
                .collect();
            versions.sort_by_key(|one| !one.is_open);
            versions.truncate(MAX_NOTICE_VERSIONS);
            VersionsNotice {
                service: service.clone(),
                revision: history.revision,
                has_outdated_record: history.has_outdated_record,
                versions,
            }
        });
        notices.collect()
    }

    /// Returns `listed`, the only version that the list names, if it alone can have begun the
    /// streams of `service` that last up to `lifetime`.
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
        (is_complete && is_sole).then_some(listed)
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

    /// Returns whether peers have to be told of a write of a record that is new to this host.
    pub fn has_news(&self, now: Timestamp) -> bool {
        let mut services = self.services.values();
        services.any(|history| {
            history.revision.is_some() && now.since(history.revision_known_at) < NEWS_TIME
        })
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
            let gone = history.versions.values_mut().filter(|one| one.is_gone(now));
            gone.for_each(|one| (one.is_unrecorded, one.held_until) = (false, None));
            history
                .versions
                .retain(|_, one| one.is_open || now.since(one.listed_at) < RETENTION);
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

impl ServiceHistory {
    fn set_open(&mut self, now: Timestamp, is_open: impl Fn(Option<&SoftwareVersion>) -> bool) {
        let is_alone = self.versions.len() == 1;
        for (version, sighting) in &mut self.versions {
            let was_open = sighting.is_open;
            sighting.is_open = is_open(version.as_ref());
            if sighting.is_open && !was_open {
                sighting.listed_at = now;
                sighting.is_unrecorded = false;
                sighting.held_until = (!is_alone).then_some(now + NEWS_TIME);
            }
        }
    }

    fn is_outdated(&self, now: Timestamp) -> bool {
        let mut versions = self.versions.values();
        self.has_outdated_record || versions.any(|one| one.is_open != one.is_listed(now))
    }

    fn has_record(&self) -> bool {
        let mut versions = self.versions.values();
        versions.any(|one| one.is_open) || self.versions.values().all(|one| !one.is_unrecorded)
    }
}

impl Sighting {
    fn new(listed_at: Timestamp) -> Self {
        Self {
            listed_at,
            seen_at: None,
            is_open: false,
            is_unrecorded: false,
            held_until: None,
        }
    }

    fn record_listed(&mut self, now: Timestamp) {
        self.listed_at = now;
        self.seen_at = Some(now);
        if !self.is_open && !self.is_unrecorded {
            self.is_unrecorded = true;
            self.held_until = Some(now + MAX_HOLD);
        }
    }

    /// Returns the time since the version was listed here, if peers may not know that yet.
    fn seen_age(&self, now: Timestamp) -> Option<Duration> {
        let age = self.seen_at.map(|at| now.since(at));
        age.filter(|age| *age < VIEW_LAG)
    }

    /// Returns whether the record has to have the version as listed.
    fn is_listed(&self, now: Timestamp) -> bool {
        !self.is_gone(now) && (self.is_open || self.is_unrecorded)
    }

    fn is_gone(&self, now: Timestamp) -> bool {
        now.since(self.listed_at) >= GONE_DELAY
    }
}
