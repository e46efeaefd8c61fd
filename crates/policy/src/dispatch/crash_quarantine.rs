//! Finds what crashes upstreams, prefix blocks of prompts and whole requests, and
//! quarantines it.
//!
//! A prompt with such a block, or such a request, crashes the upstream that begins to run
//! it. It is then retried on the next upstream, and comes again at every host, so that one
//! caller can take down all upstreams of a service. A crash also interrupts sound requests,
//! and upstreams crash for other reasons, alone or many at once.
//!
//! Requests with a bad block are all different, and hundreds of sound ones share their
//! other blocks. A block is therefore quarantined only after crashes in several episodes
//! without a success of the block in between; sound blocks succeed on other engines.
//! A request that comes again is rare, so that one is quarantined as soon as it was on
//! enough crashed upstreams and hasn't succeeded since. This may hit a sound one; a few
//! probes show that, see [`ProbeHistory`].
//!
//! What a crash or a success was seen of and where it was seen are two things: a suspect is the
//! same at all services, so that its crashes add up over them, while a success speaks for the
//! software that had it, see [`ServiceVersion`] and [`QuarantineScope`].
//!
//! Hosts tell each other which suspects were on a crashed upstream, which of these have
//! succeeded, and which are in quarantine. Datagrams get lost and are late, so each host
//! passes on what is new to it, and decides by itself.

mod crashes;
mod evidence;
mod key;
mod news;
mod outbox;
mod probation;
mod scope;
mod service_version;
mod standings;
mod successes;
mod suspicion;

pub use key::{CrashId, RequestContent, SuspectAtService, SuspectKey, SuspectKind};
pub use news::{BlameDetails, BlameNews};
pub use probation::ProbeHistory;
pub use scope::{QuarantineScope, UNKNOWN_SERVICE};
pub use service_version::ServiceVersion;
pub use standings::{QuarantineSource, QuarantinedSuspect};

use crate::Timestamp;
use crashes::KnownCrashes;
use evidence::{CrashGroup, SuspectEvidence};
use news::{
    CrashNotice, MAX_CRASH_NOTICES, MAX_QUARANTINE_NOTICES, MAX_SOUND_NOTICES, MAX_SUSPECTS,
    QuarantineNotice, SoundNotice, from_ms,
};
use outbox::{Outbox, OutgoingSuspect};
use service_version::service_hash;
use standings::{Grounds, Standings, SuspectStatus};
use std::time::Duration;
use successes::RememberedSuccesses;
use suspicion::{MIN_CRASHES, SuspectedBlock};

/// Time after its start in which a host makes no decisions of its own, since it doesn't
/// know the earlier successes.
const START_TIME: Duration = Duration::from_secs(2);

/// What the store contains of a quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredQuarantine {
    /// Time since the decision.
    pub age: Duration,
    /// The probes so far.
    pub probes: ProbeHistory,
    /// Where it is in force.
    pub scope: QuarantineScope,
}

impl RestoredQuarantine {
    /// Creates a quarantine without probes whose decision was made `age` ago. It is in force at
    /// all services.
    pub fn new(age: Duration) -> Self {
        Self {
            age,
            probes: ProbeHistory::default(),
            scope: QuarantineScope::default(),
        }
    }

    /// Sets where it is in force.
    pub fn with_scope(self, scope: QuarantineScope) -> Self {
        Self { scope, ..self }
    }

    /// Sets the probes so far.
    pub fn with_probes(self, probes: ProbeHistory) -> Self {
        Self { probes, ..self }
    }
}

/// Interval at which old crashes are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What crashes upstreams, as far as one host knows.
#[derive(Clone, Debug, Default)]
pub struct CrashQuarantine {
    started_at: Option<Timestamp>,
    expired_at: Option<Timestamp>,
    successes: RememberedSuccesses,
    crashes: KnownCrashes,
    evidence: SuspectEvidence,
    standings: Standings,
    outbox: Outbox,
}

