//! The measures of a run and their collection.

use crate::deployment::{WORKSPACE_DEMAND, WORKSPACE_WEIGHTS};
use hdrhistogram::Histogram;
use lagoonlift_types::{TOKENS_PER_PIECE, Urgency};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Highest latency that a histogram records, in milliseconds; higher ones count
/// as this one.
const MAX_LATENCY_MS: u64 = 600_000;

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyQuantiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Measures over a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunMeasures {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests completed by their deadline.
    pub in_time: u64,
    /// Requests completed after their deadline, or still unfinished at the end
    /// of the run.
    pub late: u64,
    /// Requests refused, either by the entry host as "not run" or because all
    /// their attempts failed.
    pub refused: u64,
    /// Non-idempotent requests that were lost with their upstream and not
    /// retried.
    pub lost: u64,
    /// Pieces of 2,000 tokens in all requests that arrived.
    pub offered_pieces: f64,
    /// Pieces of the requests completed by their deadline.
    pub goodput_pieces: f64,
    /// Engine role changes; the oracle's immediate changes don't count.
    pub role_changes: u64,
    /// Work completed in time for the worst-served workspace, as a share of
    /// its weighted fair share; a flooding workspace is left out.
    pub worst_workspace: f64,
    /// Cost of all upstreams; 1 is the price of a reserved engine for a second.
    pub paid: f64,
    /// Upstreams ordered during the run.
    pub ordered: u64,
    /// Share of the goodput that reclaimable upstreams completed.
    pub cheap_share: f64,
    /// Urgent or non-idempotent requests that were interrupted when a
    /// reclaimable upstream disappeared.
    pub harmed: u64,
    /// Idempotent requests that were retried because a reclaimable upstream
    /// disappeared.
    #[serde(rename = "repeated")]
    pub retried: u64,
    /// Time from arrival to the first token, of urgent requests.
    pub urgent_first_token: LatencyQuantiles,
    /// Time from arrival to the first token, of all requests.
    pub first_token: LatencyQuantiles,
    /// Mean time between the tokens of a response.
    pub token_gap: LatencyQuantiles,
    /// Share of the requests completed by their deadline, by workspace index.
    pub workspace_in_time: Vec<f64>,
}

/// Figures of one request, from which the collector computes the measures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestMeasure {
    pub(crate) workspace: usize,
    pub(crate) urgency: Urgency,
    pub(crate) tokens: u64,
    pub(crate) output_tokens: u64,
    /// Prefill and decode work, in engine-seconds.
    pub(crate) work: f64,
    pub(crate) outcome: RequestOutcome,
    /// Time from arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Time from the first token to the last.
    pub(crate) decode_time: Option<Duration>,
    pub(crate) on_reclaimable: bool,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    InTime,
    Late,
    Refused,
    Lost,
}

/// Aggregates the figures of a run's requests.
#[derive(Debug)]
pub(crate) struct MeasureCollector {
    measures: RunMeasures,
    reclaimable_goodput_pieces: f64,
    offered_work: Vec<f64>,
    in_time_work: Vec<f64>,
    offered: Vec<u64>,
    in_time: Vec<u64>,
    urgent_first_token: Histogram<u64>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
}

impl MeasureCollector {
    pub(crate) fn new() -> Result<Self, hdrhistogram::CreationError> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3);
        let workspaces = WORKSPACE_DEMAND.len();
        Ok(Self {
            measures: RunMeasures::default(),
            reclaimable_goodput_pieces: 0.0,
            offered_work: vec![0.0; workspaces],
            in_time_work: vec![0.0; workspaces],
            offered: vec![0; workspaces],
            in_time: vec![0; workspaces],
            urgent_first_token: histogram()?,
            first_token: histogram()?,
            token_gap: histogram()?,
        })
    }

    pub(crate) fn add(&mut self, request: RequestMeasure) {
        let pieces = request.tokens as f64 / TOKENS_PER_PIECE as f64;
        let workspace = request.workspace;
        let measures = &mut self.measures;
        measures.offered += 1;
        measures.offered_pieces += pieces;
        self.offered[workspace] += 1;
        self.offered_work[workspace] += request.work;
        match request.outcome {
            RequestOutcome::InTime => {
                measures.in_time += 1;
                measures.goodput_pieces += pieces;
                self.in_time[workspace] += 1;
                self.in_time_work[workspace] += request.work;
                self.reclaimable_goodput_pieces +=
                    if request.on_reclaimable { pieces } else { 0.0 };
            }
            RequestOutcome::Late => measures.late += 1,
            RequestOutcome::Refused => measures.refused += 1,
            RequestOutcome::Lost => measures.lost += 1,
        }
        self.record_latencies(request);
    }

    fn record_latencies(&mut self, request: RequestMeasure) {
        if let Some(first_token) = request.first_token {
            let milliseconds = first_token.as_millis() as u64;
            self.first_token.saturating_record(milliseconds);
            if request.urgency == Urgency::Urgent {
                self.urgent_first_token.saturating_record(milliseconds);
            }
        }
        if let Some(decode_time) = request.decode_time
            && request.output_tokens > 1
        {
            let gap = decode_time.as_millis() as u64 / (request.output_tokens - 1);
            self.token_gap.saturating_record(gap);
        }
    }

    /// Returns the measures. `capacity` is the fleet's capacity over the run in
    /// engine-seconds, and `flooding_workspace` the index of the workspace that
    /// floods, if any.
    pub(crate) fn finish(
        mut self,
        capacity: f64,
        flooding_workspace: Option<usize>,
    ) -> RunMeasures {
        let fair_work = fair_shares(&self.offered_work, capacity);
        let measured_workspaces =
            (0..fair_work.len()).filter(|index| Some(*index) != flooding_workspace);
        let shares =
            measured_workspaces.map(|index| self.in_time_work[index] / fair_work[index].max(1e-9));
        self.measures.worst_workspace = shares.fold(f64::INFINITY, f64::min);
        self.measures.cheap_share =
            self.reclaimable_goodput_pieces / self.measures.goodput_pieces.max(1e-9);
        self.measures.urgent_first_token = quantiles(&self.urgent_first_token);
        self.measures.first_token = quantiles(&self.first_token);
        self.measures.token_gap = quantiles(&self.token_gap);
        let workspace_counts = self.in_time.iter().zip(&self.offered);
        self.measures.workspace_in_time = workspace_counts
            .map(|(in_time, offered)| *in_time as f64 / (*offered).max(1) as f64)
            .collect();
        self.measures
    }
}

/// Divides `capacity` among the workspaces by weight; no workspace gets more
/// than its demand.
pub(crate) fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).collect();
    let mut remaining_capacity = capacity;
    loop {
        let weights: f64 = unsatisfied
            .iter()
            .map(|i| f64::from(WORKSPACE_WEIGHTS[*i]))
            .sum();
        let share = |i: usize| remaining_capacity * f64::from(WORKSPACE_WEIGHTS[i]) / weights;
        let satisfied: Vec<usize> = unsatisfied
            .iter()
            .copied()
            .filter(|i| demands[*i] <= share(*i))
            .collect();
        if satisfied.is_empty() {
            for index in &unsatisfied {
                shares[*index] = share(*index);
            }
            return shares;
        }
        for index in satisfied {
            shares[index] = demands[index];
            remaining_capacity -= demands[index];
            unsatisfied.retain(|other| *other != index);
        }
        if unsatisfied.is_empty() {
            return shares;
        }
    }
}

fn quantiles(histogram: &Histogram<u64>) -> LatencyQuantiles {
    LatencyQuantiles {
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    }
}
