//! The table of members.

use super::{Member, MemberKey, MemberState};
use crate::wire::{IncarnationId, MemberRecord, ReportedState};
use lagoonlift_types::ProcessId;
use slotmap::SlotMap;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Whether a member counts as taking part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It takes part, suspected or not.
    Live,
    /// It left, or was suspected for too long.
    Gone,
}

/// What is known of one other process.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) fact: MemberRecord,
    /// Computed from the fact's process and incarnation.
    pub(crate) identity: IncarnationId,
    pub(crate) health: Health,
    /// When the suspicion arose, or the member was counted as gone.
    pub(crate) since: Duration,
}

impl Entry {
    pub(crate) fn new(fact: MemberRecord, now: Duration) -> Self {
        let health = match fact.state {
            ReportedState::Left => Health::Gone,
            ReportedState::Alive | ReportedState::Draining | ReportedState::Suspect => Health::Live,
        };
        Self {
            identity: fact.identity(),
            fact,
            health,
            since: now,
        }
    }

    fn member(&self) -> Option<Member> {
        let state = match self.fact.state {
            _ if self.health == Health::Gone => return None,
            ReportedState::Alive => MemberState::Alive,
            ReportedState::Draining => MemberState::Draining,
            ReportedState::Suspect => MemberState::Suspect,
            ReportedState::Left => return None,
        };
        Some(Member {
            process: self.fact.process.clone(),
            data_centre: self.fact.data_centre.clone(),
            address: self.fact.address,
            incarnation: self.fact.incarnation,
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
        let process = entry.fact.process.clone();
        let key = self.entries.insert(entry);
        self.keys.insert(process, key);
        key
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        let entries = self.keys.values().map(|key| &self.entries[*key]);
        entries.filter_map(Entry::member).collect()
    }

    pub(crate) fn live_facts(&self) -> Vec<MemberRecord> {
        let live = self.live();
        live.map(|(_, entry)| entry.fact.clone()).collect()
    }

    pub(crate) fn live_keys(&self) -> Vec<MemberKey> {
        self.live().map(|(key, _)| key).collect()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        let live = |(_, entry): &(MemberKey, &Entry)| entry.health == Health::Live;
        self.entries.iter().filter(live)
    }

    pub(crate) fn gone(&self) -> impl Iterator<Item = &Entry> {
        let gone = |entry: &&Entry| entry.health == Health::Gone;
        self.entries.values().filter(gone)
    }

    /// Gives suspected members the time that this process stood still.
    pub(crate) fn postpone(&mut self, stall: Duration) {
        for entry in self.entries.values_mut() {
            entry.since += stall;
        }
    }

    /// Counts members as gone that were suspected for `timeout`, and forgets
    /// those gone for `forget_after`; returns whether anything changed.
    pub(crate) fn expire(
        &mut self,
        now: Duration,
        timeout: Duration,
        forget_after: Duration,
    ) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            let age = now.saturating_sub(entry.since);
            match (entry.health, entry.fact.state) {
                (Health::Live, ReportedState::Suspect) if age >= timeout => {
                    entry.health = Health::Gone;
                    entry.since = now;
                    changed = true;
                }
                _ => {}
            }
        }
        let forgotten = |entry: &Entry| {
            entry.health == Health::Gone && now.saturating_sub(entry.since) >= forget_after
        };
        let before = self.entries.len();
        self.entries.retain(|_, entry| !forgotten(entry));
        let entries = &self.entries;
        self.keys.retain(|_, key| entries.contains_key(*key));
        changed || self.entries.len() < before
    }
}
