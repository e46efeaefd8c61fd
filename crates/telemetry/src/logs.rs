//! Set-up of the log lines of a process.

use crate::Metrics;
use eyre::{Result, WrapErr, eyre};
use std::io::{self, Write};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStyle {
    /// For people.
    Plain,
    /// One JSON object a line.
    Json,
}

/// Starts writing log lines to standard error.
///
/// `filter` has the form `info,lagoonlift_entry=debug`.
///
/// # Errors
///
/// Fails when `filter` can't be parsed or logs have been started before.
pub fn init_logs(style: LogStyle, filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err("the log filter can't be parsed")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let result = match style {
        LogStyle::Plain => builder.with_ansi(false).try_init(),
        LogStyle::Json => builder.json().try_init(),
    };
    result.map_err(|error| eyre!("logs can't be started: {error}"))
}

/// Lines that may wait for standard output; more are dropped, so that a reader
/// that stalls never stalls the process.
const MAX_WAITING_LINES: usize = 4_096;

/// Writes the lines that still wait when it is dropped.
#[derive(Debug)]
pub struct LogFlushGuard {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogFlushGuard {
    /// Counts the lines that are dropped as `lagoonlift_log_lines_dropped`.
    pub fn export_dropped_lines(&self, metrics: &Metrics) {
        let dropped = self.dropped.clone();
        metrics
            .meter()
            .u64_observable_counter("lagoonlift_log_lines_dropped")
            .with_description("Log lines that were dropped as standard output was too slow.")
            .with_callback(move |observer| observer.observe(dropped.dropped_lines() as u64, &[]))
            .build();
    }
}

/// Returns a writer that never waits for `sink`, and what flushes it.
pub fn lossy_writer(sink: impl Write + Send + 'static) -> (NonBlocking, LogFlushGuard) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(sink);
    let dropped = writer.error_counter();
    let flush = LogFlushGuard {
        _guard: guard,
        dropped,
    };
    (writer, flush)
}

/// Starts writing log lines as JSON to standard output, from a thread of its own.
///
/// # Errors
///
/// Fails when `filter` can't be parsed or logs have been started before.
pub fn init_stdout_logs(filter: &str) -> Result<LogFlushGuard> {
    let filter = EnvFilter::try_new(filter).wrap_err("the log filter can't be parsed")?;
    let (writer, flush) = lossy_writer(io::stdout());
    let result = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .try_init();
    result.map_err(|error| eyre!("logs can't be started: {error}"))?;
    Ok(flush)
}
