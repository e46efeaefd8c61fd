//! The rates that upstreams state for all hosts together, and this host's share of them.
//!
//! Time is divided into slots of a second. In each slot, the requests that an upstream takes
//! are dealt out to the hosts in turn, so that a small rate is spent by a few hosts at a
//! time: with 200 hosts and 7 requests a second, each host may send one request in some of
//! the slots, and none in the others. What a host doesn't send in a slot lapses, so neither
//! an idle host nor one that was paused has requests in store.
//!
//! The hosts don't ask each other. They number the hosts and the slots alike, by
//! [`HostRoster`] and by the time of day. While their views differ, each host still sends
//! its part of the rate on average, only at other times than the others expect.
//!
//! [`HostRoster`]: crate::dispatch::HostRoster

use crate::Timestamp;
use crate::dispatch::HostPosition;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Length of a slot, in microseconds.
const SLOT_US: i64 = 1_000_000;

/// Share of a stated rate that is spent. The rest covers hosts that others don't count yet.
const SPENDABLE_SHARE: f64 = 0.9;

/// Requests a second that all hosts together send to an upstream that states a lower rate.
/// Without any request, nothing would show that the rate has risen.
const MIN_RATE: f64 = 0.25;

/// Time for which a host tells its peers what a response said about the rate.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time after a response to this host in which a peer's word can't raise the rate. The
/// message may have been made before the response and arrived late.
const OWN_RESPONSE_TIME: Duration = Duration::from_secs(3);

/// Slots by which the time of day may go back without a new count. A clock that was
/// corrected by more starts anew.
const MAX_SLOTS_BACK: i64 = 10;

/// What one response says about the rate that its upstream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatement {
    /// Requests a second that the upstream takes from all hosts together; `None` if it
    /// takes any number.
    pub per_second: Option<f64>,
    /// Time at which the request was sent that the response answers.
    pub sent_at: Timestamp,
    /// Time at which the head of the response arrived.
    pub answered_at: Timestamp,
}

impl RateStatement {
    /// Returns the statement that holds after this one and `other`. Of two responses that
    /// may have been made at the same time, the one with the lower rate holds: responses
    /// overtake each other on different connections.
    fn merged_with(self, other: Self) -> Self {
        match () {
            () if self.answered_at <= other.sent_at => other,
            () if other.answered_at <= self.sent_at => self,
            () if rate_of(other) < rate_of(self) => other,
            () if rate_of(other) > rate_of(self) => self,
            () if other.answered_at > self.answered_at => other,
            () => self,
        }
    }
}

fn rate_of(statement: RateStatement) -> f64 {
    statement.per_second.unwrap_or(f64::INFINITY)
}

/// A change of the rate that an upstream states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// The rate before, in requests a second; `None` is any rate.
    pub previous: Option<f64>,
}

/// A host's message to its peers about the rate of one upstream. Times are ages in
/// microseconds, since hosts don't share a clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateNotice {
    /// Identifier of the upstream.
    pub upstream: String,
    /// Unix time of the upstream's start in milliseconds, if it reports it.
    pub started_ms: Option<u64>,
    /// Requests a second; `None` is any rate.
    pub per_second: Option<f64>,
    /// Age of the request that was answered.
    pub sent_us_ago: u64,
    /// Age of the response.
    pub answered_us_ago: u64,
}

impl RateNotice {
    /// Returns the statement by the clock of a host that received the notice at `now`;
    /// `None` if it is absurd.
    pub(super) fn statement(&self, now: Timestamp) -> Option<RateStatement> {
        let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
        let is_valid =
            self.per_second.is_none_or(is_rate) && self.sent_us_ago >= self.answered_us_ago;
        is_valid.then(|| RateStatement {
            per_second: self.per_second,
            sent_at: now - Duration::from_micros(self.sent_us_ago),
            answered_at: now - Duration::from_micros(self.answered_us_ago),
        })
    }
}

/// What this host knows about the rate of one incarnation, and what it has sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateRecord {
    statement: Option<RateStatement>,
    /// Latest slot in which this host sent a request, and the requests in it.
    sent: Option<(i64, u32)>,
    /// Time of the latest response to this host itself that stated a rate.
    own_response_at: Option<Timestamp>,
    tell_until: Option<Timestamp>,
    pub(super) tells: u32,
}

