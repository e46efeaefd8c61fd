//! Whether an upstream leaves this host's requests unanswered for longer than it should.

use crate::Timestamp;
use std::time::Duration;

/// Time without an answer after which an upstream may be silent, at least. Engines have slow
/// phases of several hundred milliseconds.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Time without an answer after which an upstream may be silent, as a multiple of its mean
/// latency.
const SILENCE_FACTOR: f64 = 4.0;

/// Time without an answer after which an upstream of unknown latency may be silent.
const FIRST_SILENCE: Duration = Duration::from_secs(1);

/// Time for which an upstream counts as silent after the last request was given up that it
/// has not answered. Until then, only an answer ends the silence.
const SILENCE_RETENTION: Duration = Duration::from_secs(2);

/// Requests to one upstream that have no answer yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTracker {
    /// Requests that were sent and have neither been answered nor given up.
    awaited: u32,
    /// Time of the latest answer, or of the first request sent since no answer was awaited.
    quiet_since: Timestamp,
    silent_until: Option<Timestamp>,
}

impl AnswerTracker {
    pub(super) fn record_send(&mut self, now: Timestamp) {
        if self.awaited == 0 {
            self.quiet_since = now;
        }
        self.awaited += 1;
    }

    /// Records an answer to one of the requests, also a refusal.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.awaited = self.awaited.saturating_sub(1);
        self.quiet_since = now;
        self.silent_until = None;
    }

    /// Records that a request was given up before its answer.
    pub(super) fn record_end(&mut self, now: Timestamp, mean_latency_s: f64) {
        if self.is_overdue(now, mean_latency_s) {
            self.silent_until = Some(now + SILENCE_RETENTION);
        }
        self.awaited = self.awaited.saturating_sub(1);
    }

    /// Returns the number of requests that show the upstream to be silent.
    pub(super) fn silent_requests(&self, now: Timestamp, mean_latency_s: f64) -> u32 {
        match self.silent_until {
            _ if self.is_overdue(now, mean_latency_s) => self.awaited,
            Some(until) if until > now => 1,
            _ => 0,
        }
    }

    fn is_overdue(&self, now: Timestamp, mean_latency_s: f64) -> bool {
        let longest = match mean_latency_s {
            0.0 => FIRST_SILENCE,
            mean => MIN_SILENCE.max(Duration::from_secs_f64(mean * SILENCE_FACTOR)),
        };
        self.awaited > 0 && now.since(self.quiet_since) > longest
    }
}
