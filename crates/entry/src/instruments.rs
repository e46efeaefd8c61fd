//! Metrics of the entry daemon, by workspace and class.

use lagoonlift_telemetry::{Metrics, counter, latency_histogram};
use lagoonlift_types::{ClassName, OutcomeKind, WorkspaceName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use std::time::Duration;

/// The instruments of one entry process.
#[derive(Clone, Debug)]
pub(crate) struct EntryInstruments {
    outcomes: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    uncopied: Counter<u64>,
    evictions: Counter<u64>,
    duration: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
}

/// The metric labels of one request, created once per request.
#[derive(Clone, Debug)]
pub(crate) struct RequestLabels([KeyValue; 2]);

impl RequestLabels {
    pub(crate) fn new(workspace: &WorkspaceName, class: &ClassName) -> Self {
        Self([
            KeyValue::new("workspace", workspace.to_string()),
            KeyValue::new("class", class.to_string()),
        ])
    }

    /// Returns empty labels, for a request that was refused before it was
    /// accepted.
    pub(crate) fn empty() -> Self {
        Self([KeyValue::new("workspace", ""), KeyValue::new("class", "")])
    }

    fn with(&self, name: &'static str, value: &'static str) -> [KeyValue; 3] {
        let [workspace, class] = self.0.clone();
        [workspace, class, KeyValue::new(name, value)]
    }
}

impl EntryInstruments {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let instruments = Self {
            outcomes: counter(&meter, "lagoonlift_requests", "Requests by outcome."),
            attempts: counter(
                &meter,
                "lagoonlift_attempts",
                "Attempts at upstreams, by whether they were the first.",
            ),
            resumes: counter(
                &meter,
                "lagoonlift_resumes",
                "Streams that went on at another upstream.",
            ),
            uncopied: counter(
                &meter,
                "lagoonlift_usage_uncopied",
                "Usage records that got no second copy in time.",
            ),
            evictions: counter(
                &meter,
                "lagoonlift_pool_evictions",
                "Connection pools dropped because their path was dead.",
            ),
            duration: latency_histogram(
                &meter,
                "lagoonlift_request_duration",
                "From arrival to the last byte.",
            ),
            first_token: latency_histogram(
                &meter,
                "lagoonlift_first_token",
                "From arrival to the first token.",
            ),
            token_gap: latency_histogram(&meter, "lagoonlift_token_gap", "Between two tokens."),
        };
        // Counters without labels are exported at zero as well, so that a
        // missing series signals a problem.
        instruments.uncopied.add(0, &[]);
        instruments.evictions.add(0, &[]);
        instruments
    }

    pub(crate) fn count_outcome(&self, labels: &RequestLabels, kind: OutcomeKind, took: Duration) {
        let labels = labels.with("outcome", kind.as_str());
        self.outcomes.add(1, &labels);
        self.duration.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn count_attempt(&self, labels: &RequestLabels, is_first: bool) {
        let kind = if is_first { "first" } else { "retry" };
        self.attempts.add(1, &labels.with("kind", kind));
        // Exported at zero from the workspace's first request, so that an
        // increase from zero is visible.
        self.resumes.add(0, &labels.0);
    }

    pub(crate) fn count_resume(&self, labels: &RequestLabels) {
        self.resumes.add(1, &labels.0);
    }

    pub(crate) fn count_uncopied(&self) {
        self.uncopied.add(1, &[]);
    }

    pub(crate) fn count_eviction(&self) {
        self.evictions.add(1, &[]);
    }

    pub(crate) fn record_first_token(&self, labels: &RequestLabels, took: Duration) {
        self.first_token.record(took.as_secs_f64(), &labels.0);
    }

    pub(crate) fn record_token_gap(&self, labels: &RequestLabels, gap: Duration) {
        self.token_gap.record(gap.as_secs_f64(), &labels.0);
    }
}
