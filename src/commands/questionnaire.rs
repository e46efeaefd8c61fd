//! `lagoonlift questionnaire`: prints an empty questionnaire.

use super::print;
use eyre::Result;
use lagoonlift::operators::QuestionnaireKind;
use lexopt::prelude::*;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift questionnaire new KIND

Prints a questionnaire to be filled in and passed to `lagoonlift propose`. KIND
is `workspace` or `data-centre`.

Options:
    -h, --help  print this help";

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let mut values = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(print(USAGE)),
            Value(value) => values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let values: Vec<&str> = values.iter().map(String::as_str).collect();
    let kind = match values.as_slice() {
        ["new", "workspace"] => QuestionnaireKind::Workspace,
        ["new", "data-centre"] => QuestionnaireKind::DataCentre,
        _ => {
            let message = "expected `new workspace` or `new data-centre`; see --help";
            return Err(lexopt::Error::from(message).into());
        }
    };
    Ok(print(kind.template().trim_end()))
}
