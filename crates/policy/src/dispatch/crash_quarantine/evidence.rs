//! The crashes that each suspect may have caused.

use super::crashes::{EPISODE_TIME, KnownCrashes};
use super::successes::RememberedSuccesses;
use super::{CrashId, ServiceVersion, SuspectKey};
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Largest number of suspects with evidence.
const MAX_SUSPECTS: usize = 1_024;

/// Largest number of crashes that are kept for one suspect.
const MAX_CRASHES_PER_SUSPECT: usize = 32;

/// Time for which a crash must be known to count for a block, so that the notices of
/// all hosts and later successes have arrived.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Settling time for a further crash of a block with [`CRASHES_FOR_SHORT_SETTLING`].
const SHORT_SETTLING_TIME: Duration = Duration::from_millis(150);

/// Settled crashes after which a further one settles within [`SHORT_SETTLING_TIME`].
const CRASHES_FOR_SHORT_SETTLING: usize = 4;

/// An episode counts for a block if, for each crash in and just before it that the block
/// doesn't explain, there are this many that it explains.
const MIN_CRASHES_PER_OTHER: usize = 3;

/// A crash of an upstream that had a request with the suspect.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    crash: CrashId,
    learned_at: Timestamp,
}

/// The evidence against one suspect.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Last position of the block in the interrupted prompts.
    position: u8,
    sightings: Vec<Sighting>,
}

/// What a group of crashes amounts to as evidence against one suspect, see [`groups_of`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashFigures {
    pub(super) key: SuspectKey,
    pub(super) position: u8,
    /// The software that crashed.
    pub(super) origins: Vec<ServiceVersion>,
    /// Whether upstreams of several services crashed.
    pub(super) is_over_services: bool,
    /// Time of the first crash.
    pub(super) first_at: Option<Timestamp>,
    /// All crashes, including those that haven't settled.
    pub(super) known: Vec<CrashId>,
    /// Settled crashes in the episodes that count.
    pub(super) counted: Vec<CrashId>,
    /// Episodes that count.
    pub(super) episodes: usize,
    /// Episodes since the block's first crash in which upstreams of the same services crashed
    /// that it wasn't on.
    pub(super) missed_episodes: usize,
    /// Times at which the known crashes were learned, in order.
    pub(super) learned_at: Vec<Timestamp>,
}

/// The evidence by suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectEvidence(HashMap<SuspectKey, Evidence>);

impl SuspectEvidence {
    /// Returns whether it is known that a request with the suspect was on a crashed
    /// upstream.
    pub(super) fn contains(&self, crash: CrashId, key: SuspectKey) -> bool {
        let evidence = self.0.get(&key);
        evidence.is_some_and(|evidence| evidence.contains(crash))
    }

    /// Returns whether there is evidence against a suspect.
    pub(super) fn has(&self, key: SuspectKey) -> bool {
        self.0.contains_key(&key)
    }

    /// Returns the largest group of crashes that add up against a suspect.
    pub(super) fn largest_group(
        &self,
        key: SuspectKey,
        crashes: &KnownCrashes,
        successes: &RememberedSuccesses,
    ) -> CrashGroup {
        let evidence = self.0.get(&key);
        let groups = evidence.map_or_else(Vec::new, |evidence| {
            groups_of(
                key,
                evidence.valid_sightings(key, crashes, successes),
                successes,
            )
        });
        groups
            .into_iter()
            .max_by_key(CrashGroup::len)
            .unwrap_or_default()
    }

