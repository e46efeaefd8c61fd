//! `lagoonlift accept`: puts a stored proposal in force.

use super::operator::OperatorArguments;
use super::print;
use eyre::Result;
use lagoonlift::operators::{AcceptOutcome, ProposalId};
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift accept --settings FILE PROPOSAL

Puts a stored proposal in force. If someone else has changed the same part since
it was proposed, nothing is put in force and their change is shown.

Options:
    --settings FILE  the operator's settings
    -h, --help       print this help";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => accept(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn accept(arguments: &OperatorArguments) -> Result<ExitCode> {
    let id: ProposalId = arguments.only_value("the proposal")?.parse()?;
    match arguments.editor()?.accept(&id).await? {
        AcceptOutcome::InForce(revision) => {
            println!("proposal {id} is accepted as revision {revision}");
            Ok(ExitCode::SUCCESS)
        }
        AcceptOutcome::AlreadyInForce(revision) => {
            println!("proposal {id} was accepted before; revision {revision} holds it");
            Ok(ExitCode::SUCCESS)
        }
        AcceptOutcome::Conflict {
            revision,
            others,
            proposed,
        } => {
            println!("proposal {id} is not accepted: the same part was changed since.");
            println!("changed by others, in force at revision {revision}:");
            print!("{others}");
            println!("what proposal {id} would change now:");
            print!("{proposed}");
            println!("propose the questionnaire again to build on their change");
            Ok(ExitCode::FAILURE)
        }
    }
}
