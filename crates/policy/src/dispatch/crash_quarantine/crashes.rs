//! The crashes that this host knows, its own and those that peers told of.

use super::{CrashId, ServiceVersion};
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which a crash is forgotten.
const RETENTION: Duration = Duration::from_secs(600);

/// Largest number of crashes that are remembered.
const MAX_CRASHES: usize = 512;

/// Crashes that begin within this time of the first of a group are one episode.
pub(super) const EPISODE_TIME: Duration = Duration::from_millis(50);

/// One crash of an upstream.
#[derive(Clone, Copy, Debug)]
struct Crash {
    origin: ServiceVersion,
    /// Earliest time that any notice of the crash implies. A delayed notice implies a
    /// later time than the true one.
    at: Timestamp,
    /// Whether a quarantined suspect was on the upstream.
    is_explained: bool,
}

/// The known crashes by identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownCrashes(HashMap<CrashId, Crash>);

impl KnownCrashes {
    /// Records a crash at the time `at`, or an earlier time of a known one.
    pub(super) fn record(&mut self, crash: CrashId, origin: ServiceVersion, at: Timestamp) {
        if self.0.len() >= MAX_CRASHES && !self.0.contains_key(&crash) {
            self.remove_oldest();
        }
        let new = Crash {
            origin,
            at,
            is_explained: false,
        };
        let known = self.0.entry(crash).or_insert(new);
        if known.origin.version.is_none() {
            known.origin = origin;
        }
        known.at = known.at.min(at);
    }

    /// Records that a quarantined suspect explains a crash; returns whether this is new.
    pub(super) fn explain(&mut self, crash: CrashId) -> bool {
        let known = self.0.get_mut(&crash);
        known.is_some_and(|known| !std::mem::replace(&mut known.is_explained, true))
    }

    /// Returns whether a crash is explained.
    pub(super) fn is_explained(&self, crash: CrashId) -> bool {
        self.0.get(&crash).is_some_and(|known| known.is_explained)
    }

    /// Returns when a crash happened; `None` if it was forgotten.
    pub(super) fn time_of(&self, crash: CrashId) -> Option<Timestamp> {
        self.0.get(&crash).map(|known| known.at)
    }

    /// Returns what the upstream of a crash ran; `None` if the crash was forgotten.
    pub(super) fn origin_of(&self, crash: CrashId) -> Option<ServiceVersion> {
        self.0.get(&crash).map(|known| known.origin)
    }

    /// Returns the unexplained crashes at some services from the time `from` to `to`.
    pub(super) fn between(
        &self,
        services: &[u32],
        from: Timestamp,
        to: Timestamp,
    ) -> impl Iterator<Item = (CrashId, Timestamp)> {
        let crashes = self.unexplained_between(from, to);
        let crashes = crashes.filter(|(_, known)| services.contains(&known.origin.service));
        crashes.map(|(id, known)| (id, known.at))
    }

    /// Returns the unexplained crashes at all services from the time `from` to `to`.
    pub(super) fn all_between(
        &self,
        from: Timestamp,
        to: Timestamp,
    ) -> impl Iterator<Item = (CrashId, Timestamp)> {
        let crashes = self.unexplained_between(from, to);
        crashes.map(|(id, known)| (id, known.at))
    }

    fn unexplained_between(
        &self,
        from: Timestamp,
        to: Timestamp,
    ) -> impl Iterator<Item = (CrashId, &Crash)> {
        let crashes = self.0.iter().map(|(id, known)| (*id, known));
        crashes.filter(move |(_, known)| !known.is_explained && from <= known.at && known.at <= to)
    }

    /// Forgets old crashes.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, known| now.since(known.at) < RETENTION);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(id, known)| (known.at, **id));
        let oldest = oldest.map(|(id, _)| *id);
        oldest.map(|id| self.0.remove(&id));
    }
}