    /// Records that a request with the suspect was on a crashed upstream; returns whether
    /// this is new.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        crash: CrashId,
        key: SuspectKey,
        position: u8,
    ) -> bool {
        if self.0.len() >= MAX_SUSPECTS && !self.0.contains_key(&key) {
            self.remove_weakest();
        }
        let evidence = self.0.entry(key).or_default();
        evidence.position = evidence.position.max(position);
        if evidence.contains(crash) || evidence.sightings.len() >= MAX_CRASHES_PER_SUSPECT {
            return false;
        }
        evidence.sightings.push(Sighting {
            crash,
            learned_at: now,
        });
        true
    }

    /// Removes the crashes of a suspect for which `is_removed` is true; returns whether
    /// there were any.
    pub(super) fn remove(&mut self, key: SuspectKey, is_removed: impl Fn(CrashId) -> bool) -> bool {
        let Some(evidence) = self.0.get_mut(&key) else {
            return false;
        };
        let before = evidence.sightings.len();
        evidence.sightings.retain(|one| !is_removed(one.crash));
        let after = evidence.sightings.len();
        if after == 0 {
            self.0.remove(&key);
        }
        after < before
    }

    /// Removes the crashes for which `is_removed` is true from all suspects.
    pub(super) fn remove_crashes(&mut self, is_removed: impl Fn(SuspectKey, CrashId) -> bool) {
        self.0.retain(|key, evidence| {
            evidence
                .sightings
                .retain(|one| !is_removed(*key, one.crash));
            !evidence.sightings.is_empty()
        });
    }

    /// Removes a suspect and returns its crashes.
    pub(super) fn take(&mut self, key: SuspectKey) -> Vec<CrashId> {
        let evidence = self.0.remove(&key).unwrap_or_default();
        evidence.sightings.iter().map(|one| one.crash).collect()
    }

    /// Returns the figures of the blocks for which `is_relevant` is true, given the
    /// number of their crashes.
    pub(super) fn figures(
        &self,
        now: Timestamp,
        crashes: &KnownCrashes,
        successes: &RememberedSuccesses,
        is_relevant: impl Fn(SuspectKey, usize) -> bool,
    ) -> Vec<CrashFigures> {
        let blocks = self.0.iter();
        let relevant =
            blocks.filter(|(key, evidence)| is_relevant(**key, evidence.sightings.len()));
        relevant
            .flat_map(|(key, evidence)| evidence.figures(now, *key, crashes, successes))
            .collect()
    }

    /// Removes the suspect with the fewest crashes; of several, the one whose latest crash
    /// is the oldest.
    fn remove_weakest(&mut self) {
        let weakest = self.0.iter().min_by_key(|(key, evidence)| {
            let latest = evidence.sightings.iter().map(|one| one.learned_at).max();
            (evidence.sightings.len(), latest, **key)
        });
        let weakest = weakest.map(|(key, _)| *key);
        weakest.map(|key| self.0.remove(&key));
    }
}

/// A crash that may count for a suspect.
#[derive(Clone, Copy, Debug)]
struct TimedSighting {
    at: Timestamp,
    origin: ServiceVersion,
    sighting: Sighting,
}

/// Crashes that may add up against a suspect, in order of their time.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashGroup(Vec<TimedSighting>);

impl CrashGroup {
    /// Returns the number of crashes.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the time of the first crash.
    pub(super) fn first_at(&self) -> Option<Timestamp> {
        self.0.first().map(|one| one.at)
    }

    /// Returns the software that crashed.
    pub(super) fn origins(&self) -> Vec<ServiceVersion> {
        let mut origins: Vec<ServiceVersion> = self.0.iter().map(|one| one.origin).collect();
        origins.sort_unstable();
        origins.dedup();
        origins
    }

