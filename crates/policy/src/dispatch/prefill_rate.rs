//! How fast engines read prompts, as seen from outside.
//!
//! Nobody states it, and how much of a prompt an engine still has in memory is
//! not known either. Both show in the time that a read takes for the tokens that
//! were queued when it was sent.

use std::time::Duration;

/// Weight of the newest read.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Reads before the rate is believed.
const LEAST_SAMPLES: u32 = 20;

/// Queued tokens below which a read says more about the network than the engine.
const LEAST_TOKENS: u64 = 1_000;

/// Tokens that an engine reads in a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    seconds_per_token: f64,
    samples: u32,
}

impl PrefillRate {
    /// Creates a rate that nothing is known of.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a read that took `latency` with `queued_tokens` queued, its own
    /// included.
    pub fn record(&mut self, queued_tokens: u64, latency: Duration) {
        if queued_tokens < LEAST_TOKENS {
            return;
        }
        let sample = latency.as_secs_f64() / queued_tokens as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds_per_token += weight * (sample - self.seconds_per_token);
    }

    /// Returns how long an engine takes for `tokens`; zero while unknown.
    pub fn time_for(&self, tokens: u64) -> Duration {
        match self.samples >= LEAST_SAMPLES {
            true => Duration::from_secs_f64(self.seconds_per_token * tokens as f64),
            false => Duration::ZERO,
        }
    }
}
