//! The messages in which hosts tell each other of crashes, successes and quarantines.

use super::key::SuspectAtService;
use super::{CrashId, QuarantineScope, ServiceVersion, SuspectKey, SuspectKind};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest number of crash notices in one message.
pub(super) const MAX_CRASH_NOTICES: usize = 3;

/// Largest number of suspects in one crash notice.
pub(super) const MAX_SUSPECTS: usize = 16;

/// Largest number of sound notices in one message.
pub(super) const MAX_SOUND_NOTICES: usize = 8;

/// Largest number of quarantine notices in one message.
pub(super) const MAX_QUARANTINE_NOTICES: usize = 8;

/// One host's message to its peers. In postcard's format it takes less than 1,000 bytes.
///
/// Times are ages in milliseconds, since hosts don't share a clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameNews {
    pub(super) crashes: Vec<CrashNotice>,
    pub(super) sound: Vec<SoundNotice>,
    pub(super) quarantines: Vec<QuarantineNotice>,
}

impl BlameNews {
    /// Returns what follows the message, in the order of its notices.
    pub fn details(&self) -> BlameDetails {
        BlameDetails {
            crashes: self.crashes.iter().map(|one| one.version).collect(),
            sound: self.sound.iter().map(|one| one.version).collect(),
            quarantines: self
                .quarantines
                .iter()
                .map(|one| (one.further_crashed.clone(), one.sound.clone()))
                .collect(),
        }
    }

    /// Adds what followed the message.
    pub fn set_details(&mut self, details: BlameDetails) {
        let crashes = self.crashes.iter_mut().zip(details.crashes);
        crashes.for_each(|(one, version)| one.version = version);
        let sound = self.sound.iter_mut().zip(details.sound);
        sound.for_each(|(one, version)| one.version = version);
        for (one, (crashed, sound)) in self.quarantines.iter_mut().zip(details.quarantines) {
            one.further_crashed = crashed;
            one.sound = sound;
        }
    }

    /// Returns whether the message contains no notice.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.quarantines.is_empty()
    }
}

/// What follows a [`BlameNews`]. Earlier releases don't know it; without it, versions and further
/// services are unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameDetails {
    /// Versions of the upstreams that crashed.
    crashes: Vec<Option<u32>>,
    /// Versions at which suspects succeeded.
    sound: Vec<Option<u32>>,
    /// For each quarantine, further services whose upstreams crashed, and those at which the
    /// suspect is sound.
    quarantines: Vec<(Vec<u32>, Vec<u32>)>,
}

/// Suspects of requests that were on an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CrashNotice {
    pub(super) crash: CrashId,
    pub(super) age_ms: u32,
    /// Service of the upstream.
    pub(super) service: u32,
    pub(super) suspects: Vec<Suspect>,
    #[serde(skip)]
    pub(super) version: Option<u32>,
}

/// A request that a crash interrupted, or one of its blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Suspect {
    pub(super) kind: SuspectKind,
    pub(super) id: u64,
    /// Position of the block in the prompt. A request comes after its blocks.
    pub(super) position: u8,
}

/// The latest success of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SoundNotice {
    pub(super) key: SuspectAtService,
    pub(super) age_ms: u32,
    #[serde(skip)]
    pub(super) version: Option<u32>,
}

/// A quarantine that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct QuarantineNotice {
    /// The suspect and a service whose upstreams crashed.
    pub(super) key: SuspectAtService,
    /// Time since the decision.
    pub(super) age_ms: u32,
    pub(super) crashes: u8,
    pub(super) episodes: u8,
    /// Probes so far.
    pub(super) probes: u8,
    /// Time since the latest probe.
    pub(super) probe_age_ms: Option<u32>,
    /// Further services whose upstreams crashed.
    #[serde(skip)]
    pub(super) further_crashed: Vec<u32>,
    /// Services at which the quarantine isn't in force.
    #[serde(skip)]
    pub(super) sound: Vec<u32>,
}

impl CrashNotice {
    /// Returns what the upstream ran.
    pub(super) fn origin(&self) -> ServiceVersion {
        ServiceVersion {
            service: self.service,
            version: self.version,
        }
    }
}

impl SoundNotice {
    /// Creates the notice of a success that came `age_ms` ago.
    pub(super) fn new(key: SuspectKey, origin: ServiceVersion, age_ms: u32) -> Self {
        Self {
            key: SuspectAtService::new(key, origin.service),
            age_ms,
            version: origin.version,
        }
    }

    /// Returns what the upstream ran.
    pub(super) fn origin(&self) -> ServiceVersion {
        ServiceVersion {
            service: self.key.service,
            version: self.version,
        }
    }
}

impl QuarantineNotice {
    /// Returns where the quarantine is in force.
    pub(super) fn scope(&self) -> QuarantineScope {
        let mut crashed = vec![self.key.service];
        crashed.extend(&self.further_crashed);
        QuarantineScope::from_services(&crashed, &self.sound)
    }
}

/// Returns the age of an event at the time `at`, for a notice.
pub(super) fn age_ms(now: Timestamp, at: Timestamp) -> u32 {
    to_ms(now.since(at))
}

/// Returns a duration in whole milliseconds, for a notice.
pub(super) fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Returns a duration that a notice contains.
pub(super) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
