//! Decides when to read, renew, take over and release the lease.
//!
//! The code does no I/O. Everything that acts under the lease relies on these
//! invariants:
//!
//! * [`LeaseStateMachine::grant`] expires before any successor can take over: its
//!   deadline counts from the send time of the last write that is known to have
//!   taken effect.
//! * A write whose response was lost may or may not have taken effect. The grant
//!   begins or is extended only after a read finds that write in the object.
//! * The epoch of a grant was written by this incarnation of this process, and no
//!   other process held the lease since.
//! * After a restore of the store, the grant ends at once, and a successor waits for a
//!   term and a margin from when it learnt of the restore.

use super::{
    Grant, LeaseAction, LeaseCallFailure, LeaseEvent, LeaseIdentity, LeaseRecord, Predecessor,
    StoredLease,
};
use crate::clock::BootTime;
use lagoonlift_platform::Version;
use lagoonlift_types::Epoch;
use std::collections::BTreeMap;
use std::time::Duration;

/// Renewals by the holder, and reads by a candidate, within one term.
const RENEWALS_PER_TERM: u32 = 3;
/// Attempts within one term after a failed call.
const RETRIES_PER_TERM: u32 = 10;
/// The safety margin is the term divided by this. The holder subtracts it from the
/// term, and a successor adds it. It has to exceed the drift between two hosts'
/// clocks, and a tenth does by far.
const MARGIN_DIVISOR: u32 = 10;
/// Terms between two reads by a process that isn't a candidate, or by the holder.
const SLOW_READ_TERMS: u32 = 10;

/// Configuration of a lease state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Identity of this incarnation of this process.
    pub identity: LeaseIdentity,
    /// Term of the lease. A grant ends a safety margin before the term has passed since
    /// the renewal was sent.
    pub term: Duration,
}

impl LeaseConfig {
    fn margin(&self) -> Duration {
        self.term / MARGIN_DIVISOR
    }
}

/// The lease object as last read or written.
#[derive(Clone, Debug)]
struct Observation {
    lease: Option<StoredLease>,
    /// Time at which this version was first seen.
    unchanged_since: BootTime,
}

impl Observation {
    fn version(&self) -> Option<Version> {
        self.lease.as_ref().map(|lease| lease.version)
    }
}

/// The call in flight.
#[derive(Clone, Debug)]
enum PendingCall {
    Read,
    Write(LeaseRecord),
}

/// State machine of one process for the lease of one data centre.
#[derive(Clone, Debug)]
pub struct LeaseStateMachine {
    config: LeaseConfig,
    observation: Option<Observation>,
    grant: Option<Grant>,
    /// Send times, by number, of the writes that are in the object or may still
    /// take effect.
    send_times: BTreeMap<u64, BootTime>,
    /// Number of the last write that was sent.
    last_write: u64,
    pending_call: Option<PendingCall>,
    /// Earliest time of the next call.
    next_call_at: BootTime,
    /// Time of the next read. Writes may come before it.
    next_read_at: BootTime,
    is_candidate: bool,
    /// Highest epoch ever seen. Takeovers count from it, so that no epoch is reused
    /// even if the object is lost.
    highest_epoch: Epoch,
    /// Predecessors that are known to be resolved.
    resolved: Vec<Predecessor>,
    is_releasing: bool,
}

