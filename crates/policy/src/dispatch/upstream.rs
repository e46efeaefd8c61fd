//! The upstreams that the store lists, and what this host has in flight there.
//!
//! The list is the only source of who may be used. An upstream that is leaving
//! or gone gets nothing new from the moment its change is seen. One exception:
//! while the store was away it may have dropped upstreams that are alive, so
//! what is missing right after an outage is kept for the time within which the
//! living are back.

mod record;

pub use record::{EngineRole, ListChange, UpstreamId, UpstreamPhase, UpstreamRecord};

use super::reachability::Reachability;
use super::{PeerLoads, UpstreamDigest};
use crate::{Timestamp, UpstreamKey};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;

/// Within this time after an outage of the store, living upstreams are listed
/// again.
const RELIST_TIME: Duration = Duration::from_millis(2_000);

/// Pause after a first failure to reach an upstream.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failures in a row.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Failures in a row after which an upstream is taken for dead.
const DEAD_FAILURES: u32 = 4;

/// Refusals in a row after which an upstream is passed over.
const LEAST_REFUSALS: u32 = 2;

/// First pause after refusals in a row. An engine that changes its role refuses
/// for seconds and looks idle meanwhile; a full one refuses for milliseconds.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after refusals in a row.
const LONGEST_REFUSAL_PAUSE: Duration = Duration::from_millis(1_000);

/// Weight of the newest result in the failure share.
const FAILURE_WEIGHT: f64 = 0.2;

/// Weight of the newest answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// One start of one upstream, with what this host knows of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the store lists.
    pub record: UpstreamRecord,
    /// Short form of its identifier.
    pub digest: UpstreamDigest,
    /// Requests of this host that are under way there.
    pub in_flight: u32,
    /// Prompt tokens of this host that wait there or are being read.
    pub prefill_tokens: u64,
    /// Share of the latest sends that failed, 0 to 1.
    pub failure_share: f64,
    /// Mean time to the first byte of an answer, in seconds; zero before the
    /// first.
    pub mean_latency_s: f64,
    failures_in_row: u32,
    refusals_in_row: u32,
    /// Prompts in a row that it read and whose memory could not be taken.
    lost_memories_in_row: u32,
    paused_until: Option<Timestamp>,
    no_reader_until: Option<Timestamp>,
    /// The entry is missing since an outage and is dropped at this time.
    dropped_at: Option<Timestamp>,
}

impl Upstream {
    fn new(record: UpstreamRecord) -> Self {
        Self {
            digest: UpstreamDigest::new(&record.id),
            record,
            in_flight: 0,
            prefill_tokens: 0,
            failure_share: 0.0,
            mean_latency_s: 0.0,
            failures_in_row: 0,
            refusals_in_row: 0,
            lost_memories_in_row: 0,
            paused_until: None,
            no_reader_until: None,
            dropped_at: None,
        }
    }

    /// Returns whether new work may go there.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.record.phase == UpstreamPhase::Serving
            && self.paused_until.is_none_or(|until| until <= now)
    }

    /// Returns whether prompts may be read there for another engine.
    pub fn can_prefill(&self, now: Timestamp) -> bool {
        self.no_reader_until.is_none_or(|until| until <= now)
    }

    /// Notes a refusal; after the second in a row it is passed over for a while.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.refusals_in_row += 1;
        let pause = refusal_pause(self.refusals_in_row);
        self.paused_until = pause.map(|pause| now + pause).max(self.paused_until);
    }

    /// Notes whether the memory of a prompt read there could be taken.
    pub fn record_kv_transfer(&mut self, now: Timestamp, was_taken: bool) {
        match was_taken {
            true => self.lost_memories_in_row = 0,
            false => self.lost_memories_in_row += 1,
        }
        let pause = refusal_pause(self.lost_memories_in_row);
        self.no_reader_until = pause.map(|pause| now + pause);
    }

    /// Returns the prompt tokens of all hosts that it has yet to read.
    pub fn prefill_backlog(&self, peers: &PeerLoads) -> u64 {
        self.prefill_tokens + peers.in_flight_on(self.digest).prefill_tokens
    }

    /// Returns whether it has failed so often in a row that it is taken for dead,
    /// although it is still listed.
    pub fn is_unreachable(&self) -> bool {
        self.failures_in_row >= DEAD_FAILURES
    }

    /// Notes an answer that took `latency` to its first byte.
    pub fn record_response(&mut self, latency: Duration) {
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        self.paused_until = None;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        let latency_s = latency.as_secs_f64();
        self.mean_latency_s = match self.mean_latency_s {
            0.0 => latency_s,
            mean => mean + LATENCY_WEIGHT * (latency_s - mean),
        };
    }

    /// Notes that a send failed; it is left alone for a while after a second
    /// failure in a row, at once if it could not be reached.
    pub fn record_failure(&mut self, now: Timestamp, is_unreachable: bool) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        self.failures_in_row += 1;
        let earlier = if is_unreachable { 1 } else { 2 };
        if self.failures_in_row >= earlier {
            let doublings = (self.failures_in_row - earlier).min(8);
            let pause = FIRST_PAUSE * 2_u32.pow(doublings);
            self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
        }
    }
}

/// Returns the pause after so many refusals in a row.
fn refusal_pause(refusals: u32) -> Option<Duration> {
    let doublings = refusals.checked_sub(LEAST_REFUSALS)?;
    let pause = FIRST_REFUSAL_PAUSE * 2_u32.pow(doublings.min(8));
    Some(pause.min(LONGEST_REFUSAL_PAUSE))
}

