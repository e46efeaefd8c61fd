//! Forecast of the work for one model, in engines kept busy by each phase.
//!
//! Demand is noisy from second to second, and a role change makes an engine
//! unavailable for seconds. The policy must therefore act on the expected mix
//! rather than on the mix in the last report. Level and trend are smoothed
//! exponentially, and the trend is damped so that a burst isn't mistaken for a
//! lasting shift.

use crate::{DemandReport, Timestamp};
use std::time::Duration;

/// Time constant of the smoothed level.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Time constant of the smoothed trend.
const TREND_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Share of the trend that is extrapolated into a prediction.
const TREND_DAMPING: f64 = 0.5;
/// Time constant of the long-term level.
const LONG_TERM_TIME_CONSTANT: Duration = Duration::from_secs(90);

/// Throughput of one engine. Each rate assumes that the engine does nothing but
/// that phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_second: f64,
    /// Output tokens decoded per second, summed over all streams of a full batch.
    pub decode_tokens_per_second: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 10_000.0,
            decode_tokens_per_second: 1_400.0,
        }
    }
}

/// Work by phase, as the number of engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PhaseWork {
    /// Engines kept busy by prefill.
    pub prefill: f64,
    /// Engines kept busy by decode.
    pub decode: f64,
}

impl PhaseWork {
    /// Returns the work that corresponds to a demand report.
    ///
    /// The waiting requests are counted as if they were to be served evenly
    /// over `catch_up_time`.
    pub fn from_demand_report(
        report: &DemandReport,
        rates: EngineRates,
        catch_up_time: Duration,
    ) -> Self {
        let seconds = report.interval.as_secs_f64().max(0.001);
        let rate = |arrived: u64, waiting: u64| {
            arrived as f64 / seconds + waiting as f64 / catch_up_time.as_secs_f64()
        };
        Self {
            prefill: rate(report.prompt_tokens, report.waiting_prompt_tokens)
                / rates.prefill_tokens_per_second,
            decode: rate(report.output_tokens, report.waiting_output_tokens)
                / rates.decode_tokens_per_second,
        }
    }

    /// Returns the number of engines kept busy by both phases together.
    pub fn total(self) -> f64 {
        self.prefill + self.decode
    }

    fn combine(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            prefill: f(self.prefill, other.prefill),
            decode: f(self.decode, other.decode),
        }
    }
}

/// Smoothed level and trend of one model's work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkForecast {
    level: PhaseWork,
    trend: PhaseWork,
    long_term_level: PhaseWork,
    updated_at: Option<Timestamp>,
}

impl WorkForecast {
    /// Updates the forecast with the work measured at `at`. Measurements that
    /// are not newer than the last one are ignored.
    pub(crate) fn observe(&mut self, at: Timestamp, work: PhaseWork) {
        let Some(updated_at) = self.updated_at else {
            self.level = work;
            self.long_term_level = work;
            self.updated_at = Some(at);
            return;
        };
        let elapsed = at.since(updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let before = self.level;
        let level_factor = smoothing_factor(elapsed, LEVEL_TIME_CONSTANT);
        self.level = before.combine(work, |old, new| old + level_factor * (new - old));
        let slope = self.level.combine(before, |new, old| (new - old) / elapsed);
        let trend_factor = smoothing_factor(elapsed, TREND_TIME_CONSTANT);
        self.trend = self
            .trend
            .combine(slope, |old, new| old + trend_factor * (new - old));
        let long_term_factor = smoothing_factor(elapsed, LONG_TERM_TIME_CONSTANT);
        self.long_term_level = self
            .long_term_level
            .combine(work, |old, new| old + long_term_factor * (new - old));
        self.updated_at = Some(at);
    }

    /// Returns the work expected `horizon` after the last measurement.
    pub(crate) fn predict(&self, horizon: Duration) -> PhaseWork {
        let seconds = horizon.as_secs_f64() * TREND_DAMPING;
        self.level.combine(self.trend, |level, trend| {
            (level + trend * seconds).max(0.0)
        })
    }

    /// Returns the level smoothed over minutes, which purchases are based on.
    pub(crate) fn long_term(&self) -> PhaseWork {
        self.long_term_level
    }

    /// Returns the time of the last measurement, or `None` before the first.
    pub(crate) fn updated_at(&self) -> Option<Timestamp> {
        self.updated_at
    }
}

fn smoothing_factor(elapsed: f64, time_constant: Duration) -> f64 {
    1.0 - (-elapsed / time_constant.as_secs_f64()).exp()
}
