//! `lagoonlift explain`: what was decided, on what evidence, by whom.

use super::operator::OperatorArguments;
use super::print;
use eyre::Result;
use lagoonlift::operators::ExplainQuery;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift explain --settings FILE SUBJECT

Asks every process that the settings name for its latest decisions about SUBJECT:
a request's identifier, an upstream's name or a workspace's name.

Options:
    --settings FILE  the operator's settings
    -h, --help       print this help";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => explain(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn explain(arguments: &OperatorArguments) -> Result<ExitCode> {
    let Ok(query) = arguments.only_value("the subject")?.parse::<ExplainQuery>();
    let report = arguments.admin()?.explain(&query).await;
    print!("{report}");
    Ok(ExitCode::SUCCESS)
}
