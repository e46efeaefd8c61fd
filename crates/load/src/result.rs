//! The results of a load run.

use crate::LoadPlan;
use crate::exchange::ExchangeRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_FIGURES: u8 = 3;

/// Longest latency that the histograms can record, in microseconds: ten minutes.
/// Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// The results of a load run.
#[derive(Clone, Debug)]
pub struct LoadResult {
    seed: u64,
    sent: u64,
    complete: u64,
    tokens: u64,
    statuses: BTreeMap<u16, u64>,
    refusals: BTreeMap<String, u64>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    elapsed: Duration,
}

/// The JSON form of a result.
#[derive(Clone, Debug, Serialize)]
struct ResultDocument<'a> {
    seed: u64,
    sent: u64,
    complete: u64,
    tokens: u64,
    statuses: &'a BTreeMap<u16, u64>,
    refusals: &'a BTreeMap<String, u64>,
    elapsed_seconds: f64,
    tokens_per_second: f64,
    first_token: LatencySummary,
    token_gap: LatencySummary,
}

impl LoadResult {
    pub(crate) fn new(plan: &LoadPlan) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
                .expect("the histogram bounds are valid")
        };
        Self {
            seed: plan.seed,
            sent: 0,
            complete: 0,
            tokens: 0,
            statuses: BTreeMap::new(),
            refusals: BTreeMap::new(),
            first_token: histogram(),
            token_gap: histogram(),
            elapsed: Duration::ZERO,
        }
    }

    pub(crate) fn add(&mut self, record: &ExchangeRecord) {
        self.sent += 1;
        self.complete += u64::from(record.complete);
        self.tokens += record.tokens;
        *self.statuses.entry(record.status).or_default() += 1;
        if let Some(code) = &record.refusal {
            *self.refusals.entry(code.clone()).or_default() += 1;
        }
        if let Some(latency) = record.first_token {
            self.first_token
                .saturating_record(latency.as_micros() as u64);
        }
        for gap in &record.gaps {
            self.token_gap.saturating_record(gap.as_micros() as u64);
        }
    }

    pub(crate) fn set_elapsed(&mut self, elapsed: Duration) {
        self.elapsed = elapsed;
    }

    /// Returns the number of requests sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of responses received completely, up to the end marker.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Returns the number of tokens received in all responses.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the number of responses by status; status 0 counts the requests without
    /// a response.
    pub fn statuses(&self) -> &BTreeMap<u16, u64> {
        &self.statuses
    }

    /// Returns the time from the start of the run to the end of the last response.
    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }

    /// Returns the distribution of the time to the first token.
    pub fn first_token(&self) -> LatencySummary {
        summary(&self.first_token)
    }

    /// Returns the distribution of the time between tokens.
    pub fn token_gap(&self) -> LatencySummary {
        summary(&self.token_gap)
    }

    /// Returns the result as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the result can't be serialized.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(&ResultDocument {
            seed: self.seed,
            sent: self.sent,
            complete: self.complete,
            tokens: self.tokens,
            statuses: &self.statuses,
            refusals: &self.refusals,
            elapsed_seconds: self.elapsed.as_secs_f64(),
            tokens_per_second: self.tokens as f64 / self.elapsed.as_secs_f64(),
            first_token: self.first_token(),
            token_gap: self.token_gap(),
        })
    }
}

impl fmt::Display for LoadResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, gap) = (self.first_token(), self.token_gap());
        writeln!(f, "sent {}, complete {}", self.sent, self.complete)?;
        writeln!(
            f,
            "statuses {:?}, refusals {:?}",
            self.statuses, self.refusals
        )?;
        let rate = self.tokens as f64 / self.elapsed.as_secs_f64();
        writeln!(f, "tokens {} ({rate:.0} a second)", self.tokens)?;
        writeln!(
            f,
            "{:<12} {:>9} {:>9} {:>9} {:>9}",
            "ms", "p50", "p95", "p99", "max"
        )?;
        writeln!(f, "{:<12} {first}", "first token")?;
        write!(f, "{:<12} {gap}", "token gap")
    }
}

impl fmt::Display for LatencySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            p50_ms,
            p95_ms,
            p99_ms,
            max_ms,
        } = self;
        write!(f, "{p50_ms:>9.3} {p95_ms:>9.3} {p99_ms:>9.3} {max_ms:>9.3}")
    }
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    let milliseconds = |micros: u64| micros as f64 / 1_000.0;
    LatencySummary {
        p50_ms: milliseconds(histogram.value_at_quantile(0.50)),
        p95_ms: milliseconds(histogram.value_at_quantile(0.95)),
        p99_ms: milliseconds(histogram.value_at_quantile(0.99)),
        max_ms: milliseconds(histogram.max()),
    }
}
