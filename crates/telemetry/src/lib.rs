//! Logs, metrics and readiness of a process.
//!
//! Hosts may have no disk, so the behaviour of a process must be observable while
//! it runs. Counters and histograms are the primary source; a log line is written
//! only when a state changes. Each daemon serves two endpoints on its admin
//! address: `/metrics` for the Prometheus scraper and `/ready` for the load
//! balancer.

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
