//! The gateway daemon: entry and steward in one process, for hosts on a platform
//! that provides a shared store.

use eyre::{Result, WrapErr};
use lagoonlift::adapter::SETTINGS_VARIABLE;
use lagoonlift::daemon::{self, GatewayAction, ShutdownSignal};
use lagoonlift::gateway::Gateway;
use lagoonlift::settings::GatewaySettings;
use lagoonlift::telemetry::{LogFlushGuard, Metrics, init_stdout_logs};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

const USAGE: &str = "\
Usage: lagoonlift-gateway [--settings FILE] [--check]

Options:
    --settings FILE  the host's settings, see docs/SETTINGS.md; without it, the
                     file that the environment variable LAGOONLIFT_SETTINGS names
    --check          check the settings and stop
    -h, --help       print this help
    -V, --version    print the version";

/// Log level that includes decisions and excludes events of single connections.
const LOG_FILTER: &str = "info";

fn main() -> Result<ExitCode> {
    let action = daemon::load_gateway_settings(USAGE, SETTINGS_VARIABLE);
    let (settings, settings_file) = match action {
        GatewayAction::Run(settings, settings_file) => (*settings, settings_file),
        GatewayAction::Exit(status) => return Ok(status),
    };
    let flush_guard: LogFlushGuard = init_stdout_logs(LOG_FILTER)?;
    let metrics = Metrics::new()?;
    flush_guard.export_dropped_lines(&metrics);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("failed to start the Tokio runtime")?;
    LocalSet::new().block_on(&runtime, run(settings, settings_file, metrics))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(settings: GatewaySettings, settings_file: PathBuf, metrics: Metrics) -> Result<()> {
    let mut shutdown_signal = ShutdownSignal::listen()?;
    let gateway = Gateway::start(settings, settings_file, metrics)?;
    gateway.stop(shutdown_signal.wait()).await;
    Ok(())
}
