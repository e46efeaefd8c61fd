//! Records what an upstream announces about itself in its responses.
//!
//! Peers are told of the rate that an upstream takes from all hosts together, since they
//! would overrun it until they have had a response of their own. They aren't told of the
//! others: an upstream that drains goes on serving for the draining time, so a host that
//! learns of it from its own first response loses nothing, and the store's list tells the
//! others; a hold-off concerns only the host that was refused.

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_adapter::upstream::{HoldOff, ResponseHead, StatedRate};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{RateNotice, RateStatement, UpstreamRecord};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Records the announcements in the head of a response from the upstream with the
/// entry `record`, to a request that was sent at `sent_at`, and logs those that are new.
pub(crate) fn record_announcements(
    state: &GatewayState,
    record: &UpstreamRecord,
    head: &ResponseHead,
    sent_at: Timestamp,
) {
    if head.is_draining {
        record_draining(state, record);
    }
    match &head.hold_off {
        HoldOff::None => {}
        HoldOff::For(time) => record_hold_off(state, record, *time),
        HoldOff::Malformed(value) => record_malformed(state, record, value),
    }
    let statement = |per_second| RateStatement {
        per_second,
        sent_at,
        answered_at: clock::now(),
    };
    match &head.stated_rate {
        StatedRate::None => record_rate(state, record, statement(None)),
        StatedRate::PerSecond(rate) => record_rate(state, record, statement(Some(*rate))),
        StatedRate::Malformed(value) => record_malformed_rate(state, record, value),
    }
}

fn record_rate(state: &GatewayState, record: &UpstreamRecord, statement: RateStatement) {
    let change = state
        .table
        .borrow_mut()
        .record_stated_rate(clock::now(), record, statement);
    if let Some(change) = change {
        tracing::info!(
            upstream = record.id.0,
            started_ms = record.started_ms,
            per_second = statement.per_second,
            previous = change.previous,
            "the upstream stated another rate for all hosts"
        );
    }
}

/// Records what the peer at `address` tells of the rate of an upstream, and logs it if it is
/// another one.
pub(crate) fn record_rate_notice(state: &GatewayState, address: SocketAddr, notice: &RateNotice) {
    let change = state
        .table
        .borrow_mut()
        .record_rate_notice(clock::now(), notice);
    if let Some(change) = change {
        tracing::info!(
            upstream = notice.upstream,
            started_ms = notice.started_ms,
            per_second = notice.per_second,
            previous = change.previous,
            age_ms = notice.answered_us_ago / 1_000,
            peer = %address,
            "a peer told of another rate of an upstream"
        );
    }
}

fn record_malformed_rate(state: &GatewayState, record: &UpstreamRecord, value: &str) {
    let is_first = state
        .table
        .borrow_mut()
        .record_malformed_rate(clock::now(), record);
    if is_first {
        tracing::warn!(
            upstream = record.id.0,
            value,
            "the upstream stated a malformed rate"
        );
    }
}

fn record_draining(state: &GatewayState, record: &UpstreamRecord) {
    let is_new = state
        .table
        .borrow_mut()
        .record_draining(clock::now(), record);
    if is_new {
        tracing::info!(
            upstream = record.id.0,
            started_ms = record.started_ms,
            "the upstream announced that it drains"
        );
    }
}

fn record_hold_off(state: &GatewayState, record: &UpstreamRecord, time: Duration) {
    let now = clock::now();
    let jitter = rand::rng().random();
    let until = state
        .table
        .borrow_mut()
        .record_hold_off(now, record, time, jitter);
    tracing::info!(
        upstream = record.id.0,
        stated_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        held_off_ms = until.since(now).as_millis() as u64,
        "the upstream holds off requests"
    );
}

fn record_malformed(state: &GatewayState, record: &UpstreamRecord, value: &str) {
    let is_first = state
        .table
        .borrow_mut()
        .record_malformed_hold_off(clock::now(), record);
    if is_first {
        tracing::warn!(
            upstream = record.id.0,
            value,
            "the upstream stated a malformed time to hold off"
        );
    }
}
