//! `lagoonlift propose`: stores the changes in a filled-in questionnaire as a
//! proposal.

use super::operator::OperatorArguments;
use super::print;
use eyre::{Result, WrapErr};
use lagoonlift::operators::{QuestionnaireError, StoredProposal, read_questionnaire};
use std::fs;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift propose --settings FILE QUESTIONNAIRE

Reads a filled-in questionnaire, stores what it asks for as a proposal and shows
what would change, each value with its reason. Nothing is put in force.

Options:
    --settings FILE  the operator's settings
    -h, --help       print this help";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => propose(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn propose(arguments: &OperatorArguments) -> Result<ExitCode> {
    let file = arguments.only_value("the questionnaire")?;
    let text = fs::read_to_string(file).wrap_err_with(|| format!("failed to read {file}"))?;
    let editor = arguments.editor()?;
    let known_upstreams = editor.known_upstreams().await?;
    let draft = match read_questionnaire(&text, &known_upstreams) {
        Ok(draft) => draft,
        Err(error) => return Ok(print_questionnaire_errors(file, &error)),
    };
    print_proposal(&editor.propose(draft).await?);
    Ok(ExitCode::SUCCESS)
}

fn print_questionnaire_errors(file: &str, error: &QuestionnaireError) -> ExitCode {
    for line in error.to_string().lines() {
        eprintln!("{file}: {line}");
    }
    ExitCode::FAILURE
}

fn print_proposal(proposal: &StoredProposal) {
    let StoredProposal {
        id,
        name,
        difference,
        revision,
    } = proposal;
    if difference.is_empty() {
        println!("{name}: all of it is in force at revision {revision}");
        return;
    }
    println!("proposal {id} for {name}, compared with revision {revision}:");
    print!("{difference}");
    println!("put it in force with: lagoonlift accept --settings FILE {id}");
}
