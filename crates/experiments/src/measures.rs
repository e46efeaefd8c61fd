//! What is measured in a run.

use crate::deployment::{WORKSPACE_DEMAND, WORKSPACE_WEIGHTS};
use hdrhistogram::Histogram;
use lagoonlift_types::{TOKENS_PER_PIECE, Urgency};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Highest latency that a histogram tells apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyQuantiles {
    /// Half are at most this.
    pub p50: u64,
    /// 95 in 100 are at most this.
    pub p95: u64,
    /// 99 in 100 are at most this.
    pub p99: u64,
}

/// What one run came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunMeasures {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered by their deadline.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Requests refused as "not run".
    pub refused: u64,
    /// Requests lost with their upstream and not repeated.
    pub lost: u64,
    /// Pieces of 2,000 tokens asked for.
    pub offered_pieces: f64,
    /// Pieces of the requests answered by their deadline.
    pub goodput_pieces: f64,
    /// Role changes ordered.
    pub role_changes: u64,
    /// Work answered in time for the worst-served workspace that doesn't
    /// flood, as a share of its fair share.
    pub worst_workspace: f64,
    /// Paid for upstreams, in seconds of a reserved engine.
    pub paid: f64,
    /// Upstreams ordered during the run.
    pub ordered: u64,
    /// Share of the goodput whose answer came from cheap upstreams.
    pub cheap_share: f64,
    /// Urgent or non-repeatable requests that a vanished upstream cut.
    pub harmed: u64,
    /// Requests sent again because of a vanished upstream.
    pub repeated: u64,
    /// Time to the first token of urgent requests.
    pub urgent_first_token: LatencyQuantiles,
    /// Time to the first token of all requests.
    pub first_token: LatencyQuantiles,
    /// Mean time between the tokens of an answer.
    pub token_gap: LatencyQuantiles,
    /// Share of the requests answered in time, by workspace.
    pub workspace_in_time: Vec<f64>,
}

/// One request's contribution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestMeasure {
    pub(crate) workspace: usize,
    pub(crate) urgency: Urgency,
    pub(crate) tokens: u64,
    pub(crate) output_tokens: u64,
    /// Engine-seconds.
    pub(crate) work: f64,
    pub(crate) end: RequestEnd,
    pub(crate) first_token: Option<Duration>,
    pub(crate) generating: Option<Duration>,
    pub(crate) on_cheap: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    InTime,
    Late,
    Refused,
    Lost,
}

/// Collects a run's requests.
#[derive(Debug)]
pub(crate) struct MeasureCollector {
    measures: RunMeasures,
    cheap_pieces: f64,
    offered_work: Vec<f64>,
    good_work: Vec<f64>,
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
            cheap_pieces: 0.0,
            offered_work: vec![0.0; workspaces],
            good_work: vec![0.0; workspaces],
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
        match request.end {
            RequestEnd::InTime => {
                measures.in_time += 1;
                measures.goodput_pieces += pieces;
                self.in_time[workspace] += 1;
                self.good_work[workspace] += request.work;
                self.cheap_pieces += if request.on_cheap { pieces } else { 0.0 };
            }
            RequestEnd::Late => measures.late += 1,
            RequestEnd::Refused => measures.refused += 1,
            RequestEnd::Lost => measures.lost += 1,
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
        if let Some(generating) = request.generating
            && request.output_tokens > 1
        {
            let gap = generating.as_millis() as u64 / (request.output_tokens - 1);
            self.token_gap.saturating_record(gap);
        }
    }

    /// Finishes the measures; `capacity` is the fleet's in engine-seconds, and
    /// `flooding` the workspace that floods.
    pub(crate) fn finish(mut self, capacity: f64, flooding: Option<usize>) -> RunMeasures {
        let fair = fair_shares(&self.offered_work, capacity);
        let others = (0..fair.len()).filter(|index| Some(*index) != flooding);
        let shares = others.map(|index| self.good_work[index] / fair[index].max(1e-9));
        self.measures.worst_workspace = shares.fold(f64::INFINITY, f64::min);
        self.measures.cheap_share = self.cheap_pieces / self.measures.goodput_pieces.max(1e-9);
        self.measures.urgent_first_token = quantiles(&self.urgent_first_token);
        self.measures.first_token = quantiles(&self.first_token);
        self.measures.token_gap = quantiles(&self.token_gap);
        let rates = self.in_time.iter().zip(&self.offered);
        self.measures.workspace_in_time = rates
            .map(|(in_time, offered)| *in_time as f64 / (*offered).max(1) as f64)
            .collect();
        self.measures
    }
}

/// Shares `capacity` by weight; nobody gets more than it asked for.
pub(crate) fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut left = capacity;
    loop {
        let weights: f64 = open.iter().map(|i| f64::from(WORKSPACE_WEIGHTS[*i])).sum();
        let share = |i: usize| left * f64::from(WORKSPACE_WEIGHTS[i]) / weights;
        let content: Vec<usize> = open
            .iter()
            .copied()
            .filter(|i| demands[*i] <= share(*i))
            .collect();
        if content.is_empty() {
            for index in &open {
                shares[*index] = share(*index);
            }
            return shares;
        }
        for index in content {
            shares[index] = demands[index];
            left -= demands[index];
            open.retain(|other| *other != index);
        }
        if open.is_empty() {
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