/// All upstreams that this host may use.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    entries: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Starts that were seen leaving; an older entry of one doesn't revive it.
    left: HashMap<UpstreamId, Option<u64>>,
    is_listed: bool,
    is_store_away: bool,
    /// Entries missing before this time may still come back.
    relisted_by: Option<Timestamp>,
    reachability: Reachability,
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a list has been read at all.
    pub fn is_loaded(&self) -> bool {
        self.is_listed
    }

    /// Returns an upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.entries.get(key)
    }

    /// Returns an upstream.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.entries.get_mut(key)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.entries.iter()
    }

    /// Returns the upstreams of `service` to which new work may go. Those of a
    /// data centre that is cut off are among them only if there are no others.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        let passes_over = !self.reachability.is_sound()
            && self
                .serving(service, now)
                .any(|(_, upstream)| self.is_reachable(upstream, now));
        self.serving(service, now)
            .filter(move |(_, upstream)| !passes_over || self.is_reachable(upstream, now))
    }

    fn serving<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        self.entries.iter().filter(move |(_, upstream)| {
            upstream.record.service == service && upstream.is_usable(now)
        })
    }

    fn is_reachable(&self, upstream: &Upstream, now: Timestamp) -> bool {
        let data_centre = &upstream.record.data_centre;
        !self.reachability.is_cut_off(now, data_centre)
    }

    /// Notes that a request is sent to an upstream.
    pub fn record_send(&mut self, now: Timestamp, key: UpstreamKey) {
        if let Some(upstream) = self.entries.get(key) {
            let data_centre = &upstream.record.data_centre;
            self.reachability.note_send(now, data_centre);
        }
    }

    /// Notes whether anything came back from an upstream; `false` if a connection
    /// or an answer was waited for in vain. Returns whether its data centre has
    /// come to count as cut off by that, or no longer does.
    pub fn record_contact(&mut self, now: Timestamp, key: UpstreamKey, came_back: bool) -> bool {
        let Some(upstream) = self.entries.get(key) else {
            return false;
        };
        let data_centre = &upstream.record.data_centre;
        match came_back {
            true => self.reachability.note_answer(data_centre),
            false => self.reachability.note_silence(now, data_centre, key),
        }
    }

    /// Notes that a call to the store failed.
    pub fn record_store_unavailable(&mut self) {
        self.is_store_away = true;
    }

    /// Notes that the store answered; from the first answer after a failure on
    /// missing upstreams have [`RELIST_TIME`] to come back.
    pub fn record_store_available(&mut self, now: Timestamp) {
        if self.is_store_away {
            self.is_store_away = false;
            self.relisted_by = Some(now + RELIST_TIME);
        }
    }

    /// Takes in a whole list; returns the keys of upstreams that are gone.
    pub fn apply_list(&mut self, now: Timestamp, records: Vec<UpstreamRecord>) -> Vec<UpstreamKey> {
        self.is_listed = true;
        let mut gone = Vec::new();
        let missing: Vec<UpstreamId> = self
            .by_id
            .keys()
            .filter(|id| !records.iter().any(|record| record.id == **id))
            .cloned()
            .collect();
        for id in missing {
            gone.extend(self.apply(now, ListChange::Removed(id)));
        }
        for record in records {
            gone.extend(self.apply(now, ListChange::Present(record)));
        }
        gone
    }

    /// Takes in one change; returns the key of the upstream that is gone by it.
    pub fn apply(&mut self, now: Timestamp, change: ListChange) -> Option<UpstreamKey> {
        match change {
            ListChange::Present(record) => self.insert(record),
            ListChange::Removed(id) => self.lose(now, &id),
        }
    }

    /// Drops upstreams that did not come back after an outage; returns them.
    pub fn remove_missing(&mut self, now: Timestamp) -> Vec<UpstreamKey> {
        let is_due = |upstream: &Upstream| upstream.dropped_at.is_some_and(|at| at <= now);
        let due: Vec<UpstreamId> = self
            .entries
            .values()
            .filter(|upstream| is_due(upstream))
            .map(|upstream| upstream.record.id.clone())
            .collect();
        due.iter().filter_map(|id| self.remove(id)).collect()
    }

    fn insert(&mut self, mut record: UpstreamRecord) -> Option<UpstreamKey> {
        if self.left.get(&record.id) == Some(&record.started_ms) {
            record.phase = UpstreamPhase::Leaving;
        }
        if record.phase == UpstreamPhase::Leaving {
            self.left.insert(record.id.clone(), record.started_ms);
        }
        let known = self.by_id.get(&record.id).copied();
        let current = known.and_then(|key| self.entries.get_mut(key));
        match current {
            Some(upstream) if upstream.record.is_same_start(&record) => {
                upstream.record = record;
                upstream.dropped_at = None;
                None
            }
            _ => {
                let gone = self.remove(&record.id);
                let id = record.id.clone();
                let key = self.entries.insert(Upstream::new(record));
                self.by_id.insert(id, key);
                gone
            }
        }
    }

    fn lose(&mut self, now: Timestamp, id: &UpstreamId) -> Option<UpstreamKey> {
        let key = *self.by_id.get(id)?;
        let upstream = self.entries.get_mut(key)?;
        let is_leaving = upstream.record.phase == UpstreamPhase::Leaving;
        match self.relisted_by {
            Some(until) if until > now && !is_leaving => {
                upstream.dropped_at.get_or_insert(until);
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
