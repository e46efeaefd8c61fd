//! What upstreams announced about themselves in their responses.
//!
//! An announcement holds for the incarnation of the upstream that made it, whatever the
//! store's list says: the entry of an upstream may be older than its response, and it
//! may be removed and listed again while the upstream runs.

use super::rate::{RateChange, RateNotice, RateRecord, RateSharing, RateStatement};
use super::{UpstreamDigest, UpstreamId, UpstreamRecord};
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

/// Largest number of notices in a message about rates, so that it fits into a datagram.
const MAX_RATE_NOTICES: usize = 20;

/// Identifies an incarnation: the upstream, and the Unix time of its start in
/// milliseconds if it reports it.
type IncarnationKey = (UpstreamId, Option<u64>);

/// The announcements of one incarnation.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    is_draining: bool,
    held_off_until: Option<Timestamp>,
    has_malformed_hold_off: bool,
    rate: RateRecord,
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

    /// Records what a response of the incarnation of `record` said about its rate. Returns
    /// the previous rate if it is another one.
    pub(super) fn record_stated_rate(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
        statement: RateStatement,
    ) -> Option<RateChange> {
        if statement.per_second.is_none() && self.get(record).is_none() {
            return None;
        }
        let announcement = self.entry(now, record);
        announcement.rate.record_response(now, statement)
    }

    /// Records what a peer tells of the rate of an incarnation of the upstream `id`.
    pub(super) fn record_rate_notice(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        notice: &RateNotice,
    ) -> Option<RateChange> {
        let statement = notice.statement(now)?;
        let key = (id.clone(), notice.started_ms);
        let announcement = self.entry_of(now, key);
        announcement.rate.record_notice(now, statement)
    }

    /// Returns the rate that the incarnation of `record` states; `None` is any rate.
    pub(super) fn per_second(&self, record: &UpstreamRecord) -> Option<f64> {
        self.get(record)?.rate.per_second()
    }

    /// Returns whether this host's share of the rate of the incarnation of `record` allows
    /// another request.
    pub(super) fn has_rate_share(
        &self,
        now: Timestamp,
        record: &UpstreamRecord,
        sharing: &RateSharing,
    ) -> bool {
        let offset = UpstreamDigest::new(&record.id).as_u64();
        self.get(record)
            .is_none_or(|one| one.rate.room(now, sharing, offset) > 0)
    }

    /// Counts a request that is sent to the incarnation of `record`.
    pub(super) fn record_send(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
        sharing: &RateSharing,
    ) {
        let key = (record.id.clone(), record.started_ms);
        if let Some(announcement) = self.0.get_mut(&key) {
            announcement.rate.record_send(now, sharing);
        }
    }

    /// Returns the next message to peers about rates that were stated lately, those first
    /// that were told least often.
    pub(super) fn rate_news(&mut self, now: Timestamp) -> Vec<RateNotice> {
        let mut news: Vec<_> = self
            .0
            .iter_mut()
            .filter(|(_, one)| one.rate.is_news(now))
            .collect();
        news.sort_unstable_by_key(|(_, one)| one.rate.tells);
        let mut notices = Vec::new();
        for ((id, started_ms), announcement) in news.into_iter().take(MAX_RATE_NOTICES) {
            announcement.rate.tells += 1;
            notices.extend(announcement.rate.notice(now, &id.0, *started_ms));
        }
        notices
    }

    /// Returns all rates, in messages.
    pub(super) fn all_rates(&self, now: Timestamp) -> Vec<Vec<RateNotice>> {
        let limited = self
            .0
            .iter()
            .filter(|(_, one)| one.rate.per_second().is_some());
        let notices: Vec<RateNotice> = limited
            .filter_map(|((id, started_ms), one)| one.rate.notice(now, &id.0, *started_ms))
            .collect();
        notices
            .chunks(MAX_RATE_NOTICES)
            .map(<[_]>::to_vec)
            .collect()
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
        self.entry_of(now, (record.id.clone(), record.started_ms))
    }

    fn entry_of(&mut self, now: Timestamp, key: IncarnationKey) -> &mut Announcement {
        let new = Announcement {
            is_draining: false,
            held_off_until: None,
            has_malformed_hold_off: false,
            rate: RateRecord::default(),
            has_malformed_rate: false,
            recorded_at: now,
        };
        let announcement = self.0.entry(key).or_insert(new);
        announcement.recorded_at = now;
        announcement
    }
}
