//! The steward daemon.

use eyre::Result;
use lagoonlift::daemon::{self, DaemonSection, ReadyLine, StopSignal};
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
    match daemon::prepare(USAGE, DaemonSection::Steward) {
        Ok(settings) => run(settings),
        Err(status) => Ok(status),
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<ExitCode> {
    daemon::start_logs(&settings)?;
    let mut signal = StopSignal::listen()?;
    let steward = Steward::start(&settings, Metrics::new()?).await?;
    let line = ReadyLine {
        callers: None,
        admin: steward.admin_addr(),
        peers: steward.peer_addr(),
    };
    line.print()?;
    signal.wait().await;
    steward.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
