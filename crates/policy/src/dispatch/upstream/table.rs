//! The upstreams that the store lists, and this host's requests on them.
//!
//! Only listed upstreams are used. An upstream that is draining or removed gets no
//! new requests as soon as the host observes the change. There is one exception:
//! during an outage the store may have removed upstreams that are alive. Upstreams
//! that are missing right after an outage are therefore kept for the time that live
//! upstreams need to register again. That isn't done after a time in which the store
//! responded to peers and only this host was cut off from it.
//!
//! An upstream also announces in its responses that it drains, that it wants no request
//! for some time, or how many requests it takes from all hosts together. All take
//! precedence over the list.

mod rates;

use super::announcements::Announcements;
use super::rate::RateSharing;
use super::{ListChange, Upstream, UpstreamId, UpstreamPhase, UpstreamRecord};
use crate::dispatch::VersionDigest;
use crate::dispatch::reachability::{ContactEffect, ContactResult, Reachability};
use crate::{Timestamp, UpstreamKey};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;

/// Time after a store outage within which live upstreams are listed again.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The listed upstreams of all services.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    entries: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Upstreams that were observed draining, which is the phase
    /// [`UpstreamPhase::Leaving`], or that hold off requests. An outdated entry of the
    /// same incarnation does not make the upstream usable again.
    announcements: Announcements,
    is_loaded: bool,
    is_store_unavailable: bool,
    /// Set after a store outage: entries that are missing before this time may be
    /// listed again.
    relist_until: Option<Timestamp>,
    reachability: Reachability,
    /// Latest time as of which the store has shown the whole list.
    shown_at: Timestamp,
    rate_sharing: RateSharing,
    /// Number of upstreams that wait until their version is in the record.
    awaiting_record: usize,
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the list of upstreams has been read from the store, or the part of it
    /// that can be read has some.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the upstream with the given key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.entries.get(key)
    }

    /// Returns the upstream with the given key for modification.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.entries.get_mut(key)
    }

    /// Returns all upstreams in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.entries.iter()
    }

    /// Returns the upstreams of `service` to which new requests may be sent.
    /// Upstreams in a data centre that counts as unreachable are included only while a
    /// probe of the data centre is due, or if there are no others.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        let skips_avoided = !self.reachability.has_no_suspicion()
            && self
                .serving(service, now)
                .any(|(_, upstream)| self.may_contact(upstream, now));
        let skips_awaiting = self.awaiting_record > 0
            && self
                .serving(service, now)
                .filter(|(_, upstream)| !skips_avoided || self.may_contact(upstream, now))
                .any(|(_, upstream)| !upstream.awaits_record);
        self.serving(service, now)
            .filter(move |(_, upstream)| !skips_avoided || self.may_contact(upstream, now))
            .filter(move |(_, upstream)| !skips_awaiting || !upstream.awaits_record)
    }

    /// Returns whether all upstreams of `service` that could serve wait until their version
    /// is in the record.
    pub fn is_awaiting_record(&self, service: &str, now: Timestamp) -> bool {
        let mut serving = self.serving(service, now).peekable();
        self.awaiting_record > 0
            && serving.peek().is_some()
            && serving.all(|(_, upstream)| upstream.awaits_record)
    }

    /// Sets which upstreams wait until their version is in the record.
    pub fn set_awaiting_record(&mut self, awaits: impl Fn(&UpstreamRecord) -> bool) {
        for upstream in self.entries.values_mut() {
            upstream.awaits_record = awaits(&upstream.record);
        }
        let awaiting = self.entries.values().filter(|one| one.awaits_record);
        self.awaiting_record = awaiting.count();
    }

    /// Returns the only version that the listed upstreams of `service` have, draining ones
    /// included; `None` if there are several, or one isn't known or doubtful.
    pub fn sole_version(&self, service: &str) -> Option<VersionDigest> {
        let of_service = self
            .entries
            .values()
            .filter(|one| one.record.service == service);
        let mut versions = of_service.map(Upstream::proven_version);
        let first = versions.next()??;
        versions.all(|other| other == Some(first)).then_some(first)
    }

    /// Returns the version at which new streams of `service` can be resumed for longest: none
    /// of its upstreams drains, and it has more than half of those that serve. `None` if no
    /// other version is leaving.
    pub fn staying_version(&self, service: &str) -> Option<VersionDigest> {
        let of_service = self
            .entries
            .values()
            .filter(|one| one.record.service == service);
        let is_leaving = |one: &Upstream| one.record.phase == UpstreamPhase::Leaving;
        let leaving: Vec<_> = of_service
            .clone()
            .filter(|one| is_leaving(one))
            .map(|one| one.version)
            .collect();
        if leaving.is_empty() {
            return None;
        }
        let mut counts: HashMap<Option<VersionDigest>, usize> = HashMap::new();
        let serving = of_service.filter(|one| !is_leaving(one));
        serving.for_each(|one| *counts.entry(one.version).or_default() += 1);
        let total: usize = counts.values().sum();
        let (version, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        let stays = count * 2 > total && !leaving.contains(&version);
        version.filter(|_| stays)
    }

    /// Returns the shortest time for which an upstream of `service` still holds off
    /// requests; `None` if none does.
    pub fn shortest_hold_off(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let of_service = self.entries.values().filter(|upstream| {
            upstream.record.service == service && upstream.record.phase == UpstreamPhase::Serving
        });
        of_service
            .filter_map(|upstream| upstream.hold_off(now))
            .min()
    }

    /// Records that the upstream with the entry `record` announced in a response that
    /// it drains. The entry may have been removed since. Returns whether this is new.
    pub fn record_draining(&mut self, now: Timestamp, record: &UpstreamRecord) -> bool {
        if let Some(upstream) = self.incarnation_mut(record) {
            upstream.record.phase = UpstreamPhase::Leaving;
        }
        self.announcements.record_draining(now, record)
    }

    /// Records that the upstream with the entry `record` refused a request and wants
    /// none for `time`. Returns the time until which it gets none, which is up to a
    /// fifth longer; `jitter`, a random number from 0 to 1, determines by how much.
    pub fn record_hold_off(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
        time: Duration,
        jitter: f64,
    ) -> Timestamp {
        let until = self
            .announcements
            .record_hold_off(now, record, time, jitter);
        if let Some(upstream) = self.incarnation_mut(record) {
            upstream.held_off_until = Some(until);
        }
        until
    }

    /// Records that the upstream with the entry `record` refused a request with a
    /// malformed time to hold off. Returns whether it is its first one.
    pub fn record_malformed_hold_off(&mut self, now: Timestamp, record: &UpstreamRecord) -> bool {
        self.announcements.record_malformed_hold_off(now, record)
    }

    /// Returns the upstream if the incarnation of `record` is the listed one.
    fn incarnation_mut(&mut self, record: &UpstreamRecord) -> Option<&mut Upstream> {
        let key = *self.by_id.get(&record.id)?;
        let upstream = self.entries.get_mut(key)?;
        upstream
            .record
            .is_same_incarnation(record)
            .then_some(upstream)
    }

    /// Returns the upstreams of `service` that are neither draining nor in backoff and of
    /// whose rate this host has a share left, whether their data centres are reachable or not.
    fn serving<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        self.entries.iter().filter(move |(_, upstream)| {
            upstream.record.service == service
                && upstream.is_usable(now)
                && self.has_rate_share(now, upstream)
        })
    }

    /// Returns whether requests may be sent to the data centre of `upstream`, because
    /// it counts as reachable or a probe of it is due.
    fn may_contact(&self, upstream: &Upstream, now: Timestamp) -> bool {
        let data_centre = &upstream.record.data_centre;
        !self.reachability.is_avoided(now, data_centre)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&mut self, now: Timestamp, key: UpstreamKey) {
        if let Some(upstream) = self.entries.get(key) {
            let data_centre = &upstream.record.data_centre;
            self.reachability.record_send(now, data_centre);
        }
    }

    /// Records what a request or a connection showed about the path to an upstream, and
    /// returns what follows for its data centre.
    pub fn record_contact(
        &mut self,
        now: Timestamp,
        key: UpstreamKey,
        result: ContactResult,
    ) -> ContactEffect {
        match self.entries.get(key) {
            Some(upstream) => {
                let data_centre = &upstream.record.data_centre;
                self.reachability.record(now, data_centre, key, result)
            }
            None => ContactEffect::None,
        }
    }

    /// Records that contact to an upstream broke: a connection was refused, closed early or
    /// reset. Its version is doubtful until the list is known to show the entry.
    pub fn record_break(&mut self, now: Timestamp, key: UpstreamKey) {
        if let Some(upstream) = self.entries.get_mut(key) {
            upstream.doubtful_since = Some(now);
        }
    }

    /// Records that this host has opened a connection to an upstream to which it had none. While
    /// the store is away, nothing says which incarnation accepted it.
    pub fn record_first_connection(&mut self, now: Timestamp, key: UpstreamKey) {
        let is_unavailable = self.is_store_unavailable;
        let Some(upstream) = self.entries.get_mut(key) else {
            return;
        };
        upstream.contact_since = Some(now);
        if is_unavailable {
            upstream.doubtful_since = Some(now);
        }
    }

    /// Records that the store has shown the whole list, or all changes of it, in a response to a
    /// call of the time `as_of`. It proves nothing of what broke later.
    pub fn record_shown(&mut self, as_of: Timestamp) {
        if self.can_prove(as_of) {
            self.shown_at = self.shown_at.max(as_of);
            let upstreams = self.entries.values_mut();
            upstreams.for_each(|one| one.record_shown(as_of));
        }
    }

    /// Returns the latest time as of which the store has shown the whole list, if it has.
    pub fn shown_at(&self) -> Option<Timestamp> {
        Some(self.shown_at).filter(|at| *at > Timestamp::default())
    }

    /// Records that the store has shown the entry of one upstream in the same way.
    pub fn record_entry_shown(&mut self, as_of: Timestamp, key: UpstreamKey) {
        if self.can_prove(as_of)
            && let Some(upstream) = self.entries.get_mut(key)
        {
            upstream.record_shown(as_of);
        }
    }

    /// Returns whether the list of the time `as_of` names the incarnations that answer. For a
    /// time after an outage of the store, those that started during it aren't listed yet.
    fn can_prove(&self, as_of: Timestamp) -> bool {
        !self.is_store_unavailable && self.relist_until.is_none_or(|until| as_of >= until)
    }

    /// Returns whether an upstream of `service` certainly has `version`.
    pub fn has_version(&self, service: &str, version: VersionDigest) -> bool {
        let mut upstreams = self.entries.values();
        upstreams.any(|one| one.record.service == service && one.proven_version() == Some(version))
    }

    /// Returns the service whose listed upstreams have `version`, if any has it.
    pub fn service_of(&self, version: VersionDigest) -> Option<&str> {
        let mut upstreams = self.entries.values();
        let found = upstreams.find(|one| one.version == Some(version));
        found.map(|one| one.record.service.as_str())
    }

    /// Returns the upstreams of `service` whose version would be `version`, but is doubtful.
    pub fn doubtful_of(&self, service: &str, version: VersionDigest) -> Vec<UpstreamKey> {
        let upstreams = self.entries.iter().filter(|(_, one)| {
            let is_of_version = one.version == Some(version);
            one.record.service == service && is_of_version && one.is_version_doubtful()
        });
        upstreams.map(|(key, _)| key).collect()
    }

    /// Records that a call to the store failed.
    ///
    /// The store may have been away for some time: of an upstream to which there has been no
    /// connection since the list was last shown, another incarnation may listen there by now.
    pub fn record_store_unavailable(&mut self, now: Timestamp) {
        self.is_store_unavailable = true;
        let shown_at = self.shown_at;
        for upstream in self.entries.values_mut() {
            if upstream.contact_since.is_none_or(|since| since > shown_at) {
                upstream.doubtful_since = Some(now);
            }
        }
    }

    /// Records that the store responded. After the first response that follows a
    /// failure, missing upstreams have [`RELIST_TIMEOUT`] to be listed again. The time
    /// counts from `available_since` if it is earlier: the time since which the store has
    /// responded to a peer. If it did so all the while, only this host was cut off from
    /// it, and an upstream that is missing is gone.
    pub fn record_store_available(&mut self, now: Timestamp, available_since: Option<Timestamp>) {
        if self.is_store_unavailable {
            self.is_store_unavailable = false;
            let since = available_since.map_or(now, |since| since.min(now));
            self.relist_until = Some(since + RELIST_TIMEOUT);
        }
    }

    /// Applies a complete list and returns the keys of the upstreams that were
    /// removed.
    pub fn apply_list(&mut self, now: Timestamp, records: Vec<UpstreamRecord>) -> Vec<UpstreamKey> {
        self.is_loaded = true;
        let missing = self.missing_from(&records).into_iter();
        let missing: Vec<UpstreamId> = missing
            .filter_map(|key| self.entries.get(key))
            .map(|upstream| upstream.record.id.clone())
            .collect();
        let mut removed: Vec<UpstreamKey> = missing
            .into_iter()
            .filter_map(|id| self.apply(now, ListChange::Removed(id)))
            .collect();
        removed.extend(self.apply_partial_list(now, records));
        removed
    }

    /// Returns the upstreams that have none of these records.
    pub fn missing_from(&self, records: &[UpstreamRecord]) -> Vec<UpstreamKey> {
        let has_record = |id: &UpstreamId| records.iter().any(|record| record.id == *id);
        let missing = self.by_id.iter().filter(|(id, _)| !has_record(id));
        missing.map(|(_, key)| *key).collect()
    }

    /// Applies the records of a list that may lack some that exist. The upstreams without
    /// one stay. Returns the keys of incarnations that others have replaced.
    pub fn apply_partial_list(
        &mut self,
        now: Timestamp,
        records: Vec<UpstreamRecord>,
    ) -> Vec<UpstreamKey> {
        // A host that has found no upstream doesn't know that there is none.
        self.is_loaded |= !records.is_empty();
        let changes = records.into_iter().map(ListChange::Present);
        changes
            .filter_map(|change| self.apply(now, change))
            .collect()
    }

    /// Applies one change and returns the key of the upstream that was removed by
    /// it, if any.
    pub fn apply(&mut self, now: Timestamp, change: ListChange) -> Option<UpstreamKey> {
        match change {
            ListChange::Present(record) => self.insert(now, record),
            ListChange::Removed(id) => self.apply_removal(now, &id),
        }
    }

    /// Removes the upstreams that were not listed again in time after an outage, and
    /// returns their keys.
    pub fn remove_missing(&mut self, now: Timestamp) -> Vec<UpstreamKey> {
        let by_id = &self.by_id;
        self.announcements
            .remove_old(now, |id| by_id.contains_key(id));
        let is_due = |upstream: &Upstream| upstream.removal_at.is_some_and(|at| at <= now);
        let due: Vec<UpstreamId> = self
            .entries
            .values()
            .filter(|upstream| is_due(upstream))
            .map(|upstream| upstream.record.id.clone())
            .collect();
        due.iter().filter_map(|id| self.remove(id)).collect()
    }

    fn insert(&mut self, now: Timestamp, mut record: UpstreamRecord) -> Option<UpstreamKey> {
        match record.phase {
            UpstreamPhase::Leaving => {
                self.announcements.record_draining(now, &record);
            }
            UpstreamPhase::Serving if self.announcements.is_draining(&record) => {
                record.phase = UpstreamPhase::Leaving;
            }
            UpstreamPhase::Serving => {}
        }
        let known = self.by_id.get(&record.id).copied();
        let current = known.and_then(|key| self.entries.get_mut(key));
        match current {
            // The list of a restored store may name an incarnation that has ended.
            Some(upstream) if record.is_earlier_incarnation(&upstream.record) => None,
            Some(upstream) if upstream.record.is_same_incarnation(&record) => {
                upstream.version = record.version_digest();
                upstream.record = record;
                upstream.removal_at = None;
                None
            }
            _ => {
                let removed = self.remove(&record.id);
                let id = record.id.clone();
                let mut upstream = Upstream::new(record);
                upstream.held_off_until = self.announcements.held_off_until(&upstream.record);
                upstream.has_rate = self.announcements.per_second(&upstream.record).is_some();
                let key = self.entries.insert(upstream);
                self.by_id.insert(id, key);
                removed
            }
        }
    }

    fn apply_removal(&mut self, now: Timestamp, id: &UpstreamId) -> Option<UpstreamKey> {
        let key = *self.by_id.get(id)?;
        let upstream = self.entries.get_mut(key)?;
        let is_draining = upstream.record.phase == UpstreamPhase::Leaving;
        match self.relist_until {
            Some(until) if until > now && !is_draining => {
                upstream.removal_at.get_or_insert(until);
                None
            }
            _ => self.remove(id),
        }
    }

    fn remove(&mut self, id: &UpstreamId) -> Option<UpstreamKey> {
        let key = self.by_id.remove(id)?;
        self.entries.remove(key);
        Some(key)
    }
}
