//! What a host knows of the versions of one service.

use super::RecordRevision;
use super::routes::RouteHistory;
use crate::Timestamp;
use crate::dispatch::version_record::{RETENTION, VersionRecord};
use crate::dispatch::{SoftwareVersion, StreamLifetime};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a host may still begin streams at a version that another one has seen
/// leave the list.
pub(super) const VIEW_LAG: Duration = Duration::from_secs(5);

/// Time after which a version that no host lists is recorded as gone.
pub(super) const GONE_DELAY: Duration = Duration::from_secs(3);

/// Longest time for which the upstreams of a version get no requests, while others can
/// serve, because it isn't in the record.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// Longest time for which a service without recorded versions begins no streams. Callers
/// leave after 2 s without an event.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which they get none after the record has it, so that all hosts learn of the
/// version before a stream begins there.
pub(super) const NEWS_TIME: Duration = Duration::from_millis(300);

/// What is known of a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sighting {
    /// Latest time at which it may have been listed at any host.
    pub(super) listed_at: Timestamp,
    /// Lifetime that no stream which began at the version exceeds, as far as known here. It
    /// only rises.
    pub(super) lifetime: StreamLifetime,
    /// Lifetime that the record states; `None` if it states none.
    pub(super) recorded_lifetime: Option<StreamLifetime>,
    /// Latest time at which it was listed here.
    pub(super) seen_at: Option<Timestamp>,
    /// Whether the record has it as listed.
    pub(super) is_open: bool,
    /// Whether it was seen listed here while the record didn't have it as such.
    pub(super) is_unrecorded: bool,
    /// Time until which its upstreams get no requests.
    pub(super) held_until: Option<Timestamp>,
}

/// What is known of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceHistory {
    pub(super) versions: HashMap<Option<SoftwareVersion>, Sighting>,
    pub(super) revision: Option<RecordRevision>,
    /// Time at which this host learned of that write.
    pub(super) revision_known_at: Timestamp,
    /// Lifetime that streams to come are expected to have.
    pub(super) expected_lifetime: StreamLifetime,
    /// Time before which other versions may have served.
    pub(super) complete_since: Option<Timestamp>,
    /// Whether the record was last written before the store was restored.
    pub(super) has_outdated_record: bool,
    /// The routes that have led to the service.
    pub(super) routes: RouteHistory,
}

