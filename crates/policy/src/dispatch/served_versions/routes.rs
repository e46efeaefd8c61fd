//! What a host knows of the routes that have led to one service.

use super::history::{GONE_DELAY, is_recent};
use super::{RecordRevision, unix_ms_of};
use crate::Timestamp;
use crate::dispatch::version_record::{CLOCK_MARGIN, RETENTION, VersionRecord, age_of};
use crate::dispatch::{RecordedRoutes, RoutePattern, StoreEra, StreamLifetime};
use std::collections::{HashMap, HashSet};

/// What is known of a route.
#[derive(Clone, Copy, Debug)]
struct RouteSighting {
    /// Latest time at which it may have led to the service at any host, unless it does now.
    used_at: Timestamp,
    /// Whether it leads there in the configuration in force.
    is_in_force: bool,
    /// Whether the record has it as leading there.
    is_open: bool,
}

/// The routes that have led to a service.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteHistory {
    routes: HashMap<RoutePattern, RouteSighting>,
    /// Time before which others may have led there.
    complete_since: Option<Timestamp>,
    /// Whether the record states no routes.
    is_unrecorded: bool,
    /// The latest write of the record that was read here. Notices of peers tell of later ones,
    /// but not their routes.
    revision: Option<RecordRevision>,
}

impl RouteHistory {
    /// Takes over the routes of a record. `is_first` says whether nothing was known before.
    pub(super) fn load(
        &mut self,
        now: Timestamp,
        unix_ms: i64,
        is_first: bool,
        record: &VersionRecord,
    ) {
        let since = match &record.routes {
            Some(stored) => stored.complete_since_ms.map(|since_ms| {
                let age = age_of(unix_ms, since_ms).saturating_sub(CLOCK_MARGIN);
                now - age
            }),
            None => Some(now),
        };
        if is_first {
            self.complete_since = self.complete_since.max(since);
        }
        let stored = record.routes.iter().flat_map(|routes| &routes.patterns);
        for entry in stored {
            let used_at = now - entry.least_age(unix_ms);
            let known = self.routes.entry(entry.pattern.clone());
            let sighting = known.or_insert(RouteSighting {
                used_at,
                is_in_force: false,
                is_open: false,
            });
            // A configuration may have come and gone that this host has never seen.
            if entry.gone_ms.is_some() {
                sighting.used_at = sighting.used_at.max(used_at);
            }
        }
    }

    /// Takes over which routes the record states, unless a later write is known.
    pub(super) fn set_recorded(
        &mut self,
        now: Timestamp,
        revision: RecordRevision,
        record: &VersionRecord,
    ) {
        if self.revision >= Some(revision) {
            return;
        }
        self.revision = Some(revision);
        self.is_unrecorded = record.routes.is_none();
        for (pattern, sighting) in &mut self.routes {
            let entry = record.routes.as_ref().and_then(|one| one.find(pattern));
            let was_open = sighting.is_open;
            sighting.is_open = entry.is_some_and(|entry| entry.gone_ms.is_none());
            if sighting.is_open && !was_open {
                sighting.used_at = now;
            }
        }
    }

    /// Records which routes lead to the service in the configuration in force.
    pub(super) fn set_in_force(&mut self, now: Timestamp, in_force: &HashSet<RoutePattern>) {
        for (pattern, sighting) in &mut self.routes {
            if sighting.is_in_force {
                sighting.used_at = now;
            }
            sighting.is_in_force = in_force.contains(pattern);
        }
        for pattern in in_force {
            let known = self.routes.entry(pattern.clone());
            known.or_insert(RouteSighting {
                used_at: now,
                is_in_force: true,
                is_open: false,
            });
        }
    }

    /// Returns whether no stream can have come to the service.
    pub(super) fn is_unused(&self) -> bool {
        self.routes.is_empty() && self.complete_since.is_none()
    }

    /// Returns whether a stream that lives for `lifetime` at most, and that callers may still
    /// resume, may have come by a route that `accepts` names.
    pub(super) fn may_have_led(
        &self,
        now: Timestamp,
        lifetime: StreamLifetime,
        accepts: impl Fn(&RoutePattern) -> bool,
    ) -> bool {
        let mut recent = self.recent(now, lifetime);
        !self.is_complete(now, lifetime) || recent.any(accepts)
    }

    /// Returns whether a stream may have come both by a route of this service and one of another.
    pub(super) fn overlaps(
        &self,
        now: Timestamp,
        lifetime: StreamLifetime,
        other: &Self,
        other_lifetime: StreamLifetime,
    ) -> bool {
        if !self.is_complete(now, lifetime) {
            return true;
        }
        let mut recent = self.recent(now, lifetime);
        recent.any(|one| other.may_have_led(now, other_lifetime, |two| one.overlaps(two)))
    }

    fn recent(
        &self,
        now: Timestamp,
        lifetime: StreamLifetime,
    ) -> impl Iterator<Item = &RoutePattern> {
        let recent = self.routes.iter().filter(move |(_, sighting)| {
            sighting.is_in_force || is_recent(now, sighting.used_at, lifetime)
        });
        recent.map(|(pattern, _)| pattern)
    }

    fn is_complete(&self, now: Timestamp, lifetime: StreamLifetime) -> bool {
        !self
            .complete_since
            .is_some_and(|since| is_recent(now, since, lifetime))
    }

    /// Returns whether the record has to state other routes.
    pub(super) fn is_outdated(&self, now: Timestamp) -> bool {
        let mut routes = self.routes.values();
        self.is_unrecorded || routes.any(|one| one.is_open != one.is_used(now))
    }

    /// Returns the routes as they have to be written, in `era`, in place of those of `stored`.
    pub(super) fn updated(
        &self,
        now: Timestamp,
        unix_ms: i64,
        era: Option<StoreEra>,
        stored: Option<&VersionRecord>,
    ) -> RecordedRoutes {
        let unix_of = |at: Timestamp| unix_ms_of(at, now, unix_ms);
        let kept = stored.and_then(|stored| stored.routes.clone());
        let is_of_era = stored.is_some_and(|stored| stored.era == era);
        let complete_since_ms = match &kept {
            Some(kept) if is_of_era => kept.complete_since_ms,
            _ => self.complete_since.map(unix_of),
        };
        let mut routes = RecordedRoutes {
            complete_since_ms,
            ..kept.unwrap_or_default()
        };
        for (pattern, sighting) in &self.routes {
            let gone_ms = match sighting.is_used(now) {
                true => None,
                false => Some(unix_of(sighting.used_at)),
            };
            routes.set(pattern, gone_ms);
        }
        routes
    }

    /// Forgets the routes that led to the service long ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.routes
            .retain(|_, one| one.is_in_force || one.is_open || now.since(one.used_at) < RETENTION);
    }
}

impl RouteSighting {
    /// Returns whether the record has to have the route as leading to the service. Other hosts
    /// may be behind with the configuration for a while.
    fn is_used(&self, now: Timestamp) -> bool {
        self.is_in_force || self.is_open && now.since(self.used_at) < GONE_DELAY
    }
}
