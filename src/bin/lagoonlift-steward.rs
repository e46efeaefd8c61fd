//! The steward daemon: manages one data centre while it holds the lease.

use eyre::Result;
use lagoonlift::daemon::{self, ReadyLine, RequiredSection, ShutdownSignal};
use lagoonlift::settings::Settings;
use lagoonlift::steward::Steward;
use lagoonlift::telemetry::Metrics;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift-steward --settings FILE [--check]

Options:
    --settings FILE  the host's settings, see docs/SETTINGS.md
    --check          check the settings and stop
    -h, --help       print this help
    -V, --version    print the version";

fn main() -> Result<ExitCode> {
    match daemon::load_settings(USAGE, RequiredSection::Steward) {
        Ok(settings) => run(settings),
        Err(status) => Ok(status),
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<ExitCode> {
    daemon::init_logs_from_settings(&settings)?;
    let mut shutdown_signal = ShutdownSignal::listen()?;
    let steward = Steward::start(&settings, Metrics::new()?).await?;
    let ready_line = ReadyLine {
        callers: None,
        admin: steward.admin_addr(),
        peers: steward.peer_addr(),
    };
    ready_line.print()?;
    shutdown_signal.wait().await;
    steward.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
