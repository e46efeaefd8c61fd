//! Metrics of a gateway.

use lagoonlift_policy::dispatch::{QuarantinedSuspect, SuspectKind};
use lagoonlift_telemetry::{Metrics, counter, latency_histogram};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::time::Duration;

/// Instruments that the gateway records to.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    sends: Counter<u64>,
    hops: Counter<u64>,
    duration: Histogram<f64>,
    first_byte: Histogram<f64>,
    decode_wait: Histogram<f64>,
    decode_refusals: Counter<u64>,
    store_failures: Counter<u64>,
    retry_budget: Gauge<f64>,
    confirmation_age: Gauge<f64>,
    lease_held: Gauge<u64>,
    connections_opened: Gauge<u64>,
    store_restores: Gauge<u64>,
    quarantined_blocks: Gauge<u64>,
    quarantined_requests: Gauge<u64>,
    limited_upstreams: Gauge<u64>,
    fleet_plan: Gauge<u64>,
    held_bytes: Gauge<u64>,
    cuts: Counter<u64>,
    quota_charges: Counter<u64>,
    quota_refusals: Counter<u64>,
    quotas_owned: Gauge<u64>,
    unknown_streams: Counter<u64>,
}

impl GatewayMetrics {
    pub(crate) fn new(metrics: Metrics) -> Self {
        let meter = metrics.meter();
        let gauge = |name: &'static str, description: &'static str| {
            meter.f64_gauge(name).with_description(description).build()
        };
        Self {
            requests: counter(
                &meter,
                "lagoonlift_gateway_requests",
                "Requests by route and outcome.",
            ),
            hops: counter(
                &meter,
                "lagoonlift_gateway_hops",
                "Sends by way of another host by result.",
            ),
            sends: counter(
                &meter,
                "lagoonlift_gateway_sends",
                "Sends to upstreams by result.",
            ),
            duration: latency_histogram(
                &meter,
                "lagoonlift_gateway_duration",
                "Time to the end of an answer.",
            ),
            first_byte: latency_histogram(
                &meter,
                "lagoonlift_gateway_first_byte",
                "Time to the first byte of an answer.",
            ),
            unknown_streams: counter(
                &meter,
                "lagoonlift_gateway_unknown_streams",
                "Resumptions whose version no host knows, by service and result.",
            ),
            decode_wait: latency_histogram(
                &meter,
                "lagoonlift_gateway_decode_wait",
                "Time from the end of a prefill to the send to a decode engine.",
            ),
            decode_refusals: counter(
                &meter,
                "lagoonlift_gateway_decode_refusals",
                "Prefilled requests for which no decode engine had room in time.",
            ),
            store_failures: counter(
                &meter,
                "lagoonlift_gateway_store_failures",
                "Calls to the store that failed.",
            ),
            retry_budget: gauge(
                "lagoonlift_gateway_repeats_left",
                "Repeats that may be sent.",
            ),
            confirmation_age: meter
                .f64_gauge("lagoonlift_gateway_proof_age")
                .with_description("Age of the proof that the configuration is the newest.")
                .with_unit("s")
                .build(),
            lease_held: meter
                .u64_gauge("lagoonlift_gateway_lease_held")
                .with_description("Whether this host has the duties.")
                .build(),
            connections_opened: meter
                .u64_gauge("lagoonlift_gateway_connections_opened")
                .with_description("Connections opened to others since the start.")
                .build(),
            quarantined_blocks: meter
                .u64_gauge("lagoonlift_gateway_quarantined_blocks")
                .with_description(
                    "Prefix blocks in quarantine because their prompts crash engines.",
                )
                .build(),
            limited_upstreams: meter
                .u64_gauge("lagoonlift_gateway_limited_upstreams")
                .with_description("Upstreams that state a rate for all hosts together.")
                .build(),
            fleet_plan: meter
                .u64_gauge("lagoonlift_gateway_fleet_plan")
                .with_description("Numbers of upstreams that the lease holder plans with.")
                .build(),
            quarantined_requests: meter
                .u64_gauge("lagoonlift_gateway_quarantined_requests")
                .with_description("Requests in quarantine because they crash upstreams.")
                .build(),
            quota_charges: counter(
                &meter,
                "lagoonlift_gateway_quota_charges",
                "Tokens or requests charged to quotas, by workspace.",
            ),
            quota_refusals: counter(
                &meter,
                "lagoonlift_gateway_quota_refusals",
                "Requests refused by quotas, by workspace and reason.",
            ),
            quotas_owned: meter
                .u64_gauge("lagoonlift_gateway_quotas_owned")
                .with_description("Workspaces whose quotas this host grants.")
                .build(),
            store_restores: meter
                .u64_gauge("lagoonlift_gateway_store_restores")
                .with_description("Restores of the store from a copy since the start.")
                .build(),
            held_bytes: meter
                .u64_gauge("lagoonlift_gateway_held_bytes")
                .with_description("Bytes that this host holds for callers.")
                .build(),
            cuts: counter(
                &meter,
                "lagoonlift_gateway_cuts",
                "Responses that were cut because the host held too much, by rule.",
            ),
            metrics,
        }
    }

