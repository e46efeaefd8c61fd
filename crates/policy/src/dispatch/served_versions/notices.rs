//! What hosts tell each other of the versions that have served.

use super::history::Sighting;
use super::{RecordRevision, ServedVersions};
use crate::Timestamp;
use crate::dispatch::{SoftwareVersion, StreamLifetime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest number of versions in a notice, so that it fits into a datagram.
const MAX_NOTICE_VERSIONS: usize = 12;

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
    /// Lifetime that the record states; `None` from hosts of releases that don't tell it. It
    /// isn't part of the encoded form, which these releases decode too.
    #[serde(skip)]
    pub lifetime: Option<StreamLifetime>,
}

impl ServedVersions {
    /// Records what a peer knows. Returns whether it knew a later write of the record.
    pub fn record_notice(&mut self, now: Timestamp, notice: &VersionsNotice) -> bool {
        let history = self.history_mut(&notice.service);
        let era_of = |revision: Option<RecordRevision>| revision.map(|(era, _)| era);
        let (era, told_era) = (era_of(history.revision), era_of(notice.revision));
        if told_era > era {
            history.forget_recorded_lifetimes();
        }
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
        for one in &notice.versions {
            let known = history.versions.get_mut(&one.version);
            let Some(sighting) = known else {
                continue;
            };
            match one.lifetime {
                Some(lifetime) => {
                    sighting.raise_lifetime(lifetime);
                    if told_era >= era {
                        let recorded = sighting.recorded_lifetime;
                        sighting.recorded_lifetime = recorded.max(Some(lifetime));
                    }
                }
                None => sighting.raise_lifetime(StreamLifetime::unknown()),
            }
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
                lifetime: sighting.recorded_lifetime.or(Some(StreamLifetime::LEAST)),
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

    /// Returns whether peers have to be told of a write of a record, or of a version without
    /// one, that is new to this host.
    pub fn has_news(&self, now: Timestamp) -> bool {
        let mut services = self.services.values();
        services.any(|history| history.has_news(now))
    }
}
