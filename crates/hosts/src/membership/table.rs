//! The table of members.

use super::{Member, MemberKey, MemberState};
use crate::wire::{IncarnationId, MemberRecord, ReportedState};
use lagoonlift_types::ProcessId;
use slotmap::SlotMap;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Whether a member counts as alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The member is running; it may be suspected.
    Live,
    /// The member exited, or was suspected for too long.
    Dead,
}

/// The state of one other process.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) record: MemberRecord,
    /// Computed from the process and incarnation of the record.
    pub(crate) incarnation_id: IncarnationId,
    pub(crate) liveness: Liveness,
    /// Time of the last change of the record or of the liveness, measured from the
    /// start of the clock whose time the caller passes as `now`. If this process
    /// was stalled, `extend_timers` moves it forward by the length of the stall.
    pub(crate) state_since: Duration,
}

impl Entry {
    pub(crate) fn new(record: MemberRecord, now: Duration) -> Self {
        let liveness = match record.state {
            ReportedState::Exited => Liveness::Dead,
            ReportedState::Alive | ReportedState::Draining | ReportedState::Suspect => {
                Liveness::Live
            }
        };
        Self {
            incarnation_id: record.incarnation_id(),
            record,
            liveness,
            state_since: now,
        }
    }

    fn member(&self) -> Option<Member> {
        let state = match self.record.state {
            _ if self.liveness == Liveness::Dead => return None,
            ReportedState::Alive => MemberState::Alive,
            ReportedState::Draining => MemberState::Draining,
            ReportedState::Suspect => MemberState::Suspect,
            ReportedState::Exited => return None,
        };
        Some(Member {
            process: self.record.process.clone(),
            data_centre: self.record.data_centre.clone(),
            address: self.record.address,
            incarnation: self.record.incarnation,
            state,
        })
    }
}

/// All other processes that are known.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: SlotMap<MemberKey, Entry>,
    keys: BTreeMap<ProcessId, MemberKey>,
}

impl Index<MemberKey> for MemberTable {
    type Output = Entry;

    fn index(&self, key: MemberKey) -> &Entry {
        &self.entries[key]
    }
}

impl IndexMut<MemberKey> for MemberTable {
    fn index_mut(&mut self, key: MemberKey) -> &mut Entry {
        &mut self.entries[key]
    }
}

impl MemberTable {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn key(&self, process: &ProcessId) -> Option<MemberKey> {
        self.keys.get(process).copied()
    }

    pub(crate) fn get(&self, key: MemberKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(crate) fn insert(&mut self, entry: Entry) -> MemberKey {
        let process = entry.record.process.clone();
        let key = self.entries.insert(entry);
        self.keys.insert(process, key);
        key
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        let entries = self.keys.values().map(|key| &self.entries[*key]);
        entries.filter_map(Entry::member).collect()
    }

    pub(crate) fn live_records(&self) -> Vec<MemberRecord> {
        let live = self.live();
        live.map(|(_, entry)| entry.record.clone()).collect()
    }

    pub(crate) fn live_keys(&self) -> Vec<MemberKey> {
        self.live().map(|(key, _)| key).collect()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        let live = |(_, entry): &(MemberKey, &Entry)| entry.liveness == Liveness::Live;
        self.entries.iter().filter(live)
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &Entry> {
        let dead = |entry: &&Entry| entry.liveness == Liveness::Dead;
        self.entries.values().filter(dead)
    }

    /// Extends the timers of all members by the time for which this process was
    /// stalled.
    pub(crate) fn extend_timers(&mut self, stall: Duration) {
        for entry in self.entries.values_mut() {
            entry.state_since += stall;
        }
    }

    /// Marks members as dead that were suspected for `timeout`, and removes
    /// members that have been dead for `retention`. Returns whether anything
    /// changed.
    pub(crate) fn expire(&mut self, now: Duration, timeout: Duration, retention: Duration) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            let age = now.saturating_sub(entry.state_since);
            match (entry.liveness, entry.record.state) {
                (Liveness::Live, ReportedState::Suspect) if age >= timeout => {
                    entry.liveness = Liveness::Dead;
                    entry.state_since = now;
                    changed = true;
                }
                _ => {}
            }
        }
        let is_expired = |entry: &Entry| {
            entry.liveness == Liveness::Dead && now.saturating_sub(entry.state_since) >= retention
        };
        let before = self.entries.len();
        self.entries.retain(|_, entry| !is_expired(entry));
        let entries = &self.entries;
        self.keys.retain(|_, key| entries.contains_key(*key));
        changed || self.entries.len() < before
    }
}
