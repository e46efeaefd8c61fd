//! How fast a queue empties, and so how long a request would wait.

use crate::Timestamp;
use std::time::Duration;

/// Time over which the rate forgets.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// How long a queue must have been waiting before its rate means capacity.
const MIN_BACKLOG_TIME: Duration = Duration::from_secs(2);

/// Tokens started a second while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    tokens: f64,
    updated_at: Timestamp,
    backlogged_since: Option<Timestamp>,
}

impl DrainRate {
    /// Takes in that `tokens` were started.
    pub(crate) fn record_start(&mut self, now: Timestamp, tokens: u64) {
        self.decay(now);
        self.tokens += tokens as f64;
    }

    /// Takes in whether requests wait.
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

    /// Returns tokens a second, once the queue has waited long enough to tell.
    pub(crate) fn rate(&mut self, now: Timestamp) -> Option<f64> {
        self.decay(now);
        let is_settled = self
            .backlogged_since
            .is_some_and(|since| now.since(since) >= MIN_BACKLOG_TIME);
        is_settled.then(|| (self.tokens / RATE_TIME_CONSTANT.as_secs_f64()).max(1.0))
    }
}