    /// Returns the services that crashed.
    fn services(&self) -> Vec<u32> {
        let mut services: Vec<u32> = self.0.iter().map(|one| one.origin.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}

/// Divides crashes, in order of their time, into groups of which each may add up.
///
/// What crashes upstreams crashes those of other services as well, so crashes add up over
/// services and versions. A suspect that succeeds at one of them after its first crash isn't
/// such a one there; a later crash there has another cause or none that the others share, and
/// counts beside those of the same software only. A success thus never clears the crashes at
/// other software, and upstreams that fail service by service don't add up against a sound
/// suspect that went on in between.
fn groups_of(
    key: SuspectKey,
    known: Vec<TimedSighting>,
    successes: &RememberedSuccesses,
) -> Vec<CrashGroup> {
    let first_at = known.first().map(|one| one.at);
    let has_succeeded_since = |one: &TimedSighting| successes.latest_at(key, one.origin) > first_at;
    let (mut apart, joint): (Vec<TimedSighting>, Vec<TimedSighting>) =
        known.into_iter().partition(has_succeeded_since);
    let mut groups = vec![CrashGroup(joint)];
    while let Some(first) = apart.first() {
        let origin = first.origin;
        let (own, others) = apart.into_iter().partition(|one| one.origin == origin);
        groups.push(CrashGroup(own));
        apart = others;
    }
    groups.retain(|group| group.len() > 0);
    groups
}

impl Evidence {
    fn contains(&self, crash: CrashId) -> bool {
        self.sightings.iter().any(|one| one.crash == crash)
    }

    fn figures(
        &self,
        now: Timestamp,
        key: SuspectKey,
        crashes: &KnownCrashes,
        successes: &RememberedSuccesses,
    ) -> Vec<CrashFigures> {
        let valid = self.valid_sightings(key, crashes, successes);
        let explained = ids_of(&valid);
        let groups = groups_of(key, valid, successes).into_iter();
        groups
            .map(|group| self.figures_of(now, key, crashes, &explained, &group))
            .collect()
    }

    /// Returns the figures of one group. The block was on the upstreams of the crashes
    /// `explained`.
    fn figures_of(
        &self,
        now: Timestamp,
        key: SuspectKey,
        crashes: &KnownCrashes,
        explained: &[CrashId],
        group: &CrashGroup,
    ) -> CrashFigures {
        let services = group.services();
        let settled = settled_of(now, &group.0);
        let mut learned_at: Vec<Timestamp> =
            group.0.iter().map(|one| one.sighting.learned_at).collect();
        learned_at.sort_unstable();
        let mut figures = CrashFigures {
            key,
            position: self.position,
            origins: group.origins(),
            is_over_services: services.len() > 1,
            first_at: group.first_at(),
            known: ids_of(&group.0),
            counted: Vec::new(),
            episodes: 0,
            missed_episodes: 0,
            learned_at,
        };
        if let Some(first_at) = group.first_at() {
            let since = crashes.between(&services, first_at, now - SETTLING_TIME);
            let missed = since.filter(|(id, _)| !explained.contains(id));
            figures.missed_episodes = count_episodes(missed.map(|(_, at)| at).collect());
        }
        for episode in episodes_of(&settled) {
            let counted = counted_in(episode, explained, crashes, &services);
            figures.counted.extend(ids_of(counted));
            figures.episodes += usize::from(!counted.is_empty());
        }
        figures
    }

    /// Returns the crashes that no later success at the same software refutes, in order of
    /// their time.
    fn valid_sightings(
        &self,
        key: SuspectKey,
        crashes: &KnownCrashes,
        successes: &RememberedSuccesses,
    ) -> Vec<TimedSighting> {
        let sightings = self.sightings.iter();
        let timed = sightings.filter_map(|one| {
            Some(TimedSighting {
                at: crashes.time_of(one.crash)?,
                origin: crashes.origin_of(one.crash)?,
                sighting: *one,
            })
        });
        let is_valid = |one: &TimedSighting| Some(one.at) > successes.latest_at(key, one.origin);
        let mut valid: Vec<TimedSighting> = timed.filter(is_valid).collect();
        valid.sort_unstable_by_key(|one| (one.at, one.sighting.crash));
        valid
    }
}

fn ids_of(list: &[TimedSighting]) -> Vec<CrashId> {
    list.iter().map(|one| one.sighting.crash).collect()
}

/// Returns the crashes of an episode that count for a block that was on the upstreams of
/// the crashes `known`. When a rack or a whole service fails, most blocks were on a few of
/// the upstreams only. Retries may spread a block over most of them; such an episode counts
/// as one crash. A crash at another service than the one of all `known` crashes says nothing of
/// the block; if these are at several services, a crash at any service may have their cause.
fn counted_in<'a>(
    episode: &'a [TimedSighting],
    known: &[CrashId],
    crashes: &KnownCrashes,
    services: &[u32],
) -> &'a [TimedSighting] {
    let start = episode[0].at;
    let (from, to) = (start - EPISODE_TIME, start + EPISODE_TIME);
    let around: Vec<(CrashId, Timestamp)> = match services {
        [_] => crashes.between(services, from, to).collect(),
        _ => crashes.all_between(from, to).collect(),
    };
    let around = around.into_iter().map(|(id, _)| id);
    let (own, other): (Vec<CrashId>, Vec<CrashId>) =
        around.partition(|crash| known.contains(crash));
    match other.len() {
        0 => episode,
        others if own.len() >= others * MIN_CRASHES_PER_OTHER => &episode[..1],
        _ => &[],
    }
}

/// Returns the crashes that have settled.
fn settled_of(now: Timestamp, known: &[TimedSighting]) -> Vec<TimedSighting> {
    let is_known_for = |one: &&TimedSighting, time| now.since(one.sighting.learned_at) >= time;
    let settled = known.iter().filter(|one| is_known_for(one, SETTLING_TIME));
    let settling_time = match settled.count() >= CRASHES_FOR_SHORT_SETTLING {
        true => SHORT_SETTLING_TIME,
        false => SETTLING_TIME,
    };
    let settled = known.iter().filter(|one| is_known_for(one, settling_time));
    settled.copied().collect()
}

/// Divides crashes, in order of their time, into episodes.
fn episodes_of(crashes: &[TimedSighting]) -> Vec<&[TimedSighting]> {
    let mut episodes = Vec::new();
    let mut rest = crashes;
    while let Some(start) = rest.first() {
        let length = rest.partition_point(|one| one.at <= start.at + EPISODE_TIME);
        let (episode, later) = rest.split_at(length);
        episodes.push(episode);
        rest = later;
    }
    episodes
}

/// Returns the number of episodes of crashes at the given times.
fn count_episodes(mut times: Vec<Timestamp>) -> usize {
    times.sort_unstable();
    let mut starts: Vec<Timestamp> = Vec::new();
    for at in times {
        let is_in = |start: &Timestamp| at <= *start + EPISODE_TIME;
        if !starts.last().is_some_and(is_in) {
            starts.push(at);
        }
    }
    starts.len()
}
