//! Pauses upstreams that fail repeatedly.
//!
//! An upstream that fails immediately looks idle, and idle upstreams attract
//! work. Without a pause, a dead upstream would get most requests and exhaust
//! the retry budget.

use lagoonlift_policy::AttemptEnd;
use std::time::Duration;
use tokio::time::Instant;

/// Number of consecutive failures after which an upstream is paused.
const FAILURE_THRESHOLD: u32 = 3;

/// First pause after failures. The pause doubles with each further failure.
const INITIAL_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Maximum pause after failures.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(16);

/// First pause after a response that the upstream is busy. The pause doubles
/// with each further one.
const INITIAL_BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after responses that the upstream is busy.
const MAX_BUSY_PAUSE: Duration = Duration::from_secs(2);

/// Recent failures of one upstream, as this process observed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamHealth {
    failures: u32,
    busy_refusals: u32,
    paused_until: Option<Instant>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how an attempt ended; returns whether this paused the upstream.
    pub fn record_attempt(&mut self, now: Instant, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::Completed { .. } => {
                *self = Self::default();
                false
            }
            AttemptEnd::Cancelled => false,
            // Attempts that started before the pause carry no new information.
            AttemptEnd::UpstreamFailed | AttemptEnd::Busy if self.is_paused(now) => false,
            AttemptEnd::UpstreamFailed => {
                self.failures += 1;
                let doublings = self.failures.checked_sub(FAILURE_THRESHOLD);
                self.pause(now, doublings, INITIAL_FAILURE_PAUSE, MAX_FAILURE_PAUSE)
            }
            AttemptEnd::Busy => {
                self.busy_refusals += 1;
                let doublings = Some(self.busy_refusals - 1);
                self.pause(now, doublings, INITIAL_BUSY_PAUSE, MAX_BUSY_PAUSE)
            }
        }
    }

    /// Ends the pause if it has elapsed; returns whether it ended just now. The
    /// next failure starts another pause at once, twice as long.
    pub fn try_resume(&mut self, now: Instant) -> bool {
        match self.paused_until {
            Some(until) if until <= now => {
                self.paused_until = None;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the upstream is paused.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Pauses the upstream for `initial`, doubled `doublings` times but at most
    /// `max`; returns whether it did. `None` means that the failure threshold
    /// isn't reached, so the upstream isn't paused.
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