impl RateRecord {
    /// Returns the stated rate; `None` is any rate.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.statement?.per_second
    }

    /// Records what a response to this host said. A response without a rate matters only
    /// after one with a rate.
    pub(super) fn record_response(
        &mut self,
        now: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        if self.statement.is_none() && statement.per_second.is_none() {
            return None;
        }
        let change = self.record(statement);
        if statement.per_second.is_some() {
            self.own_response_at = Some(now);
        }
        if change.is_some() || statement.per_second.is_some() {
            self.tell(now);
        }
        change
    }

    /// Records what a response to a peer said. A peer that knows less than this host is
    /// told in turn.
    pub(super) fn record_notice(
        &mut self,
        now: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let is_outdated = |known: RateStatement| statement.answered_at <= known.sent_at;
        if self.statement.is_some_and(is_outdated) {
            self.tell(now);
            return None;
        }
        let has_own = self
            .own_response_at
            .is_some_and(|at| now.since(at) < OWN_RESPONSE_TIME);
        let is_higher = self
            .statement
            .is_some_and(|known| rate_of(known) < rate_of(statement));
        match has_own && is_higher {
            true => None,
            false => self.record(statement),
        }
    }

    fn record(&mut self, statement: RateStatement) -> Option<RateChange> {
        let previous = self.per_second();
        let merged = match self.statement {
            Some(known) => known.merged_with(statement),
            None => statement,
        };
        self.statement = Some(merged);
        (merged.per_second != previous).then_some(RateChange { previous })
    }

    fn tell(&mut self, now: Timestamp) {
        if self.tell_until.is_none_or(|until| until <= now) {
            self.tells = 0;
        }
        self.tell_until = Some(now + NOTICE_TIME);
    }

    /// Returns whether peers are to be told of the rate.
    pub(super) fn is_news(&self, now: Timestamp) -> bool {
        self.tell_until.is_some_and(|until| now < until)
    }

    /// Returns the message about the rate of the incarnation `started_ms` of `upstream`.
    pub(super) fn notice(
        &self,
        now: Timestamp,
        upstream: &str,
        started_ms: Option<u64>,
    ) -> Option<RateNotice> {
        let statement = self.statement?;
        Some(RateNotice {
            upstream: upstream.to_owned(),
            started_ms,
            per_second: statement.per_second,
            sent_us_ago: now.since(statement.sent_at).as_micros() as u64,
            answered_us_ago: now.since(statement.answered_at).as_micros() as u64,
        })
    }

    /// Returns how many requests this host may still send in the slot that contains `now`.
    /// `offset` differs between upstreams and is the same on all hosts.
    pub(super) fn room(&self, now: Timestamp, sharing: &RateSharing, offset: u64) -> u32 {
        let Some(rate) = self.per_second() else {
            return u32::MAX;
        };
        let slot = sharing.slot(now);
        let sent = match self.sent {
            Some((latest, sent)) if latest == slot => sent,
            Some((latest, _)) if slot < latest && latest - slot <= MAX_SLOTS_BACK => u32::MAX,
            _ => 0,
        };
        sharing.share(rate, slot, offset).saturating_sub(sent)
    }

    /// Counts a request that is sent in the slot that contains `now`.
    pub(super) fn record_send(&mut self, now: Timestamp, sharing: &RateSharing) {
        let slot = sharing.slot(now);
        self.sent = match self.sent {
            Some((latest, sent)) if latest == slot => Some((slot, sent + 1)),
            _ => Some((slot, 1)),
        };
    }
}

/// How this host shares the stated rates with the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateSharing {
    /// Position of this host; `None` while it takes no part.
    pub host: Option<HostPosition>,
    /// Unix time at the zero of the policies' clock, in microseconds.
    pub unix_offset_us: i64,
}

impl RateSharing {
    fn slot(&self, now: Timestamp) -> i64 {
        (self.unix_offset_us + now.0 as i64).div_euclid(SLOT_US)
    }

    /// Returns how many requests this host may send in a slot to an upstream that takes
    /// `rate` a second.
    ///
    /// The whole numbers between `slot * rate` and `(slot + 1) * rate` are the requests of a
    /// slot. They are dealt out to the hosts, which move on by one position each slot.
    fn share(&self, rate: f64, slot: i64, offset: u64) -> u32 {
        let Some(HostPosition { position, hosts }) = self.host else {
            return 0;
        };
        let in_slot = (rate * SPENDABLE_SHARE).max(MIN_RATE) * SLOT_US as f64 / 1e6;
        let begun = (slot as f64 * in_slot).fract();
        let turn = (slot as u64).wrapping_add(offset);
        let position = (position as u64).wrapping_add(turn) % hosts as u64;
        let dealt = |hosts_before: u64| {
            (begun + in_slot * hosts_before as f64 / hosts as f64).floor() as u32
        };
        dealt(position + 1).saturating_sub(dealt(position))
    }

    /// Returns the time until an upstream that takes `rate` a second takes the next request
    /// from any host, at most.
    pub(super) fn time_to_next(&self, now: Timestamp, rate: f64) -> Duration {
        let left_us = SLOT_US - (self.unix_offset_us + now.0 as i64).rem_euclid(SLOT_US);
        let interval = 1.0 / (rate * SPENDABLE_SHARE).max(MIN_RATE);
        Duration::from_micros(left_us as u64).max(Duration::from_secs_f64(interval))
    }
}