    pub(crate) fn set_held_bytes(&self, bytes: u64) {
        self.held_bytes.record(bytes, &[]);
    }

    pub(crate) fn count_cut(&self, rule: &'static str) {
        self.cuts.add(1, &[KeyValue::new("rule", rule)]);
    }

    /// Records how long a prefilled request waited until it was sent to a decode engine.
    pub(crate) fn record_decode_wait(&self, waited: Duration) {
        self.decode_wait.record(waited.as_secs_f64(), &[]);
    }

    /// Counts a prefilled request for which no decode engine had room in time.
    pub(crate) fn count_decode_refusal(&self) {
        self.decode_refusals.add(1, &[]);
    }

    /// Records the number of upstreams that state a rate for all hosts together.
    pub(crate) fn set_limited_upstreams(&self, count: usize) {
        self.limited_upstreams.record(count as u64, &[]);
    }

    /// Records a number of upstreams of `service` that the lease holder plans with.
    pub(crate) fn set_fleet_plan(&self, service: &str, quantity: &'static str, count: u32) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("quantity", quantity),
        ];
        self.fleet_plan.record(u64::from(count), &labels);
    }

    /// Counts a resumption whose version no host knows.
    pub(crate) fn count_unknown_stream(&self, service: &str, is_proven: bool) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("proven", is_proven),
        ];
        self.unknown_streams.add(1, &labels);
    }

    /// Records the prefix blocks and requests in quarantine.
    pub(crate) fn set_quarantined(&self, active: impl Iterator<Item = QuarantinedSuspect>) {
        let (blocks, requests): (Vec<_>, Vec<_>) =
            active.partition(|suspect| suspect.key.kind == SuspectKind::Block);
        self.quarantined_blocks.record(blocks.len() as u64, &[]);
        self.quarantined_requests.record(requests.len() as u64, &[]);
    }

    pub(crate) fn set_store_restores(&self, restores: u64) {
        self.store_restores.record(restores, &[]);
    }

    pub(crate) fn count_request(&self, route: &str, outcome: &'static str, duration: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        let labels = [route.clone(), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &[route]);
    }

    pub(crate) fn count_first_byte(&self, route: &str, latency: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.first_byte.record(latency.as_secs_f64(), &labels);
    }

    pub(crate) fn count_send(&self, service: &str, result: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("result", result),
        ];
        self.sends.add(1, &labels);
    }

    /// Counts a send by way of another host.
    pub(crate) fn count_hop(&self, result: &'static str) {
        self.hops.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts what a request was charged. `workspace` is one of a bounded number of labels.
    pub(crate) fn count_quota_charge(&self, workspace: &str, charge: u64) {
        let labels = [KeyValue::new("workspace", workspace.to_owned())];
        self.quota_charges.add(charge, &labels);
    }

    /// Counts a request that was refused. `workspace` is one of a bounded number of labels.
    pub(crate) fn count_quota_refusal(&self, workspace: &str, reason: &'static str) {
        let labels = [
            KeyValue::new("workspace", workspace.to_owned()),
            KeyValue::new("reason", reason),
        ];
        self.quota_refusals.add(1, &labels);
    }

    pub(crate) fn set_quotas_owned(&self, count: usize) {
        self.quotas_owned.record(count as u64, &[]);
    }

    pub(crate) fn count_store_failure(&self) {
        self.store_failures.add(1, &[]);
    }

    pub(crate) fn set_retry_budget(&self, service: &str, left: f64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.retry_budget.record(left, &labels);
    }

    pub(crate) fn set_confirmation_age(&self, age: Duration) {
        self.confirmation_age.record(age.as_secs_f64(), &[]);
    }

    pub(crate) fn set_lease_held(&self, is_held: bool) {
        self.lease_held.record(u64::from(is_held), &[]);
    }

    pub(crate) fn set_connections_opened(&self, connections: u64) {
        self.connections_opened.record(connections, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> eyre::Result<String> {
        self.metrics.render()
    }
}
