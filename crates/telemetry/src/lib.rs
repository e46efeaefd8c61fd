//! Logs, metrics and histograms.
//!
//! What a process did has to be visible while it runs on a host without a disk.
//! Counters and histograms come first; a log line is written only when a state
//! changes. Both daemons serve the same two pages on their admin address:
//! `/metrics` for the scraper and `/ready` for the balancer.

mod admin;
mod logs;
mod metrics;
mod readiness;
mod sampler;

pub use admin::admin_routes;
pub use logs::{LogFlushGuard, LogStyle, init_logs, init_stdout_logs, lossy_writer};
pub use metrics::{LATENCY_BUCKETS_SECONDS, Metrics, counter, latency_histogram};
pub use readiness::Readiness;
pub use sampler::LogSampler;
