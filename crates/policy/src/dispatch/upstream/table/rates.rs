//! The rates of the listed upstreams.

use super::UpstreamTable;
use crate::dispatch::upstream::rate::{RateChange, RateNotice, RateSharing, RateStatement};
use crate::dispatch::upstream::{Upstream, UpstreamId, UpstreamRecord};
use crate::{Timestamp, UpstreamKey};
use std::time::Duration;

impl UpstreamTable {
    /// Sets how this host shares the stated rates with the others.
    pub fn set_rate_sharing(&mut self, sharing: RateSharing) {
        self.rate_sharing = sharing;
    }

    /// Records what a response of the upstream with the entry `record` said about its rate.
    /// Returns the previous rate if it is another one.
    pub fn record_stated_rate(
        &mut self,
        now: Timestamp,
        record: &UpstreamRecord,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let change = self
            .announcements
            .record_stated_rate(now, record, statement);
        self.update_has_rate(&record.id);
        change
    }

    /// Records that the upstream with the entry `record` stated a malformed rate. Returns
    /// whether it is its first one.
    pub fn record_malformed_rate(&mut self, now: Timestamp, record: &UpstreamRecord) -> bool {
        self.announcements.record_malformed_rate(now, record)
    }

    /// Records what a peer tells of the rate of an upstream, which may not be listed here.
    /// Returns the previous rate if it is another one.
    pub fn record_rate_notice(
        &mut self,
        now: Timestamp,
        notice: &RateNotice,
    ) -> Option<RateChange> {
        let id = UpstreamId(notice.upstream.clone());
        let change = self.announcements.record_rate_notice(now, &id, notice);
        self.update_has_rate(&id);
        change
    }

    /// Returns the next message to peers about rates that were stated lately, and counts it
    /// as sent.
    pub fn rate_news(&mut self, now: Timestamp) -> Vec<RateNotice> {
        self.announcements.rate_news(now)
    }

    /// Returns messages with all stated rates, for a host that starts.
    pub fn all_rates(&self, now: Timestamp) -> Vec<Vec<RateNotice>> {
        self.announcements.all_rates(now)
    }

    /// Returns the number of listed upstreams that state a rate.
    pub fn limited_count(&self) -> usize {
        let limited = self.entries.values().filter(|one| one.has_rate);
        limited.count()
    }

    /// Counts a request that is about to be sent against this host's share of the upstream's
    /// rate. Returns `false`, and counts nothing, if the share is used up.
    pub fn take_rate_share(&mut self, now: Timestamp, key: UpstreamKey) -> bool {
        let Some(upstream) = self.entries.get(key) else {
            return true;
        };
        if !self.has_rate_share(now, upstream) {
            return false;
        }
        if upstream.has_rate {
            self.announcements
                .record_send(now, &upstream.record, &self.rate_sharing);
        }
        true
    }

    /// Returns whether this host may send a request to the upstream now, as far as its rate
    /// allows.
    pub(super) fn has_rate_share(&self, now: Timestamp, upstream: &Upstream) -> bool {
        !upstream.has_rate
            || self
                .announcements
                .has_rate_share(now, &upstream.record, &self.rate_sharing)
    }

    /// Returns the time after which an upstream of `service` takes the next request, if the
    /// shares of their rates are all that keeps this host from sending to some of them.
    pub fn time_to_next_share(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let used_up = self.entries.values().filter(|upstream| {
            upstream.record.service == service
                && upstream.is_usable(now)
                && !self.has_rate_share(now, upstream)
        });
        let rates = used_up.filter_map(|one| self.announcements.per_second(&one.record));
        rates
            .map(|rate| self.rate_sharing.time_to_next(now, rate))
            .min()
    }

    fn update_has_rate(&mut self, id: &UpstreamId) {
        let upstream = self
            .by_id
            .get(id)
            .and_then(|key| self.entries.get_mut(*key));
        if let Some(upstream) = upstream {
            upstream.has_rate = self.announcements.per_second(&upstream.record).is_some();
        }
    }
}
