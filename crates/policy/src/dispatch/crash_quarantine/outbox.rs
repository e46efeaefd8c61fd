//! What a host has learned in the last second and still tells its peers.
//!
//! Datagrams get lost and each message reaches a part of the hosts, so every notice is
//! sent repeatedly. The notices that were sent least often come first.

use super::news::{
    CrashNotice, MAX_CRASH_NOTICES, MAX_SOUND_NOTICES, MAX_SUSPECTS, SoundNotice, Suspect, age_ms,
};
use super::successes::RememberedSuccesses;
use super::{CrashId, ServiceVersion, SuspectKey};
use crate::Timestamp;
use std::time::Duration;

/// Time for which a notice is sent after the event was learned.
pub(super) const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Largest number of suspects, and of successes, that wait to be sent.
const MAX_ENTRIES: usize = 1_024;

/// A suspect on a crashed upstream, to be sent to peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingSuspect {
    pub(super) crash: CrashId,
    /// What the upstream ran.
    pub(super) origin: ServiceVersion,
    pub(super) key: SuspectKey,
    pub(super) position: u8,
    /// Whether the suspect is known to have succeeded. Such suspects are sent later.
    pub(super) has_succeeded: bool,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    item: T,
    until: Timestamp,
    sends: u32,
}

/// The notices that are being sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    suspects: Vec<Entry<OutgoingSuspect>>,
    sound: Vec<Entry<(SuspectKey, ServiceVersion)>>,
}

impl Outbox {
    /// Sends a suspect for the next [`NOTICE_TIME`].
    pub(super) fn add_suspect(&mut self, now: Timestamp, suspect: OutgoingSuspect) {
        add(&mut self.suspects, now, suspect);
    }

    /// Sends the latest success of a suspect at some software for the next [`NOTICE_TIME`],
    /// unless it is being sent already.
    pub(super) fn add_sound(&mut self, now: Timestamp, key: SuspectKey, origin: ServiceVersion) {
        let item = (key, origin);
        let known = self.sound.iter_mut().find(|entry| entry.item == item);
        match known {
            Some(entry) if now < entry.until => {}
            Some(entry) => entry.until = now + NOTICE_TIME,
            None => add(&mut self.sound, now, item),
        }
    }

    /// Removes the notices whose time is over.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.suspects.retain(|entry| now < entry.until);
        self.sound.retain(|entry| now < entry.until);
    }

    /// Returns the crash notices of the next message. `time_of` returns when a crash
    /// happened, if it still is known.
    pub(super) fn crash_notices(
        &mut self,
        now: Timestamp,
        time_of: impl Fn(CrashId) -> Option<Timestamp>,
    ) -> Vec<CrashNotice> {
        self.suspects
            .sort_by_key(|entry| (entry.sends, entry.item.has_succeeded));
        let mut notices: Vec<CrashNotice> = Vec::new();
        for entry in &mut self.suspects {
            let Some(at) = time_of(entry.item.crash) else {
                continue;
            };
            let Some(notice) = notice_for(&mut notices, &entry.item, age_ms(now, at)) else {
                continue;
            };
            notice.suspects.push(Suspect {
                kind: entry.item.key.kind,
                id: entry.item.key.id,
                position: entry.item.position,
            });
            entry.sends += 1;
        }
        notices
    }

    /// Returns the sound notices of the next message.
    pub(super) fn sound_notices(
        &mut self,
        now: Timestamp,
        successes: &RememberedSuccesses,
    ) -> Vec<SoundNotice> {
        self.sound.sort_by_key(|entry| entry.sends);
        let mut notices = Vec::new();
        for entry in self.sound.iter_mut().take(MAX_SOUND_NOTICES) {
            entry.sends += 1;
            let (key, origin) = entry.item;
            let latest = successes.latest_at(key, origin);
            notices.extend(latest.map(|at| SoundNotice::new(key, origin, age_ms(now, at))));
        }
        notices
    }
}

/// Adds an entry, in place of the one that was sent most often if there are too many.
fn add<T>(entries: &mut Vec<Entry<T>>, now: Timestamp, item: T) {
    if entries.len() >= MAX_ENTRIES {
        let most_sent = (0..entries.len()).max_by_key(|index| entries[*index].sends);
        most_sent.map(|index| entries.swap_remove(index));
    }
    entries.push(Entry {
        item,
        until: now + NOTICE_TIME,
        sends: 0,
    });
}

/// Returns the notice that has space for a suspect; `None` if the message has none.
fn notice_for<'a>(
    notices: &'a mut Vec<CrashNotice>,
    suspect: &OutgoingSuspect,
    age_ms: u32,
) -> Option<&'a mut CrashNotice> {
    let is_for_suspect = |notice: &CrashNotice| {
        notice.crash == suspect.crash && notice.suspects.len() < MAX_SUSPECTS
    };
    match notices.iter().position(is_for_suspect) {
        Some(index) => notices.get_mut(index),
        None if notices.len() < MAX_CRASH_NOTICES => {
            notices.push(CrashNotice {
                crash: suspect.crash,
                age_ms,
                service: suspect.origin.service,
                suspects: Vec::new(),
                version: suspect.origin.version,
            });
            notices.last_mut()
        }
        None => None,
    }
}
