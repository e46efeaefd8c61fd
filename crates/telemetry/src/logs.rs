//! Set-up of the log lines of a process.

use eyre::{Result, WrapErr, eyre};
use std::io;
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
