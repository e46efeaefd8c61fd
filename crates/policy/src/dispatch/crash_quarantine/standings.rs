//! The suspects that are, or were, in quarantine.

use super::key::SuspectAtService;
use super::news::{MAX_QUARANTINE_NOTICES, QuarantineNotice, age_ms, from_ms, to_ms};
use super::outbox::NOTICE_TIME;
use super::probation::ProbeHistory;
use super::scope::Judgement;
use super::{QuarantineScope, ServiceVersion, SuspectKey, UNKNOWN_SERVICE};
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Interval at which the notice of a quarantine is sent after its first
/// [`NOTICE_TIME`], for hosts that restart.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time by which notices of one decision may imply different times of it.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(5);

/// Largest number of suspects of a kind that are, or were, in quarantine.
const MAX_SUSPECTS: usize = 64;

/// How a host learned of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineSource {
    /// From the crashes that it knows.
    OwnEvidence,
    /// From another host.
    Peer,
    /// From the store, after a restart.
    Store,
}

impl QuarantineSource {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::OwnEvidence => "own evidence",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// A suspect in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedSuspect {
    /// The suspect.
    pub key: SuspectKey,
    /// Crashes that led to the decision; zero if they aren't known.
    pub crashes: u32,
    /// Episodes of these crashes.
    pub episodes: u32,
    /// How this host learned of the quarantine.
    pub source: QuarantineSource,
    /// Time since the decision.
    pub age: Duration,
    /// Time until the quarantine ends.
    pub time_left: Duration,
    /// The probes so far.
    pub probes: ProbeHistory,
    /// Crashes since the decision.
    pub crashes_since: u32,
    /// Where the quarantine is in force.
    pub scope: QuarantineScope,
}

impl QuarantinedSuspect {
    /// Returns the time until a request with the suspect may be sent as a probe; `None` if
    /// none may.
    pub fn time_until_probe(&self) -> Option<Duration> {
        self.probes
            .time_until_next(self.key.kind, self.crashes_since, self.age)
    }
}

/// Why and where a suspect is in quarantine.
#[derive(Clone, Debug)]
pub(super) struct Grounds {
    pub(super) scope: QuarantineScope,
    pub(super) crashes: u32,
    pub(super) episodes: u32,
    pub(super) source: QuarantineSource,
}

/// What a host believes of a suspect that is, or was, in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuspectStatus {
    /// In quarantine.
    Quarantined,
    /// The quarantine is over, and the suspect hasn't succeeded since the decision.
    OnProbation,
    /// The suspect has succeeded since the decision, or never was in quarantine.
    Sound,
}

#[derive(Clone, Debug)]
struct Standing {
    grounds: Grounds,
    decided_at: Timestamp,
    /// Kept besides `decided_at`, which may lie before the origin of the clock.
    ends_at: Timestamp,
    has_succeeded_since: bool,
    is_reported: bool,
    learned_at: Timestamp,
    last_sent_at: Option<Timestamp>,
    probes: u32,
    last_probe_at: Option<Timestamp>,
    crashes_since: u32,
}

/// Quarantined suspects and those on probation.
#[derive(Clone, Debug, Default)]
pub(super) struct Standings(HashMap<SuspectKey, Standing>);

impl Standings {
    /// Quarantines a suspect from `age` before now, or extends its quarantine to services at
    /// which it was sound; returns whether this is a new decision.
    pub(super) fn quarantine(
        &mut self,
        now: Timestamp,
        key: SuspectKey,
        age: Duration,
        grounds: Grounds,
    ) -> bool {
        let ends_at = now + key.kind.quarantine_time().saturating_sub(age);
        let is_own = grounds.source == QuarantineSource::OwnEvidence;
        if let Some(known) = self.0.get_mut(&key) {
            if is_own && known.status(now) == SuspectStatus::Quarantined {
                // It has crashed upstreams at services that it was sound at.
                let crashed = grounds.scope.crashed().iter();
                crashed.for_each(|origin| known.grounds.scope.add_crashed(*origin));
                return true;
            }
            if !is_own && ends_at <= known.ends_at + MAX_NOTICE_DELAY {
                known.ends_at = earlier_end(known.ends_at, ends_at);
                known.grounds.scope.join(&grounds.scope);
                return false;
            }
        }
        self.make_space(now, key);
        // A suspect that crashes an upstream again on probation has used its probes.
        let earlier = self.0.get(&key).filter(|known| !known.has_succeeded_since);
        let standing = Standing {
            probes: earlier.map_or(0, |known| known.probes),
            last_probe_at: earlier.and_then(|known| known.last_probe_at),
            crashes_since: earlier.map_or(0, |known| known.crashes_since),
            decided_at: now - age,
            ends_at,
            has_succeeded_since: false,
            is_reported: grounds.source == QuarantineSource::Store,
            grounds,
            learned_at: now,
            last_sent_at: None,
        };
        self.0.insert(key, standing);
        true
    }

