//! Whether an upstream that fails is left alone for a while.
//!
//! An upstream that fails at once looks idle, and idle upstreams attract work.
//! Without a pause, a dead one would take most requests and use the budget for
//! repeats up.

use lagoonlift_policy::AttemptEnd;
use std::time::Duration;
use tokio::time::Instant;

/// Failures in a row after which an upstream is left alone.
const FAILURE_THRESHOLD: u32 = 3;

/// First pause after failures.
const INITIAL_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause after failures.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(16);

/// First pause after a refusal as busy.
const INITIAL_BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after refusals as busy.
const MAX_BUSY_PAUSE: Duration = Duration::from_secs(2);

/// What this process has seen of one upstream lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamHealth {
    failures: u32,
    busy_refusals: u32,
    paused_until: Option<Instant>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that hasn't failed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes how an attempt ended; returns whether the upstream is left alone
    /// because of it.
    pub fn record_attempt(&mut self, now: Instant, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::Completed { .. } => {
                *self = Self::default();
                false
            }
            AttemptEnd::Cancelled => false,
            // Attempts that began before the pause say nothing new.
            AttemptEnd::UpstreamFailed | AttemptEnd::Busy if self.is_paused(now) => false,
            AttemptEnd::UpstreamFailed => {
                self.failures += 1;
                let beyond = self.failures.checked_sub(FAILURE_THRESHOLD);
                self.pause(now, beyond, INITIAL_FAILURE_PAUSE, MAX_FAILURE_PAUSE)
            }
            AttemptEnd::Busy => {
                self.busy_refusals += 1;
                let beyond = Some(self.busy_refusals - 1);
                self.pause(now, beyond, INITIAL_BUSY_PAUSE, MAX_BUSY_PAUSE)
            }
        }
    }

    /// Ends the pause when it is over; returns whether it has ended just now.
    /// The next failure begins another at once, twice as long.
    pub fn try_resume(&mut self, now: Instant) -> bool {
        match self.paused_until {
            Some(until) if until <= now => {
                self.paused_until = None;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the upstream is left alone.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    fn pause(
        &mut self,
        now: Instant,
        doublings: Option<u32>,
        initial: Duration,
        max: Duration,
    ) -> bool {
        let Some(doublings) = doublings else {
            return false;
        };
        let pause = initial * 2_u32.saturating_pow(doublings.min(16));
        self.paused_until = Some(now + pause.min(max));
        true
    }
}