impl LeaseStateMachine {
    /// Creates a state machine that doesn't hold the lease and hasn't read it.
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            config,
            observation: None,
            grant: None,
            send_times: BTreeMap::new(),
            last_write: 0,
            pending_call: None,
            next_call_at: BootTime::default(),
            next_read_at: BootTime::default(),
            is_candidate: true,
            highest_epoch: Epoch(0),
            resolved: Vec::new(),
            is_releasing: false,
        }
    }

    /// Returns the current grant. The caller has to check its deadline.
    pub fn grant(&self) -> Option<Grant> {
        self.grant
    }

    /// Returns the time by which the caller has to pass in the next
    /// [`LeaseEvent::TimerFired`]: the earliest time of the next call, or the expiry of
    /// the grant if that comes first.
    pub fn wake_at(&self) -> BootTime {
        match self.grant {
            Some(grant) => self.next_call_at.min(grant.deadline),
            None => self.next_call_at,
        }
    }

    /// Returns the lease record as last read or written.
    pub fn record(&self) -> Option<&LeaseRecord> {
        let lease = self.observation.as_ref()?.lease.as_ref()?;
        Some(&lease.record)
    }

    /// Returns the earlier holders that aren't resolved. Only meaningful while this
    /// process holds the lease.
    pub fn predecessors(&self) -> Vec<Predecessor> {
        let listed = self.record().map_or(&[][..], |record| &record.predecessors);
        let unresolved = listed
            .iter()
            .filter(|predecessor| !self.resolved.contains(predecessor));
        unresolved.cloned().collect()
    }

    /// Returns whether a release was requested, no call is in flight and the lease as
    /// last read or written isn't held by this process. This is also true if another
    /// process took the lease over or this one never held it.
    pub fn is_release_complete(&self) -> bool {
        self.is_releasing && self.pending_call.is_none() && !self.owns_record()
    }

    /// Handles one event at `now` and returns the call to perform, if any.
    pub fn handle(&mut self, now: BootTime, event: LeaseEvent) -> Option<LeaseAction> {
        self.expire(now);
        match event {
            LeaseEvent::TimerFired => {}
            LeaseEvent::ReadCompleted(result) => self.end_read(now, result),
            LeaseEvent::WriteCompleted(result) => self.end_write(now, result),
            LeaseEvent::CandidateChanged(is_candidate) => self.set_candidate(now, is_candidate),
            LeaseEvent::PredecessorsResolved(predecessors) => self.mark_resolved(now, predecessors),
            LeaseEvent::StoreRestored { epoch_floor } => self.restart(now, epoch_floor),
            LeaseEvent::ReleaseRequested => self.release(now),
        }
        self.next_action(now)
    }

    fn expire(&mut self, now: BootTime) {
        if self.grant.is_some_and(|grant| now >= grant.deadline) {
            self.grant = None;
            self.next_call_at = now;
        }
    }

    fn set_candidate(&mut self, now: BootTime, is_candidate: bool) {
        if is_candidate && !self.is_candidate {
            self.next_call_at = now;
            self.next_read_at = now;
        }
        self.is_candidate = is_candidate;
    }

    fn mark_resolved(&mut self, now: BootTime, predecessors: Vec<Predecessor>) {
        self.resolved.extend(predecessors);
        self.next_call_at = now;
    }

    fn release(&mut self, now: BootTime) {
        self.is_releasing = true;
        self.grant = None;
        self.next_call_at = now;
    }

    /// Starts over after a restore of the store. The new object doesn't exist yet, and an
    /// absent lease is waited for like any other, counted from the first read. The
    /// grant of a holder whose write was lost with the restore has ended by then.
    fn restart(&mut self, now: BootTime, epoch_floor: Epoch) {
        self.grant = None;
        self.observation = None;
        self.send_times.clear();
        self.pending_call = None;
        self.highest_epoch = self.highest_epoch.max(epoch_floor);
        self.next_call_at = now;
        self.next_read_at = now;
    }

    fn end_read(
        &mut self,
        now: BootTime,
        result: Result<Option<Box<StoredLease>>, LeaseCallFailure>,
    ) {
        if !matches!(self.pending_call, Some(PendingCall::Read)) {
            return;
        }
        self.pending_call = None;
        match result {
            Ok(lease) => self.observe(now, lease.map(|lease| *lease)),
            Err(_) => self.retry_read(now),
        }
    }

    fn end_write(&mut self, now: BootTime, result: Result<Version, LeaseCallFailure>) {
        let Some(PendingCall::Write(record)) = self.pending_call.take() else {
            return;
        };
        match result {
            Ok(version) => self.observe(now, Some(StoredLease { record, version })),
            Err(LeaseCallFailure::Conflict(current)) => {
                self.send_times.remove(&record.write);
                self.observe(now, current.map(|lease| *lease));
            }
            Err(LeaseCallFailure::NotApplied) => {
                self.send_times.remove(&record.write);
                self.retry_read(now);
            }
            // The write stays in `send_times`: a read shows whether it took effect.
            Err(LeaseCallFailure::OutcomeUnknown) => self.retry_read(now),
        }
    }

    /// Schedules a read soon, before any other call.
    fn retry_read(&mut self, now: BootTime) {
        self.next_call_at = now + self.config.term / RETRIES_PER_TERM;
        self.next_read_at = self.next_call_at;
    }

    /// Updates the state from the current object.
    fn observe(&mut self, now: BootTime, lease: Option<StoredLease>) {
        let version = lease.as_ref().map(|lease| lease.version);
        let unchanged_since = match &self.observation {
            Some(observation) if observation.version() == version => observation.unchanged_since,
            _ => now,
        };
        if unchanged_since == now
            && !lease
                .as_ref()
                .is_some_and(|lease| self.is_own(&lease.record))
        {
            // `unchanged_since` equals `now` if this version is seen for the first
            // time. The version has changed then, so the condition of every write
            // that this process has sent fails from now on.
            self.send_times.clear();
        }
        if let Some(lease) = &lease {
            self.highest_epoch = self.highest_epoch.max(lease.record.epoch);
        }
        self.observation = Some(Observation {
            lease,
            unchanged_since,
        });
        if self.owns_record() {
            self.next_read_at = now + self.config.term * SLOW_READ_TERMS;
            self.extend_grant(now);
        } else {
            self.grant = None;
            self.next_read_at = now + self.read_interval();
            self.next_call_at = self.takeover_wake(now);
        }
    }

    /// Extends the grant, counted from the send time of the write in the object.
    fn extend_grant(&mut self, now: BootTime) {
        let Some(record) = self.record() else {
            return;
        };
        let (epoch, write) = (record.epoch, record.write);
        let sent_at = self.send_times.get(&write).copied();
        // The version has changed since, so earlier writes can't take effect any
        // more.
        self.send_times.retain(|later, _| *later >= write);
        let Some(sent_at) = sent_at else {
            self.next_call_at = now;
            return;
        };
        let deadline = sent_at + (self.config.term - self.config.margin());
        self.next_call_at = sent_at + self.config.term / RENEWALS_PER_TERM;
        if now < deadline && !self.is_releasing {
            self.grant = Some(Grant { epoch, deadline });
        }
    }

    fn read_interval(&self) -> Duration {
        match self.is_candidate {
            true => self.config.term / RENEWALS_PER_TERM,
            false => self.config.term * SLOW_READ_TERMS,
        }
    }

    /// Returns the earliest time of the next call while this process doesn't own the
    /// lease record. A candidate wakes when it may take over; any other process takes over at
    /// its next read after that time.
    fn takeover_wake(&self, now: BootTime) -> BootTime {
        match self.takeover_at() {
            Some(takeover_at) if takeover_at <= now => now,
            Some(takeover_at) if self.is_candidate => self.next_read_at.min(takeover_at),
            _ => self.next_read_at,
        }
    }

    /// Returns the time from which this process may take the lease over if the
    /// object doesn't change until then.
    fn takeover_at(&self) -> Option<BootTime> {
        let observation = self.observation.as_ref()?;
        let record = self.record();
        if record.is_some_and(|record| record.released) {
            return Some(observation.unchanged_since);
        }
        let term = record.map_or(self.config.term, |record| record.term());
        Some(observation.unchanged_since + term.max(self.config.term) + self.config.margin())
    }

    fn owns_record(&self) -> bool {
        self.record()
            .is_some_and(|record| self.is_own(record) && !record.released)
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.identity == self.config.identity
    }

    fn next_action(&mut self, now: BootTime) -> Option<LeaseAction> {
        if self.pending_call.is_some() || now < self.next_call_at {
            return None;
        }
        let owns_lease = self.owns_record();
        let can_take_over = self.takeover_at().is_some_and(|at| at <= now);
        match self.record().cloned() {
            _ if now >= self.next_read_at => Some(self.read()),
            Some(record) if owns_lease => Some(self.write(now, self.renewal_record(record))),
            _ if self.is_releasing => {
                self.next_call_at = self.next_read_at;
                None
            }
            record if can_take_over => Some(self.write(now, self.takeover_record(record))),
            _ => {
                self.next_call_at = self.next_read_at;
                None
            }
        }
    }

    fn read(&mut self) -> LeaseAction {
        self.pending_call = Some(PendingCall::Read);
        LeaseAction::Read
    }

    fn write(&mut self, now: BootTime, record: LeaseRecord) -> LeaseAction {
        self.last_write = record.write;
        self.send_times.insert(record.write, now);
        self.pending_call = Some(PendingCall::Write(record.clone()));
        let condition = self.observation.as_ref().and_then(Observation::version);
        LeaseAction::Write { record, condition }
    }

    fn renewal_record(&self, record: LeaseRecord) -> LeaseRecord {
        LeaseRecord {
            write: self.last_write + 1,
            term_ms: self.term_ms(),
            released: self.is_releasing,
            predecessors: self.predecessors(),
            ..record
        }
    }

    fn takeover_record(&self, record: Option<LeaseRecord>) -> LeaseRecord {
        LeaseRecord {
            epoch: self.highest_epoch.next(),
            identity: self.config.identity.clone(),
            write: self.last_write + 1,
            term_ms: self.term_ms(),
            released: false,
            predecessors: record.map_or_else(Vec::new, |record| record.unconfirmed()),
        }
    }

    fn term_ms(&self) -> u64 {
        u64::try_from(self.config.term.as_millis()).unwrap_or(u64::MAX)
    }
}