impl ServiceHistory {
    /// Forgets the versions that were listed long ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let gone = self.versions.values_mut().filter(|one| one.is_gone(now));
        gone.for_each(|one| (one.is_unrecorded, one.held_until) = (false, None));
        self.versions
            .retain(|_, one| one.is_open || now.since(one.listed_at) < RETENTION);
        self.routes.expire(now);
    }

    pub(super) fn set_open(
        &mut self,
        now: Timestamp,
        is_open: impl Fn(Option<&SoftwareVersion>) -> bool,
    ) {
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

    pub(super) fn has_news(&self, now: Timestamp) -> bool {
        let is_new_version = |one: &Sighting| {
            let held_until = one.held_until.filter(|_| one.is_unrecorded);
            held_until.is_some_and(|until| now + MAX_HOLD < until + NEWS_TIME)
        };
        let is_new_write = self.revision.is_some() && now.since(self.revision_known_at) < NEWS_TIME;
        is_new_write || self.versions.values().any(is_new_version)
    }

    pub(super) fn is_outdated(&self, now: Timestamp) -> bool {
        let is_outdated =
            |one: &Sighting| one.is_open != one.is_listed(now) || one.has_outdated_lifetime();
        // No stream has begun at a service without versions, whatever routes lead there.
        let has_outdated_routes = !self.versions.is_empty() && self.routes.is_outdated(now);
        self.has_outdated_record || has_outdated_routes || self.versions.values().any(is_outdated)
    }

    /// Returns the versions at which streams began that callers may still resume.
    pub(super) fn recent_versions(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = &Option<SoftwareVersion>> {
        let versions = self.versions.iter();
        let recent = versions.filter(move |(_, one)| one.is_recent(now));
        recent.map(|(name, _)| name)
    }

    /// Returns the lifetime that no stream of the service exceeds.
    pub(super) fn longest_lifetime(&self) -> StreamLifetime {
        let lifetimes = self.versions.values().map(|one| one.lifetime);
        lifetimes.max().unwrap_or(StreamLifetime::LONGEST)
    }

    /// Returns the lifetime of a version that is new to this host. Its callers are those of the
    /// other versions, which saves a write when their first long stream begins. A service
    /// whose record may lack versions may have lost all that was known of this one.
    pub(super) fn initial_lifetime(&self, now: Timestamp) -> StreamLifetime {
        let lifetimes = self.versions.values().map(|one| one.lifetime);
        let known = lifetimes.filter(|one| *one < StreamLifetime::LONGEST).max();
        let longest = StreamLifetime::LONGEST;
        let lacks_versions = |since| is_recent(now, since, longest);
        match known {
            None if self.complete_since.is_some_and(lacks_versions) => longest,
            known => self.expected_lifetime.max(known.unwrap_or_default()),
        }
    }

    /// Records that streams of any lifetime may have begun at the known versions.
    pub(super) fn forget_lifetimes(&mut self) {
        let sightings = self.versions.values_mut();
        sightings.for_each(|one| one.raise_lifetime(StreamLifetime::unknown()));
    }

    /// Takes over the lifetimes that the latest write of the record states.
    pub(super) fn set_recorded_lifetimes(&mut self, record: &VersionRecord) {
        for (version, sighting) in &mut self.versions {
            let entry = record.find(version.as_ref());
            sighting.recorded_lifetime = entry.and_then(|entry| entry.lifetime_s);
        }
    }

    /// Records that what the record stated may be lost.
    pub(super) fn forget_recorded_lifetimes(&mut self) {
        let sightings = self.versions.values_mut();
        sightings.for_each(|one| one.recorded_lifetime = None);
    }

    pub(super) fn has_record(&self) -> bool {
        let mut versions = self.versions.values();
        versions.any(|one| one.is_open) || self.versions.values().all(|one| !one.is_unrecorded)
    }
}

impl Sighting {
    pub(super) fn new(listed_at: Timestamp) -> Self {
        Self {
            listed_at,
            lifetime: StreamLifetime::LEAST,
            recorded_lifetime: None,
            seen_at: None,
            is_open: false,
            is_unrecorded: false,
            held_until: None,
        }
    }

    pub(super) fn record_listed(&mut self, now: Timestamp) {
        self.listed_at = now;
        self.seen_at = Some(now);
        if !self.is_open && !self.is_unrecorded {
            self.is_unrecorded = true;
            self.held_until = Some(now + MAX_HOLD);
        }
    }

    /// Records that a stream may have begun at the version that lives for `lifetime`.
    pub(super) fn raise_lifetime(&mut self, lifetime: StreamLifetime) {
        self.lifetime = self.lifetime.max(lifetime.rounded_up());
    }

    /// Returns whether the record states a lifetime that covers `lifetime`.
    pub(super) fn has_recorded(&self, lifetime: StreamLifetime) -> bool {
        self.recorded_lifetime.is_some_and(|one| one >= lifetime)
    }

    /// Returns whether the record has to state a longer lifetime. A version that left long ago
    /// isn't in the record any more.
    fn has_outdated_lifetime(&self) -> bool {
        match self.recorded_lifetime {
            Some(recorded) => recorded < self.lifetime,
            None => self.is_open,
        }
    }

    /// Returns whether streams that began at the version may still be resumed.
    pub(super) fn is_recent(&self, now: Timestamp) -> bool {
        is_recent(now, self.listed_at, self.lifetime)
    }

    /// Returns the time until which a new stream waits if all versions are held.
    pub(super) fn waits_until(&self) -> Option<Timestamp> {
        let held_until = self.held_until?;
        Some(match self.is_unrecorded {
            true => held_until - (MAX_HOLD - MAX_WAIT),
            false => held_until,
        })
    }

    /// Returns the time since the version was listed here, if peers may not know that yet.
    pub(super) fn seen_age(&self, now: Timestamp) -> Option<Duration> {
        let age = self.seen_at.map(|at| now.since(at));
        age.filter(|age| *age < VIEW_LAG)
    }

    /// Returns whether the record has to have the version as listed.
    pub(super) fn is_listed(&self, now: Timestamp) -> bool {
        !self.is_gone(now) && (self.is_open || self.is_unrecorded)
    }

    pub(super) fn is_gone(&self, now: Timestamp) -> bool {
        now.since(self.listed_at) >= GONE_DELAY
    }
}

/// Returns whether a stream of `lifetime` may still be resumed that began at a version which
/// was last listed at `at`.
pub(super) fn is_recent(now: Timestamp, at: Timestamp, lifetime: StreamLifetime) -> bool {
    now.since(at) < lifetime.duration() + VIEW_LAG
}
