//! The entry daemon: accepts callers' requests and routes them to upstreams.

use eyre::Result;
use lagoonlift::daemon::{self, ReadyLine, RequiredSection, ShutdownSignal};
use lagoonlift::entry::Entry;
use lagoonlift::settings::Settings;
use lagoonlift::telemetry::Metrics;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift-entry --settings FILE [--check]

Options:
    --settings FILE  the host's settings, see docs/SETTINGS.md
    --check          check the settings and stop
    -h, --help       print this help
    -V, --version    print the version";

fn main() -> Result<ExitCode> {
    match daemon::load_settings(USAGE, RequiredSection::Entry) {
        Ok(settings) => run(settings),
        Err(status) => Ok(status),
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<ExitCode> {
    daemon::init_logs_from_settings(&settings)?;
    let mut shutdown_signal = ShutdownSignal::listen()?;
    let entry = Entry::start(&settings, Metrics::new()?).await?;
    let ready_line = ReadyLine {
        callers: Some(entry.caller_addr()),
        admin: entry.admin_addr(),
        peers: entry.peer_addr(),
    };
    ready_line.print()?;
    shutdown_signal.wait().await;
    entry.shutdown().await;
    Ok(ExitCode::SUCCESS)
}
