//! How fast the upstreams work, compared with others of their kind.
//!
//! A sample is the time that an upstream took for a unit of work: a prompt token of a
//! prefill, or a turn of a slot. A host takes few samples of each upstream itself, so the
//! hosts send each other their latest one with the loads. Samples lose their weight within a
//! second or two, and with them what was learned of an upstream that has restarted.

mod estimate;

use self::estimate::TimeEstimate;
use super::{Upstream, UpstreamDigest};
use crate::{Timestamp, UpstreamKey};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a host tells its latest sample to peers. In this time, a load message goes
/// to each of up to 72 peers.
const NOTICE_TIME: Duration = Duration::from_millis(75);

/// Time without samples after which an upstream is forgotten.
const RETENTION: Duration = Duration::from_secs(5);

/// Steps of an encoded sample per factor of e.
const STEPS: f64 = 64.0;

/// Logarithm of the shortest encoded time, in seconds for a unit.
const MIN_SAMPLE: f64 = -20.0;

/// Weight of the mean of similar upstreams in the estimate of one, in samples.
const PRIOR_WEIGHT: f64 = 2.0;

/// Samples, by their weights, from which on an upstream counts as measured.
const MIN_WEIGHT: f64 = 6.0;

/// Standard errors by which the speed of an upstream has to differ from the mean.
const MIN_STANDARD_ERRORS: f64 = 3.0;

/// Largest number of samples, by their weights, that count as independent: those that were
/// taken while the same queue was there aren't.
const MAX_INDEPENDENT: f64 = 12.0;

/// Least difference from the mean that counts, as a logarithm.
const MIN_DIFFERENCE: f64 = 0.15;

/// Largest difference from the mean, as a logarithm.
const MAX_DIFFERENCE: f64 = 1.4;

/// The time that an upstream took for a unit of work, as peers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSample {
    /// The upstream.
    pub upstream: UpstreamDigest,
    /// Logarithm of the time, in [`STEPS`] from [`MIN_SAMPLE`].
    steps: u16,
}

impl WorkSample {
    /// Creates the sample of `units` of work that took `time`; `None` if either is zero.
    pub fn new(upstream: UpstreamDigest, units: f64, time: Duration) -> Option<Self> {
        let seconds = time.as_secs_f64() / units;
        let is_valid = seconds.is_finite() && seconds > 0.0;
        let steps = (seconds.ln() - MIN_SAMPLE) * STEPS;
        is_valid.then_some(Self {
            upstream,
            steps: steps.round() as u16,
        })
    }

    fn logarithm(self) -> f64 {
        MIN_SAMPLE + f64::from(self.steps) / STEPS
    }
}

/// The estimates for all upstreams.
#[derive(Clone, Debug, Default)]
pub struct CapacityModel {
    estimates: HashMap<UpstreamDigest, TimeEstimate>,
    latest: Option<(Timestamp, WorkSample)>,
}

impl CapacityModel {
    /// Creates a model without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample that this host took.
    pub fn record(&mut self, now: Timestamp, sample: WorkSample) {
        self.latest = Some((now, sample));
        self.record_from_peer(now, sample);
    }

    /// Records a sample that a peer took.
    pub fn record_from_peer(&mut self, now: Timestamp, sample: WorkSample) {
        let estimate = self.estimates.entry(sample.upstream).or_default();
        estimate.record(now, sample.logarithm());
    }

    /// Returns this host's latest sample if peers are to be told of it.
    pub fn notice(&self, now: Timestamp) -> Option<WorkSample> {
        let (taken_at, sample) = self.latest?;
        (now.since(taken_at) < NOTICE_TIME).then_some(sample)
    }

    /// Removes upstreams without recent samples.
    pub fn expire(&mut self, now: Timestamp) {
        let shortest = (-RETENTION.as_secs_f64()).exp();
        self.estimates
            .retain(|_, estimate| estimate.weight_at(now) > shortest);
    }

    /// Returns the times that similar upstreams take for the same work, each as a multiple of
    /// their mean: 1 for an upstream whose measured speed doesn't differ from the mean by more
    /// than its noise.
    pub fn slowness(
        &self,
        now: Timestamp,
        upstreams: &[(UpstreamKey, &Upstream)],
    ) -> HashMap<UpstreamKey, f64> {
        let measured: Vec<(UpstreamKey, TimeEstimate, f64)> = upstreams
            .iter()
            .filter_map(|(key, one)| {
                let estimate = self.estimates.get(&one.digest)?;
                let weight = estimate.weight_at(now);
                (weight >= MIN_WEIGHT).then_some((*key, *estimate, weight))
            })
            .collect();
        let count = measured.len().max(1) as f64;
        let mean: f64 = measured.iter().map(|(_, one, _)| one.mean).sum::<f64>() / count;
        let differing = measured.into_iter().filter_map(|(key, estimate, weight)| {
            let difference = estimate.mean - mean;
            let error =
                (estimate.variance / weight.min(MAX_INDEPENDENT)).sqrt() * MIN_STANDARD_ERRORS;
            let is_significant = difference.abs() > error.max(MIN_DIFFERENCE);
            let shrunk = difference * weight / (weight + PRIOR_WEIGHT);
            let slowness = shrunk.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE).exp();
            is_significant.then_some((key, slowness))
        });
        differing.collect()
    }
}
