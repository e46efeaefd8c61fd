//! `lagoonlift explain`: shows decisions, their evidence and the process that made
//! them.

use super::operator::OperatorArguments;
use super::print;
use eyre::{Result, WrapErr};
use lagoonlift::RequestHistory;
use lagoonlift::operators::ExplainQuery;
use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift explain --settings FILE SUBJECT
       lagoonlift explain --log FILE REQUEST

Asks every process that the settings name for its latest decisions about SUBJECT:
a request's identifier, an upstream's name or a workspace's name. With --log, tells
what a gateway's log says of the request with the identifier REQUEST.

Options:
    --settings FILE  the operator's settings
    --log FILE       a gateway's log, as it was written to standard output
    -h, --help       print this help";

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let arguments: Vec<OsString> = parser.raw_args()?.collect();
    if let Some((log, request)) = log_arguments(&arguments) {
        return explain_from_log(&log, &request);
    }
    match OperatorArguments::parse(lexopt::Parser::from_args(arguments))? {
        Some(arguments) => explain(&arguments),
        None => Ok(print(USAGE)),
    }
}

/// Returns the log file and the request's identifier if the arguments are
/// `--log FILE REQUEST`.
fn log_arguments(arguments: &[OsString]) -> Option<(PathBuf, String)> {
    match arguments {
        [option, log, request] if option == "--log" => {
            Some((PathBuf::from(log), request.to_str()?.to_owned()))
        }
        _ => None,
    }
}

fn explain_from_log(log: &Path, request: &str) -> Result<ExitCode> {
    let text = fs::read_to_string(log);
    let text = text.wrap_err_with(|| format!("failed to read the log {}", log.display()))?;
    let history = RequestHistory::from_log_lines(request, text.lines());
    print!("{history}");
    Ok(match history.is_found() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

#[tokio::main(flavor = "current_thread")]
async fn explain(arguments: &OperatorArguments) -> Result<ExitCode> {
    let Ok(query) = arguments.only_value("the subject")?.parse::<ExplainQuery>();
    let report = arguments.admin()?.explain(&query).await;
    print!("{report}");
    Ok(ExitCode::SUCCESS)
}
