//! Estimates how fast a queue drains, from which the waiting time of a new
//! request follows.

use crate::Timestamp;
use std::time::Duration;

/// Time constant of the smoothed rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// How long requests must have been waiting before the rate reflects the
/// capacity of the upstreams rather than the arrival rate.
const MIN_BACKLOG_TIME: Duration = Duration::from_secs(2);

/// Smoothed rate, in tokens per second, at which queued requests are started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    tokens: f64,
    updated_at: Timestamp,
    backlogged_since: Option<Timestamp>,
}

impl DrainRate {
    /// Records that a request of `tokens` was started at `now`.
    pub(crate) fn record_start(&mut self, now: Timestamp, tokens: u64) {
        self.decay(now);
        self.tokens += tokens as f64;
    }

    /// Records whether requests are waiting at `now`.
    pub(crate) fn record_backlog(&mut self, now: Timestamp, has_backlog: bool) {
        match (has_backlog, self.backlogged_since) {
            (true, None) => self.backlogged_since = Some(now),
            (false, Some(_)) => self.backlogged_since = None,
            _ => {}
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.tokens *= (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = now;
    }

    /// Returns the rate in tokens per second, or `None` until requests have been
    /// waiting for [`MIN_BACKLOG_TIME`]. The rate is at least 1.
    pub(crate) fn rate(&mut self, now: Timestamp) -> Option<f64> {
        self.decay(now);
        let is_settled = self
            .backlogged_since
            .is_some_and(|since| now.since(since) >= MIN_BACKLOG_TIME);
        is_settled.then(|| (self.tokens / RATE_TIME_CONSTANT.as_secs_f64()).max(1.0))
    }
}
