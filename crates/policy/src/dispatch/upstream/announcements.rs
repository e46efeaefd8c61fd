//! What upstreams announced about themselves in their responses.
//!
//! An announcement holds for the incarnation of the upstream that made it, whatever the
//! store's list says: the entry of an upstream may be older than its response, and it
//! may be removed and listed again while the upstream runs.

use super::{UpstreamId, UpstreamRecord};
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time for which an upstream can hold off requests. A longer time is taken as
/// a fault of the upstream.
const MAX_HOLD_OFF: Duration = Duration::from_secs(3_600);

/// Share of a hold-off by which it is extended at random, so that hosts with hold-offs
/// that end at the same time do not all resume at that time.
const HOLD_OFF_JITTER_SHARE: f64 = 0.2;

/// Longest extension of a hold-off.
const MAX_HOLD_OFF_JITTER: Duration = Duration::from_millis(500);

/// Time for which the announcements of an upstream that isn't listed are kept.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Identifies an incarnation: the upstream, and the Unix time of its start in
/// milliseconds if it reports it.
type IncarnationKey = (UpstreamId, Option<u64>);

/// A change of the rate that an upstream states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// The rate before, in requests a second; `None` is any rate.
    pub previous: Option<f64>,
}

/// The announcements of one incarnation.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    is_draining: bool,
    held_off_until: Option<Timestamp>,
    has_malformed_hold_off: bool,
    /// Requests a second that the upstream takes from all hosts together; `None` if it
    /// takes any number.
    per_second: Option<f64>,
    has_malformed_rate: bool,
    recorded_at: Timestamp,
}

/// Announcements by incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements(HashMap<IncarnationKey, Announcement>);

impl Announcements {
    /// Records that the incarnation of `record` drains; returns whether this is new.
    pub(super) fn record_draining(&mut self, now: Timestamp, record: &UpstreamRecord) -> bool {
        let announcement = self.entry(now, record);
        !std::mem::replace(&mut announcement.is_draining, true)
    }

    /// Records that the incarnation of `record` wants no requests for `time`, and
    /// returns until when none may be sent. `jitter` is a random number from 0 to 1.
    pub(super) fn record_hold_off(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
        time: Duration,
        jitter: f64,
    ) -> Timestamp {
        let time = time.min(MAX_HOLD_OFF);
        let extension = time.mul_f64(HOLD_OFF_JITTER_SHARE).min(MAX_HOLD_OFF_JITTER);
        let until = now + time + extension.mul_f64(jitter);
        let announcement = self.entry(now, record);
        announcement.held_off_until = announcement.held_off_until.max(Some(until));
        announcement.held_off_until.unwrap_or(until)
    }

    /// Records that the incarnation of `record` sent a malformed hold-off; returns
    /// whether this is the first one.
    pub(super) fn record_malformed_hold_off(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
    ) -> bool {
        let announcement = self.entry(now, record);
        !std::mem::replace(&mut announcement.has_malformed_hold_off, true)
    }

    /// Records that the incarnation of `record` stated the rate that it takes. Returns the
    /// previous one if it is another one.
    pub(super) fn record_stated_rate(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
        per_second: Option<f64>,
    ) -> Option<RateChange> {
        if per_second.is_none() && self.get(record).is_none() {
            return None;
        }
        let announcement = self.entry(now, record);
        let previous = std::mem::replace(&mut announcement.per_second, per_second);
        (previous != per_second).then_some(RateChange { previous })
    }

    /// Records that the incarnation of `record` stated a malformed rate; returns whether
    /// this is the first one.
    pub(super) fn record_malformed_rate(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
    ) -> bool {
        let announcement = self.entry(now, record);
        !std::mem::replace(&mut announcement.has_malformed_rate, true)
    }

    /// Returns whether the incarnation of `record` drains.
    pub(super) fn is_draining(&self, record: &UpstreamRecord) -> bool {
        self.get(record).is_some_and(|one| one.is_draining)
    }

    /// Returns until when no request may be sent to the incarnation of `record`.
    pub(super) fn held_off_until(&self, record: &UpstreamRecord) -> Option<Timestamp> {
        self.get(record)?.held_off_until
    }

    /// Removes old announcements of upstreams for which `is_listed` is false.
    pub(super) fn remove_old(&mut self, now: Timestamp, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.0
            .retain(|(id, _), one| is_listed(id) || now.since(one.recorded_at) < RETENTION);
    }

    fn get(&self, record: &UpstreamRecord) -> Option<&Announcement> {
        self.0.get(&(record.id.clone(), record.started_ms))
    }

    fn entry(&mut self, now: Timestamp, record: &UpstreamRecord) -> &mut Announcement {
        let new = Announcement {
            is_draining: false,
            held_off_until: None,
            has_malformed_hold_off: false,
            per_second: None,
            has_malformed_rate: false,
            recorded_at: now,
        };
        let key = (record.id.clone(), record.started_ms);
        let announcement = self.0.entry(key).or_insert(new);
        announcement.recorded_at = now;
        announcement
    }
}
