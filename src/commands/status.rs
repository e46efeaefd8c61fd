//! `lagoonlift status`: which revision is in force where.

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

/// Longest time that `--wait` waits.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Time between two rounds of questions.
const WAIT_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => show(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn show(arguments: &OperatorArguments) -> Result<ExitCode> {
    let client = arguments.admin()?;
    let accepted = arguments.editor()?.revision().await;
    let report = match &accepted {
        Ok(revision) if arguments.wait => wait(&client, *revision).await,
        Ok(revision) => client.status(*revision).await,
        Err(error) => {
            println!("the accepted revision is unknown: {error}");
            highest_as_expected(client.status(Revision::default()).await)
        }
    };
    print!("{report}");
    let unasked = unasked_hosts(arguments, &client).await?;
    for host in &unasked {
        println!("  {host}: not asked, the settings don't name it");
    }
    let all_asked = report.unreachable.is_empty() && unasked.is_empty();
    let complete = accepted.is_ok() && report.is_in_force() && all_asked;
    match complete {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

/// Returns the hosts on the platform's list that the settings don't name; none
/// when the list can't be read.
async fn unasked_hosts(arguments: &OperatorArguments, client: &AdminClient) -> Result<Vec<String>> {
    let fleet = arguments.client()?.fleet().await;
    let hosts = fleet.map(|fleet| fleet.hosts).unwrap_or_default();
    let names: Vec<String> = hosts.into_iter().map(|host| host.name).collect();
    Ok(client.hosts_without_address(&names))
}

async fn wait(client: &AdminClient, revision: Revision) -> StatusReport {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        let report = client.status(revision).await;
        if report.is_in_force() || Instant::now() > deadline {
            return report;
        }
        time::sleep(WAIT_INTERVAL).await;
    }
}

/// Without the platform, the hosts' own highest revision is the best that is
/// known.
fn highest_as_expected(mut report: StatusReport) -> StatusReport {
    let revisions = report.statuses.iter().map(|status| status.revision);
    report.expected = revisions.max().unwrap_or_default();
    report
}
