//! OpenTelemetry metrics of one process, exported in the Prometheus text format.

use eyre::{Result, WrapErr};
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of latency histograms, in seconds.
///
/// They range from 0.5 ms, the limit for the latency that the entry itself adds,
/// to the minutes that the generation of a long summary takes.
pub const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.82, 1.0, 2.0, 5.0, 10.0, 30.0,
    60.0, 120.0, 300.0,
];

/// The metrics of one process. Clones share the same instruments.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .wrap_err("failed to register the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter that creates this process's instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("lagoonlift")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .wrap_err("failed to encode the metrics")
    }
}

/// Creates a counter on `meter`.
pub fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

/// Creates a histogram of latencies, in seconds, on `meter`.
pub fn latency_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
        .build()
}