    /// Records a success; returns whether it lifts a quarantine, at the service at least, or
    /// ends a probation.
    pub(super) fn record_success(
        &mut self,
        key: SuspectKey,
        origin: ServiceVersion,
        at: Timestamp,
    ) -> bool {
        let known = self.0.get_mut(&key);
        let Some(known) = known.filter(|one| one.decided_at < at && !one.has_succeeded_since)
        else {
            return false;
        };
        let (scope, age) = (&mut known.grounds.scope, at.since(known.decided_at));
        match scope.judge(key, origin, age) {
            Judgement::Refuted => {
                known.has_succeeded_since = true;
                true
            }
            Judgement::SoundThere => scope.add_sound(origin.service),
            Judgement::Nothing => false,
        }
    }

    /// Records the probes of a suspect, as far as they are new.
    pub(super) fn record_probes(&mut self, now: Timestamp, key: SuspectKey, probes: ProbeHistory) {
        if let Some(known) = self.0.get_mut(&key) {
            let latest = probes.latest_age.map(|age| now - age);
            if probes.count > known.probes {
                // The peers have to know before they send a probe themselves.
                known.last_sent_at = None;
            }
            known.probes = known.probes.max(probes.count);
            known.last_probe_at = known.last_probe_at.max(latest);
        }
    }

    /// Records a crash by a suspect in quarantine.
    pub(super) fn record_crash(&mut self, key: SuspectKey, origin: ServiceVersion) {
        if let Some(known) = self.0.get_mut(&key) {
            known.crashes_since += 1;
            known.grounds.scope.add_crashed(origin);
        }
    }

    /// Returns whether a suspect is, or was, in quarantine.
    pub(super) fn has(&self, key: SuspectKey) -> bool {
        self.0.contains_key(&key)
    }

    /// Returns when a suspect was quarantined, if it ever was.
    pub(super) fn decided_at(&self, key: SuspectKey) -> Option<Timestamp> {
        self.0.get(&key).map(|known| known.decided_at)
    }

    /// Returns whether no suspect is, or was, in quarantine.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns what this host believes of a suspect at a service.
    pub(super) fn status_at(&self, now: Timestamp, key: SuspectKey, service: u32) -> SuspectStatus {
        let known = self.0.get(&key);
        let known = known.filter(|known| known.grounds.scope.holds_at(service));
        known.map_or(SuspectStatus::Sound, |known| known.status(now))
    }

    /// Returns what this host believes of a suspect.
    pub(super) fn status(&self, now: Timestamp, key: SuspectKey) -> SuspectStatus {
        let known = self.0.get(&key);
        known.map_or(SuspectStatus::Sound, |known| known.status(now))
    }

    /// Returns a suspect if it is in quarantine at any service.
    pub(super) fn find(&self, now: Timestamp, key: SuspectKey) -> Option<QuarantinedSuspect> {
        let known = self.0.get(&key)?;
        if known.status(now) != SuspectStatus::Quarantined {
            return None;
        }
        let mut found = known.describe(now, key);
        let latest = self.latest_other_probe(key, &found.scope);
        found.probes.other_age = latest.map(|at| now.since(at));
        Some(found)
    }

    /// Returns a suspect if it is in quarantine at a service.
    pub(super) fn find_at(
        &self,
        now: Timestamp,
        key: SuspectKey,
        service: u32,
    ) -> Option<QuarantinedSuspect> {
        let known = self.0.get(&key)?;
        let holds = known.grounds.scope.holds_at(service);
        holds.then(|| self.find(now, key)).flatten()
    }

    /// Returns the time of the latest probe of another suspect that crashed one of the same
    /// services.
    fn latest_other_probe(&self, key: SuspectKey, scope: &QuarantineScope) -> Option<Timestamp> {
        let others = self.0.iter();
        let others =
            others.filter(|(other, known)| **other != key && known.grounds.scope.meets(scope));
        others.filter_map(|(_, known)| known.last_probe_at).max()
    }

    /// Returns the suspects in quarantine.
    pub(super) fn active(&self, now: Timestamp) -> impl Iterator<Item = QuarantinedSuspect> {
        self.0.keys().filter_map(move |key| self.find(now, *key))
    }

    /// Returns the suspects in quarantine that weren't returned before.
    pub(super) fn take_unreported(&mut self, now: Timestamp) -> Vec<QuarantinedSuspect> {
        let is_new = |known: &Standing| {
            !known.is_reported && known.status(now) == SuspectStatus::Quarantined
        };
        let new = self.0.iter_mut().filter(|(_, known)| is_new(known));
        new.map(|(key, known)| {
            known.is_reported = true;
            known.describe(now, *key)
        })
        .collect()
    }

