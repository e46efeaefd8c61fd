//! One incarnation of an upstream, with the state that this host keeps for it.

mod announcements;
mod rate;
mod record;
mod silence;
mod table;

pub use rate::{RateChange, RateNotice, RateSharing, RateStatement};
pub use record::{
    EngineRole, ListChange, SoftwareVersion, UpstreamId, UpstreamPhase, UpstreamRecord,
};
pub use table::UpstreamTable;

use self::silence::AnswerTracker;
use super::{PeerLoads, UpstreamDigest, VersionDigest};
use crate::Timestamp;
use std::time::Duration;

/// First backoff after failures in a row.
const FIRST_FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff after failures in a row.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// Unanswered requests and hosts with such requests, counted together, from which on an
/// upstream is silent. A single request may be slow.
const MIN_SILENT_REQUESTS: u32 = 2;

/// Failures in a row from which on [`Upstream::has_repeated_failures`] is true.
const MIN_REPEATED_FAILURES: u32 = 4;

/// Refusals in a row after which an upstream is avoided, and failed KV transfers in a
/// row after which an engine runs no prefills for decode engines.
const MIN_REFUSALS: u32 = 2;

/// First backoff after refusals or failed KV transfers in a row. An engine that
/// changes its role refuses requests for seconds and appears idle meanwhile; a full
/// engine refuses them for milliseconds.
const FIRST_REFUSAL_BACKOFF: Duration = Duration::from_millis(60);

/// Longest backoff after refusals or failed KV transfers in a row.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_millis(1_000);

/// Time for which an engine counts as full after it refused a request for that reason. By
/// then, the peers have reported the loads with which they filled it.
const FULL_TIME: Duration = Duration::from_millis(50);

/// Weight of the latest result in the failure share.
const FAILURE_WEIGHT: f64 = 0.2;

/// Weight of the latest response in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// One incarnation of an upstream, with the state that this host keeps for it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The entry in the store.
    pub record: UpstreamRecord,
    /// Hash of the identifier, as used in messages between hosts.
    pub digest: UpstreamDigest,
    /// Version of its software, if the entry states it.
    pub version: Option<VersionDigest>,
    /// Time at which contact to the upstream broke last, unless the list has shown its entry
    /// since. Another incarnation may listen there by now, at another version.
    doubtful_since: Option<Timestamp>,
    /// Time since which this host has had a connection to the upstream; a later one may have
    /// followed a time without any.
    contact_since: Option<Timestamp>,
    /// Whether the upstream gets no requests while others can serve, because its version
    /// isn't in the record of the versions that have served.
    pub awaits_record: bool,
    /// This host's requests in flight on the upstream.
    pub in_flight: u32,
    /// Prompt tokens of this host's requests that wait for prefill or are in prefill
    /// on the upstream.
    pub prefill_tokens: u64,
    /// Moving average of the share of failed requests, from 0 to 1.
    pub failure_share: f64,
    /// Moving average of the time to the first byte of a response, in seconds; zero
    /// before the first response.
    pub mean_latency_s: f64,
    answers: AnswerTracker,
    failures_in_row: u32,
    /// Backoffs after failures since the last response.
    failure_backoffs: u32,
    refusals_in_row: u32,
    /// Prefills in a row whose KV cache could not be transferred.
    failed_kv_transfers_in_row: u32,
    avoided_until: Option<Timestamp>,
    /// Time until which the engine counts as full.
    full_until: Option<Timestamp>,
    /// Time until which the upstream wants no requests from this host.
    held_off_until: Option<Timestamp>,
    /// Whether the upstream states how many requests it takes from all hosts together.
    has_rate: bool,
    no_prefill_until: Option<Timestamp>,
    /// Set while the entry is missing after a store outage: the time at which the
    /// upstream is removed.
    removal_at: Option<Timestamp>,
}

impl Upstream {
    fn new(record: UpstreamRecord) -> Self {
        Self {
            held_off_until: None,
            has_rate: false,
            digest: UpstreamDigest::new(&record.id),
            version: record.version_digest(),
            doubtful_since: None,
            contact_since: None,
            awaits_record: false,
            record,
            in_flight: 0,
            prefill_tokens: 0,
            failure_share: 0.0,
            mean_latency_s: 0.0,
            answers: AnswerTracker::default(),
            failures_in_row: 0,
            failure_backoffs: 0,
            refusals_in_row: 0,
            failed_kv_transfers_in_row: 0,
            avoided_until: None,
            full_until: None,
            no_prefill_until: None,
            removal_at: None,
        }
    }

    /// Returns the version of the incarnation that answers now; `None` if the entry states none,
    /// or contact has broken since it was read.
    pub fn proven_version(&self) -> Option<VersionDigest> {
        self.version.filter(|_| self.doubtful_since.is_none())
    }

    /// Returns whether contact has broken since the list last showed the entry.
    pub fn is_version_doubtful(&self) -> bool {
        self.doubtful_since.is_some()
    }

    /// Records that the list showed the entry at a time that is no later than `as_of`.
    fn record_shown(&mut self, as_of: Timestamp) {
        if self.doubtful_since.is_some_and(|since| as_of > since) {
            self.doubtful_since = None;
        }
    }

