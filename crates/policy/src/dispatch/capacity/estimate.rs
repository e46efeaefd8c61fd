//! The estimate of the time that one upstream takes for a unit of work.

use crate::Timestamp;
use std::time::Duration;

/// Time in which a sample loses most of its weight. Slow phases of engines last for several
/// hundred milliseconds.
const FORGET_TIME: Duration = Duration::from_millis(700);

/// Weight of a sample above the estimate.
const QUEUED_WEIGHT: f64 = 0.15;

/// Weighted mean and spread of the logarithms of the samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimeEstimate {
    /// Number of samples, each by its present weight.
    pub(super) weight: f64,
    pub(super) mean: f64,
    /// Variance of the samples.
    pub(super) variance: f64,
    updated_at: Timestamp,
}

impl TimeEstimate {
    /// Records a sample. One above the estimate, which a queue that this host didn't know of
    /// may have made long, counts less than one below it.
    pub(super) fn record(&mut self, now: Timestamp, sample: f64) {
        let kept = self.weight_at(now);
        self.weight = kept + 1.0;
        let difference = sample - self.mean;
        let share = match difference {
            _ if kept == 0.0 => 1.0,
            above if above > 0.0 => QUEUED_WEIGHT / self.weight,
            _ => 1.0 / self.weight,
        };
        self.mean += share * difference;
        self.variance = (1.0 - share) * (self.variance + share * difference * difference);
        self.updated_at = now;
    }

    pub(super) fn weight_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / FORGET_TIME.as_secs_f64()).exp()
    }
}
