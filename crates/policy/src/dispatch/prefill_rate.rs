//! Estimates the prefill rate of engines from the latency of prefill requests.
//!
//! Engines do not report their prefill rate, nor how much of a prompt is still in
//! their KV cache. Both affect how long a prefill takes relative to the number of
//! tokens that were queued when it was sent.

use std::time::Duration;

/// Weight of the latest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Samples that are needed before the estimate is used.
const MIN_SAMPLES: u32 = 20;

/// Smallest number of queued tokens for a sample. With fewer, the latency depends
/// more on the network than on the engine.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

/// Moving average of the prefill time per token.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    seconds_per_token: f64,
    samples: u32,
}

impl PrefillRate {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a prefill that took `latency` while `queued_tokens` were queued,
    /// including the tokens of the prefill itself.
    pub fn record(&mut self, queued_tokens: u64, latency: Duration) {
        if queued_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = latency.as_secs_f64() / queued_tokens as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds_per_token += weight * (sample - self.seconds_per_token);
    }

    /// Returns the estimated prefill time of `tokens`; `None` while there are too few
    /// samples.
    pub fn estimate(&self, tokens: u64) -> Option<Duration> {
        let time = Duration::from_secs_f64(self.seconds_per_token * tokens as f64);
        (self.samples >= MIN_SAMPLES).then_some(time)
    }

    /// Returns the estimated prefill time of `tokens`; zero while there are too few
    /// samples.
    pub fn time_for(&self, tokens: u64) -> Duration {
        self.estimate(tokens).unwrap_or_default()
    }
}