impl CrashQuarantine {
    /// Creates an instance that knows of no crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request with `suspects` succeeded at an upstream that runs `origin`: its
    /// response is complete, or has been streamed for a second.
    pub fn record_success(
        &mut self,
        now: Timestamp,
        origin: ServiceVersion,
        suspects: &[SuspectKey],
    ) {
        self.note_start(now);
        for key in suspects {
            if self.needs_success_of(*key) {
                self.apply_success(now, *key, origin, now);
            }
        }
    }

    /// Records that a request of this host was on an upstream that ran `origin` when it
    /// crashed. `suspects` are the shared blocks of its prompt, in their order, and the request
    /// itself; each interrupted request is recorded by a call of its own.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        crash: CrashId,
        origin: ServiceVersion,
        suspects: &[SuspectKey],
    ) {
        self.record_past_crash(now, now, crash, origin, suspects);
    }

    /// Does the same for a crash at the time `at` that has only become known now.
    pub fn record_past_crash(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        crash: CrashId,
        origin: ServiceVersion,
        suspects: &[SuspectKey],
    ) {
        self.note_start(now);
        if !suspects.is_empty() {
            self.crashes.record(crash, origin, at);
        }
        for (position, key) in suspects.iter().enumerate() {
            let position = u8::try_from(position).unwrap_or(u8::MAX);
            self.apply_suspect(now, crash, *key, position);
        }
    }

    /// Returns whether a crash is known.
    pub fn knows_crash(&self, crash: CrashId) -> bool {
        self.crashes.time_of(crash).is_some()
    }

    /// Records the news of another host.
    pub fn record_news(&mut self, now: Timestamp, news: &BlameNews) {
        self.note_start(now);
        for notice in news.quarantines.iter().take(MAX_QUARANTINE_NOTICES) {
            self.apply_quarantine_notice(now, notice);
        }
        for notice in news.sound.iter().take(MAX_SOUND_NOTICES) {
            self.apply_sound_notice(now, notice);
        }
        for notice in news.crashes.iter().take(MAX_CRASH_NOTICES) {
            self.apply_crash_notice(now, notice);
        }
    }

    /// Returns the next message for a group of peers; `None` if there is nothing to
    /// tell.
    pub fn news(&mut self, now: Timestamp) -> Option<BlameNews> {
        self.note_start(now);
        self.outbox.expire(now);
        let (crashes, successes) = (&self.crashes, &self.successes);
        let news = BlameNews {
            crashes: self.outbox.crash_notices(now, |id| crashes.time_of(id)),
            sound: self.outbox.sound_notices(now, successes),
            quarantines: self.standings.notices(now),
        };
        (!news.is_empty()).then_some(news)
    }

    /// Returns the messages that tell a host which has just started what is in quarantine.
    /// There is at least one.
    pub fn all_quarantines(&self, now: Timestamp) -> Vec<BlameNews> {
        let notices = self.standings.all_notices(now);
        let messages = notices
            .chunks(MAX_QUARANTINE_NOTICES)
            .map(|chunk| BlameNews {
                quarantines: chunk.to_vec(),
                ..BlameNews::default()
            });
        let messages: Vec<BlameNews> = messages.collect();
        match messages.is_empty() {
            true => vec![BlameNews::default()],
            false => messages,
        }
    }

    /// Quarantines the blocks that must have caused the known crashes. Returns the
    /// suspects that are in quarantine and weren't returned before, including those that
    /// peers told of.
    pub fn decide(&mut self, now: Timestamp) -> Vec<QuarantinedSuspect> {
        self.note_start(now);
        self.expire(now);
        while let Some(found) = self.find_cause(now) {
            let (key, figures) = (found.figures.key, &found.figures);
            let grounds = Grounds {
                scope: self.scope_of(key, figures.origins.clone(), figures.first_at),
                crashes: found.figures.counted.len() as u32,
                episodes: found.figures.episodes as u32,
                source: QuarantineSource::OwnEvidence,
            };
            self.quarantine(now, key, Duration::ZERO, grounds);
        }
        self.standings.take_unreported(now)
    }

    /// Returns the first of `suspects` that is in quarantine at the service with this name.
    pub fn find(
        &self,
        now: Timestamp,
        service: &str,
        suspects: &[SuspectKey],
    ) -> Option<QuarantinedSuspect> {
        if self.standings.is_empty() {
            return None;
        }
        let service = service_hash(service);
        let mut suspects = suspects.iter();
        suspects.find_map(|key| self.standings.find_at(now, *key, service))
    }

    /// Returns the suspects in quarantine.
    pub fn active(&self, now: Timestamp) -> impl Iterator<Item = QuarantinedSuspect> {
        self.standings.active(now)
    }

    /// Restores a quarantine that the store contains.
    pub fn restore(&mut self, now: Timestamp, key: SuspectKey, stored: RestoredQuarantine) {
        self.note_start(now);
        let decided_at = now - stored.age;
        if !self.is_refuted(key, &stored.scope, decided_at) {
            let grounds = Grounds {
                scope: self.told_scope(key, &stored.scope, decided_at),
                crashes: 0,
                episodes: 0,
                source: QuarantineSource::Store,
            };
            self.quarantine(now, key, stored.age, grounds);
            self.standings.record_probes(now, key, stored.probes);
        }
    }

    /// Returns a suspect if it is in quarantine at any service.
    pub fn find_anywhere(&self, now: Timestamp, key: SuspectKey) -> Option<QuarantinedSuspect> {
        self.standings.find(now, key)
    }

    /// Records that this host sends a request as a probe of a quarantined suspect.
    pub fn record_probe(&mut self, now: Timestamp, key: SuspectKey) {
        if let Some(found) = self.find_anywhere(now, key) {
            let probes = ProbeHistory {
                count: found.probes.count + 1,
                latest_age: Some(Duration::ZERO),
                other_age: None,
            };
            self.standings.record_probes(now, key, probes);
        }
    }

    fn note_start(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
    }

    /// Forgets old crashes, now and then.
    fn expire(&mut self, now: Timestamp) {
        if self
            .expired_at
            .is_some_and(|at| now.since(at) < EXPIRY_INTERVAL)
        {
            return;
        }
        self.expired_at = Some(now);
        self.crashes.expire(now);
        let (crashes, successes) = (&self.crashes, &self.successes);
        let is_over = |key, crash| {
            let time = crashes.time_of(crash);
            let origin = crashes.origin_of(crash);
            let success = origin.and_then(|origin| successes.latest_at(key, origin));
            time.is_none() || time <= success
        };
        self.evidence.remove_crashes(is_over);
    }

    /// Returns whether a success of the suspect matters. Nearly all requests come once, so
    /// that only the successes of suspected ones are remembered.
    fn needs_success_of(&self, key: SuspectKey) -> bool {
        match key.kind {
            SuspectKind::Block => true,
            SuspectKind::Request => self.evidence.has(key) || self.standings.has(key),
        }
    }

    fn apply_success(
        &mut self,
        now: Timestamp,
        key: SuspectKey,
        origin: ServiceVersion,
        at: Timestamp,
    ) {
        self.successes.record(key, origin, at);
        let crashes = &self.crashes;
        let is_refuted = |crash| {
            let is_of_origin = crashes
                .origin_of(crash)
                .is_none_or(|one| one.may_be(origin));
            is_of_origin && crashes.time_of(crash).is_none_or(|time| time <= at)
        };
        let clears_crashes = self.evidence.remove(key, is_refuted);
        let refutes_decision = self.standings.record_success(key, origin, at);
        if clears_crashes || refutes_decision {
            self.outbox.add_sound(now, key, origin);
        }
    }

    /// Records that a suspect was on a crashed upstream.
    fn apply_suspect(&mut self, now: Timestamp, crash: CrashId, key: SuspectKey, position: u8) {
        if self.evidence.contains(crash, key) {
            return;
        }
        let Some(origin) = self.crashes.origin_of(crash) else {
            return;
        };
        let time = self.crashes.time_of(crash);
        let latest_there = self.successes.latest_at(key, origin);
        let is_refuted = latest_there >= time;
        let is_new = match self.standings.status_at(now, key, origin.service) {
            _ if self.crashes.is_explained(crash) => false,
            SuspectStatus::Quarantined if self.led_to_quarantine(crash, key) => false,
            SuspectStatus::Quarantined => {
                let is_new = self.explain(crash);
                if is_new {
                    self.standings.record_crash(key, origin);
                }
                is_new
            }
            _ if is_refuted => false,
            _ => self.evidence.record(now, crash, key, position),
        };
        // Hosts that don't know of the success would take the suspect for a new one.
        let latest = self.successes.latest(key);
        if let Some(latest) = latest.filter(|_| is_new || is_refuted) {
            let told = latest_there.map_or(latest.origin, |_| origin);
            self.outbox.add_sound(now, key, told);
        }
        if is_new {
            let suspect = OutgoingSuspect {
                crash,
                origin,
                key,
                position,
                has_succeeded: latest_there.is_some(),
            };
            self.outbox.add_suspect(now, suspect);
            self.judge_request(now, key);
        }
    }

    /// Returns whether a crash is one of those for which a request was quarantined. The
    /// other suspects of these crashes may have caused them just as well.
    fn led_to_quarantine(&self, crash: CrashId, key: SuspectKey) -> bool {
        let decided_at = self.standings.decided_at(key);
        key.kind == SuspectKind::Request && self.crashes.time_of(crash) <= decided_at
    }

    /// Quarantines a request that was on enough crashed upstreams.
    fn judge_request(&mut self, now: Timestamp, key: SuspectKey) {
        if key.kind != SuspectKind::Request {
            return;
        }
        let group = self.group_against(key);
        let crashes = group.len() as u32;
        if self.is_on_probation(now, key, &group.origins())
            || crashes >= key.kind.crashes_to_decide()
        {
            let grounds = Grounds {
                scope: self.scope_of(key, group.origins(), group.first_at()),
                crashes,
                episodes: crashes,
                source: QuarantineSource::OwnEvidence,
            };
            self.quarantine(now, key, Duration::ZERO, grounds);
        }
    }

    fn apply_crash_notice(&mut self, now: Timestamp, notice: &CrashNotice) {
        let at = now - from_ms(notice.age_ms);
        self.crashes.record(notice.crash, notice.origin(), at);
        if self.crashes.is_explained(notice.crash) {
            return;
        }
        for suspect in notice.suspects.iter().take(MAX_SUSPECTS) {
            let key = SuspectKey {
                kind: suspect.kind,
                id: suspect.id,
            };
            self.apply_suspect(now, notice.crash, key, suspect.position);
        }
    }

    fn apply_sound_notice(&mut self, now: Timestamp, notice: &SoundNotice) {
        let at = now - from_ms(notice.age_ms);
        self.apply_success(now, notice.key.key(), notice.origin(), at);
    }

    fn apply_quarantine_notice(&mut self, now: Timestamp, notice: &QuarantineNotice) {
        let Some(age) = notice.age() else {
            return;
        };
        let (key, told, decided_at) = (notice.key.key(), notice.scope(), now - age);
        if !self.is_refuted(key, &told, decided_at) {
            let grounds = Grounds {
                scope: self.told_scope(key, &told, decided_at),
                crashes: u32::from(notice.crashes),
                episodes: u32::from(notice.episodes),
                source: QuarantineSource::Peer,
            };
            self.quarantine(now, key, age, grounds);
            let probes = notice.probe_history();
            self.standings.record_probes(now, key, probes);
        }
    }

    /// Returns whether a success after a decision refutes it.
    fn is_refuted(&self, key: SuspectKey, scope: &QuarantineScope, decided_at: Timestamp) -> bool {
        let mut since = self.successes.since(key, Some(decided_at));
        since.any(|one| scope.is_refuted_by(key, one.origin, one.at.since(decided_at)))
    }

    /// Returns whether the quarantine of a suspect that crashed upstreams which run `origins` was
    /// in force there, is over, and hasn't been refuted.
    fn is_on_probation(&self, now: Timestamp, key: SuspectKey, origins: &[ServiceVersion]) -> bool {
        let mut services = origins.iter().map(|origin| origin.service);
        services.any(|service| {
            self.standings.status_at(now, key, service) == SuspectStatus::OnProbation
        })
    }

    /// Returns the crashes that add up against a suspect.
    fn group_against(&self, key: SuspectKey) -> CrashGroup {
        self.evidence
            .largest_group(key, &self.crashes, &self.successes)
    }

    /// Returns where a quarantine is in force: not at services at which the suspect has
    /// succeeded since the first crash that led to it, unless they are among those that crashed.
    fn scope_of(
        &self,
        key: SuspectKey,
        crashed: Vec<ServiceVersion>,
        first_at: Option<Timestamp>,
    ) -> QuarantineScope {
        let sound = self.successes.since(key, first_at);
        QuarantineScope::new(crashed, sound.map(|one| one.origin.service).collect())
    }

    /// Returns where a quarantine is in force that another host decided on, from what it told
    /// and what this host knows itself: the versions that crashed, and later successes.
    fn told_scope(
        &self,
        key: SuspectKey,
        told: &QuarantineScope,
        decided_at: Timestamp,
    ) -> QuarantineScope {
        let group = self.group_against(key);
        let since = group.first_at().map_or(decided_at, |at| at.min(decided_at));
        let mut crashed = group.origins();
        crashed.retain(|origin| told.has_crashed(origin.service));
        let mut scope = QuarantineScope::new(crashed, Vec::new());
        scope.join(told);
        let sound = self.successes.since(key, Some(since));
        sound.for_each(|one| {
            scope.add_sound(one.origin.service);
        });
        scope
    }

    /// Quarantines a suspect. The crashes of upstreams that a block was on are explained.
    fn quarantine(&mut self, now: Timestamp, key: SuspectKey, age: Duration, grounds: Grounds) {
        let is_new = self.standings.quarantine(now, key, age, grounds);
        if !is_new {
            return;
        }
        let crashes = self.evidence.take(key);
        if key.kind == SuspectKind::Block {
            for crash in crashes {
                self.explain(crash);
            }
        }
    }

    /// Records that a quarantined suspect explains a crash; returns whether this is new.
    fn explain(&mut self, crash: CrashId) -> bool {
        let is_new = self.crashes.explain(crash);
        if is_new {
            self.evidence.remove_crashes(|_, other| other == crash);
        }
        is_new
    }

    /// Returns the block that must have caused crashes.
    fn find_cause(&self, now: Timestamp) -> Option<SuspectedBlock> {
        let started_at = self.started_at?;
        if now.since(started_at) < START_TIME {
            return None;
        }
        let may_be_on_probation =
            |key| self.standings.status(now, key) == SuspectStatus::OnProbation;
        let is_relevant = |key: SuspectKey, crashes| {
            key.kind == SuspectKind::Block && (crashes >= MIN_CRASHES || may_be_on_probation(key))
        };
        let (crashes, successes) = (&self.crashes, &self.successes);
        let figures = self.evidence.figures(now, crashes, successes, is_relevant);
        let blocks = figures.into_iter().map(|figures| SuspectedBlock {
            has_succeeded_anywhere: successes.latest(figures.key).is_some(),
            has_succeeded: figures
                .origins
                .iter()
                .any(|origin| successes.latest_at(figures.key, *origin).is_some()),
            is_on_probation: self.is_on_probation(now, figures.key, &figures.origins),
            figures,
        });
        let blocks: Vec<SuspectedBlock> = blocks.collect();
        suspicion::find_cause(now, &blocks).cloned()
    }
}
