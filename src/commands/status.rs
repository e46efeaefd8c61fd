//! `lagoonlift status`: shows which revision is in force on each process.

use super::operator::OperatorArguments;
use super::print;
use eyre::Result;
use lagoonlift::operators::{AdminClient, StatusReport};
use lagoonlift::types::Revision;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::{self, Instant};

const USAGE: &str = "\
Usage: lagoonlift status --settings FILE [--wait]

Asks every process that the settings name which revision it goes by. Ends with
status 1 if one can't be reached, goes by an older revision than the one that is
accepted, or if the platform lists a host that the settings don't name.

Options:
    --settings FILE  the operator's settings
    --wait           ask again for up to a minute, until the accepted revision is
                     in force on every process that can be reached
    -h, --help       print this help";

/// Timeout of `--wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polling interval of `--wait`.
const POLLING_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => show_status(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn show_status(arguments: &OperatorArguments) -> Result<ExitCode> {
    let client = arguments.admin()?;
    let accepted = arguments.editor()?.revision().await;
    let report = match &accepted {
        Ok(revision) if arguments.wait => wait_until_in_force(&client, *revision).await,
        Ok(revision) => client.status(*revision).await,
        Err(error) => {
            println!("the accepted revision is unknown: {error}");
            expect_highest_revision(client.status(Revision::default()).await)
        }
    };
    print!("{report}");
    let missing_hosts = hosts_missing_from_settings(arguments, &client).await?;
    for host in &missing_hosts {
        println!("  {host}: not asked, the settings don't name it");
    }
    let has_all_hosts = report.unreachable.is_empty() && missing_hosts.is_empty();
    let is_complete = accepted.is_ok() && report.is_in_force() && has_all_hosts;
    match is_complete {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

/// Returns the names of hosts that are in the platform's fleet but not in the
/// operator's settings. Returns an empty list if the fleet cannot be read.
async fn hosts_missing_from_settings(
    arguments: &OperatorArguments,
    client: &AdminClient,
) -> Result<Vec<String>> {
    let fleet = arguments.client()?.fleet().await;
    let hosts = fleet.map(|fleet| fleet.hosts).unwrap_or_default();
    let names: Vec<String> = hosts.into_iter().map(|host| host.name).collect();
    Ok(client.hosts_without_address(&names))
}

async fn wait_until_in_force(client: &AdminClient, revision: Revision) -> StatusReport {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let report = client.status(revision).await;
        if report.is_in_force() || Instant::now() > deadline {
            return report;
        }
        time::sleep(POLLING_INTERVAL).await;
    }
}

/// Sets the expected revision to the highest one that any process reported.
///
/// This is the best available estimate while the platform, which knows the
/// accepted revision, is unreachable.
fn expect_highest_revision(mut report: StatusReport) -> StatusReport {
    let revisions = report.statuses.iter().map(|status| status.revision);
    report.expected = revisions.max().unwrap_or_default();
    report
}