    /// Returns whether requests should be sent to the upstream: it accepts them and
    /// isn't in backoff.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.accepts_requests(now) && self.avoided_until.is_none_or(|until| until <= now)
    }

    /// Returns whether the upstream accepts requests: it neither drains nor holds them
    /// off.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.record.phase == UpstreamPhase::Serving && self.hold_off(now).is_none()
    }

    /// Returns the time for which the upstream still holds off requests, if it does.
    pub fn hold_off(&self, now: Timestamp) -> Option<Duration> {
        let until = self.held_off_until?;
        (until > now).then(|| until.since(now))
    }

    /// Returns whether the engine may run prefills for a decode engine.
    pub fn can_prefill(&self, now: Timestamp) -> bool {
        self.no_prefill_until.is_none_or(|until| until <= now)
    }

    /// Records that the upstream refused a request. A decode engine on which all slots are
    /// taken, by this host's requests and those of `peers`, counts as full for a short time.
    /// Another upstream is avoided for a backoff from the second refusal in a row on.
    pub fn record_refusal(&mut self, now: Timestamp, peers: &PeerLoads) {
        let is_decode_engine = self.record.role == Some(EngineRole::Decode);
        if is_decode_engine && self.requests_in_flight(peers) >= self.record.slots {
            self.full_until = Some(now + FULL_TIME);
            return;
        }
        self.refusals_in_row += 1;
        let backoff = refusal_backoff(self.refusals_in_row);
        self.avoided_until = backoff.map(|backoff| now + backoff).max(self.avoided_until);
    }

    /// Returns whether the engine has refused a request lately because it is full.
    pub fn is_full(&self, now: Timestamp) -> bool {
        self.full_until.is_some_and(|until| until > now)
    }

    /// Records whether the KV cache of a prefill on this engine could be transferred.
    /// From the second failed transfer in a row on, the engine runs no prefills for
    /// decode engines for a backoff, which is as long as the one after refusals.
    pub fn record_kv_transfer(&mut self, now: Timestamp, is_transferred: bool) {
        match is_transferred {
            true => self.failed_kv_transfers_in_row = 0,
            false => self.failed_kv_transfers_in_row += 1,
        }
        let backoff = refusal_backoff(self.failed_kv_transfers_in_row);
        self.no_prefill_until = backoff.map(|backoff| now + backoff);
    }

    /// Returns the requests of all hosts in flight on the upstream.
    pub fn requests_in_flight(&self, peers: &PeerLoads) -> u32 {
        self.in_flight + peers.in_flight_on(self.digest).requests
    }

    /// Records that a request was sent to the upstream.
    pub fn record_send(&mut self, now: Timestamp) {
        self.answers.record_send(now);
    }

    /// Records that the head of a response has arrived, also that of a refusal.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.answers.record_answer(now);
    }

    /// Records that a request was given up without an answer.
    pub fn record_unanswered(&mut self, now: Timestamp) {
        self.answers.record_end(now, self.mean_latency_s);
    }

    /// Returns the number of this host's requests that the upstream has left unanswered for
    /// longer than it should, while it answered none.
    pub fn silent_requests(&self, now: Timestamp) -> u32 {
        self.answers.silent_requests(now, self.mean_latency_s)
    }

    /// Returns whether the upstream leaves several requests of this host and of `peers`
    /// unanswered. A request that can't be sent twice shouldn't be sent to it.
    pub fn is_silent(&self, now: Timestamp, peers: &PeerLoads) -> bool {
        let silent = self.silent_requests(now) + peers.hosts_in_silence(self.digest);
        silent >= MIN_SILENT_REQUESTS
    }

    /// Returns the prompt tokens of all hosts that wait for prefill or are in prefill
    /// on the upstream.
    pub fn prefill_backlog(&self, peers: &PeerLoads) -> u64 {
        self.prefill_tokens + peers.in_flight_on(self.digest).prefill_tokens
    }

    /// Returns whether so many requests in a row failed that the upstream is regarded
    /// as lost, although it is still listed. All failed requests count, whether they
    /// reached the upstream or not. The reachability of its data centre is tracked
    /// separately.
    pub fn has_repeated_failures(&self) -> bool {
        self.failures_in_row >= MIN_REPEATED_FAILURES
    }

    /// Ends the backoff after failures, since not the upstream but the path to it has failed.
    pub fn forget_failures(&mut self) {
        self.failures_in_row = 0;
        self.failure_backoffs = 0;
        self.avoided_until = None;
    }

    /// Records a response whose first byte arrived after `latency`.
    pub fn record_response(&mut self, latency: Duration) {
        self.failures_in_row = 0;
        self.failure_backoffs = 0;
        self.refusals_in_row = 0;
        self.avoided_until = None;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        let latency_s = latency.as_secs_f64();
        self.mean_latency_s = match self.mean_latency_s {
            0.0 => latency_s,
            mean => mean + LATENCY_WEIGHT * (latency_s - mean),
        };
    }

    /// Records a failed request. The upstream is avoided for a backoff from the
    /// second failure in a row on, or from the first if `is_not_sent`, which means
    /// that nothing of this request reached the upstream.
    ///
    /// A failure during a backoff is one of a request that was sent before it, usually at
    /// the same time as the others, and makes the backoff no longer.
    pub fn record_failure(&mut self, now: Timestamp, is_not_sent: bool) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        self.failures_in_row += 1;
        let backoff_from = if is_not_sent { 1 } else { 2 };
        let is_avoided = self.avoided_until.is_some_and(|until| until > now);
        if self.failures_in_row >= backoff_from && !is_avoided {
            let backoff = FIRST_FAILURE_BACKOFF * 2_u32.pow(self.failure_backoffs.min(8));
            self.failure_backoffs += 1;
            self.avoided_until = Some(now + backoff.min(MAX_FAILURE_BACKOFF));
        }
    }
}

/// Returns the backoff after `count` refusals, or failed KV transfers, in a row.
fn refusal_backoff(count: u32) -> Option<Duration> {
    let doublings = count.checked_sub(MIN_REFUSALS)?;
    let backoff = FIRST_REFUSAL_BACKOFF * 2_u32.pow(doublings.min(8));
    Some(backoff.min(MAX_REFUSAL_BACKOFF))
}
