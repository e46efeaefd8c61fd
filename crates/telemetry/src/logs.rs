//! Initialization of a process's logging.

use crate::Metrics;
use eyre::{Result, WrapErr, eyre};
use std::io::{self, Write};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStyle {
    /// Human-readable text without colours.
    Plain,
    /// One JSON object per line.
    Json,
}

/// Initializes logging to standard error.
///
/// `filter` holds `tracing` directives, for example `info,lagoonlift_entry=debug`.
///
/// # Errors
///
/// Returns an error if `filter` is invalid or logging has already been initialized.
pub fn init_logs(style: LogStyle, filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err("failed to parse the log filter")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let result = match style {
        LogStyle::Plain => builder.with_ansi(false).try_init(),
        LogStyle::Json => builder.json().try_init(),
    };
    result.map_err(|error| eyre!("failed to initialize logging: {error}"))
}

/// Number of log lines buffered for the writer thread. Further lines are dropped,
/// so that a stalled reader of the output never blocks the process.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Guard that writes the buffered log lines when it is dropped.
#[derive(Debug)]
pub struct LogFlushGuard {
    _guard: WorkerGuard,
    dropped_lines: ErrorCounter,
}

impl LogFlushGuard {
    /// Exports the number of dropped lines as the counter
    /// `lagoonlift_log_lines_dropped`.
    pub fn export_dropped_lines(&self, metrics: &Metrics) {
        let dropped = self.dropped_lines.clone();
        metrics
            .meter()
            .u64_observable_counter("lagoonlift_log_lines_dropped")
            .with_description("Log lines that were dropped as standard output was too slow.")
            .with_callback(move |observer| observer.observe(dropped.dropped_lines() as u64, &[]))
            .build();
    }
}

/// Returns a writer that never blocks on `sink`, and the guard that flushes it.
///
/// A separate thread writes to `sink`. Lines are dropped while the buffer is full.
pub fn lossy_writer(sink: impl Write + Send + 'static) -> (NonBlocking, LogFlushGuard) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(sink);
    let dropped_lines = writer.error_counter();
    let flush_guard = LogFlushGuard {
        _guard: guard,
        dropped_lines,
    };
    (writer, flush_guard)
}

/// Initializes logging as JSON to standard output.
///
/// A separate thread writes the lines, so logging never blocks the caller. Lines
/// are dropped while the buffer is full.
///
/// # Errors
///
/// Returns an error if `filter` is invalid or logging has already been initialized.
pub fn init_stdout_logs(filter: &str) -> Result<LogFlushGuard> {
    let filter = EnvFilter::try_new(filter).wrap_err("failed to parse the log filter")?;
    let (writer, flush_guard) = lossy_writer(io::stdout());
    let result = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .try_init();
    result.map_err(|error| eyre!("failed to initialize logging: {error}"))?;
    Ok(flush_guard)
}
