//! Estimates how long decode engines take from the arrival of a request to its first event.
//!
//! Engines run as many requests at once as they have slots; the others wait for a slot. The
//! time to the first event therefore grows with the requests in flight per slot.

use std::time::Duration;

/// Weight of the latest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Samples that are needed before the estimate is used. One host of many sends only a few
/// requests a second to decode engines.
const MIN_SAMPLES: u32 = 5;

/// Moving average of the time to the first event while a slot is free.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecodeTime {
    seconds_per_turn: f64,
    samples: u32,
}

impl DecodeTime {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first event that came `latency` after the request was sent, which made
    /// `requests` in flight on an engine with `slots`.
    pub fn record(&mut self, requests: u32, slots: u32, latency: Duration) {
        let turns = f64::from(requests) / f64::from(slots.max(1));
        let sample = latency.as_secs_f64() / turns.max(1.0);
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds_per_turn += weight * (sample - self.seconds_per_turn);
    }

    /// Returns the time to the first event while a slot is free; `None` while there are too
    /// few samples.
    pub fn own_time(&self) -> Option<Duration> {
        let time = Duration::from_secs_f64(self.seconds_per_turn);
        (self.samples >= MIN_SAMPLES).then_some(time)
    }

    /// Returns how long a request waits for a slot if `requests` others are ahead of it at
    /// engines with `slots` in total; `None` while there are too few samples.
    pub fn wait(&self, requests: u32, slots: u32) -> Option<Duration> {
        let queued = requests.saturating_sub(slots.saturating_sub(1));
        let turns = f64::from(queued) / f64::from(slots.max(1));
        let wait = Duration::from_secs_f64(self.seconds_per_turn * turns);
        (self.samples >= MIN_SAMPLES).then_some(wait)
    }
}