    /// Returns the quarantine notices of the next message.
    pub(super) fn notices(&mut self, now: Timestamp) -> Vec<QuarantineNotice> {
        let due = self.0.iter_mut().filter(|(_, known)| known.is_due(now));
        let mut due: Vec<(&SuspectKey, &mut Standing)> = due.collect();
        due.sort_by_key(|(key, known)| (known.last_sent_at, **key));
        due.truncate(MAX_QUARANTINE_NOTICES);
        due.into_iter()
            .map(|(key, known)| {
                known.last_sent_at = Some(now);
                known.notice(now, *key)
            })
            .collect()
    }

    /// Returns the notices of all suspects in quarantine.
    pub(super) fn all_notices(&self, now: Timestamp) -> Vec<QuarantineNotice> {
        let known = self.0.iter();
        let quarantined =
            known.filter(|(_, known)| known.status(now) == SuspectStatus::Quarantined);
        quarantined
            .map(|(key, known)| known.notice(now, *key))
            .collect()
    }

    /// Removes a suspect if there are too many of the kind: one that isn't in quarantine, or
    /// the one whose quarantine ends first.
    fn make_space(&mut self, now: Timestamp, key: SuspectKey) {
        let of_kind = || self.0.iter().filter(|(other, _)| other.kind == key.kind);
        if of_kind().count() < MAX_SUSPECTS || self.0.contains_key(&key) {
            return;
        }
        let removed = of_kind().min_by_key(|(key, known)| {
            let is_quarantined = known.status(now) == SuspectStatus::Quarantined;
            (is_quarantined, known.ends_at, **key)
        });
        let removed = removed.map(|(key, _)| *key);
        removed.map(|key| self.0.remove(&key));
    }
}

impl Standing {
    fn status(&self, now: Timestamp) -> SuspectStatus {
        match self.has_succeeded_since {
            true => SuspectStatus::Sound,
            false if now < self.ends_at => SuspectStatus::Quarantined,
            false => SuspectStatus::OnProbation,
        }
    }

    fn describe(&self, now: Timestamp, key: SuspectKey) -> QuarantinedSuspect {
        let time_left = self.ends_at.since(now);
        QuarantinedSuspect {
            key,
            crashes: self.grounds.crashes,
            episodes: self.grounds.episodes,
            source: self.grounds.source,
            age: key.kind.quarantine_time().saturating_sub(time_left),
            time_left,
            probes: ProbeHistory {
                count: self.probes,
                latest_age: self.last_probe_at.map(|at| now.since(at)),
                other_age: None,
            },
            crashes_since: self.crashes_since,
            scope: self.grounds.scope.clone(),
        }
    }

    fn is_due(&self, now: Timestamp) -> bool {
        let is_recent = now.since(self.learned_at) < NOTICE_TIME;
        let is_over = |sent: Timestamp| now.since(sent) >= NOTICE_INTERVAL;
        self.status(now) == SuspectStatus::Quarantined
            && (is_recent || self.last_sent_at.is_none_or(is_over))
    }

    fn notice(&self, now: Timestamp, key: SuspectKey) -> QuarantineNotice {
        let described = self.describe(now, key);
        let crashed = self.grounds.scope.crashed_services();
        let (first, further) = crashed.split_first().unwrap_or((&UNKNOWN_SERVICE, &[]));
        QuarantineNotice {
            key: SuspectAtService::new(key, *first),
            age_ms: to_ms(described.age),
            crashes: u8::try_from(self.grounds.crashes).unwrap_or(u8::MAX),
            episodes: u8::try_from(self.grounds.episodes).unwrap_or(u8::MAX),
            probes: u8::try_from(self.probes).unwrap_or(u8::MAX),
            probe_age_ms: self.last_probe_at.map(|at| age_ms(now, at)),
            further_crashed: further.to_vec(),
            sound: self.grounds.scope.sound_services().to_vec(),
        }
    }
}

impl QuarantineNotice {
    /// Returns the time since the decision; `None` if the quarantine is over.
    pub(super) fn age(&self) -> Option<Duration> {
        let age = from_ms(self.age_ms);
        (age < self.key.kind.quarantine_time()).then_some(age)
    }

    /// Returns the probes so far.
    pub(super) fn probe_history(&self) -> ProbeHistory {
        ProbeHistory {
            count: u32::from(self.probes),
            latest_age: self.probe_age_ms.map(from_ms),
            other_age: None,
        }
    }
}

/// Returns the end of a quarantine that notices give as `known` and `heard`. A delayed
/// notice gives a later end than the true one. A much earlier end belongs to an earlier
/// quarantine of the suspect.
fn earlier_end(known: Timestamp, heard: Timestamp) -> Timestamp {
    match known.since(heard) <= MAX_NOTICE_DELAY {
        true => known.min(heard),
        false => known,
    }
}
