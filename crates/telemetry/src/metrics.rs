//! The metrics of one process, kept by opentelemetry and read by a scraper.

use eyre::{Result, WrapErr};
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Histogram bounds for latencies, in seconds: from half a millisecond, which
/// the entry itself must stay under, to a long summary's whole minutes.
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
    /// Fails when the exporter can't be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .wrap_err("the metrics exporter can't be registered")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter that instruments are made with.
    pub fn meter(&self) -> Meter {
        self.provider.meter("lagoonlift")
    }

    /// Returns all metrics in the scraper's text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be encoded.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .wrap_err("the metrics can't be encoded")
    }
}

/// Returns a counter of the meter.
pub fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

/// Returns a histogram of latencies, in seconds.
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
