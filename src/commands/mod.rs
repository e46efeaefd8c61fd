//! One module for each command. A command parses its arguments, calls the library
//! and prints the result.

mod accept;
mod demo;
mod engine;
mod explain;
mod key;
mod load;
mod local;
mod operator;
mod propose;
mod questionnaire;
mod standin;
mod status;

use eyre::Result;
use lexopt::prelude::*;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift COMMAND [OPTIONS]

For operators:
    questionnaire  print a questionnaire to be filled in
    propose        store what a questionnaire asks for, and show the change
    accept         put a proposal in force
    key            give, withdraw and list callers' keys
    engine         ask for a change of an engine
    status         show which revision is in force where
    explain        show what was decided about a request, upstream or workspace

For trials:
    demo           serve a mixed load on embedded stand-ins and show the outcome
    load           send load, and measure what the system costs
    standin        run a stand-in for the platform, an engine or a plain service

`lagoonlift COMMAND --help` explains a command.

Options:
    -h, --help     print this help
    -V, --version  print the version";

/// Parses the command name and runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    match parser.next()? {
        None => Err(lexopt::Error::from("a command is missing; see --help").into()),
        Some(Short('h') | Long("help")) => Ok(print(USAGE)),
        Some(Short('V') | Long("version")) => Ok(print(env!("CARGO_PKG_VERSION"))),
        Some(Value(command)) => dispatch(&command.string()?, parser),
        Some(other) => Err(other.unexpected().into()),
    }
}

fn dispatch(command: &str, parser: lexopt::Parser) -> Result<ExitCode> {
    match command {
        "questionnaire" => questionnaire::run(parser),
        "propose" => propose::run(parser),
        "accept" => accept::run(parser),
        "key" => key::run(parser),
        "engine" => engine::run(parser),
        "status" => status::run(parser),
        "explain" => explain::run(parser),
        "demo" => demo::run(parser),
        "load" => load::run(parser),
        "standin" => standin::run(parser),
        other => {
            let message = format!("`{other}` is not a command; see --help");
            Err(lexopt::Error::from(message).into())
        }
    }
}

/// Prints `text` to standard output and returns the exit code for success.
pub(crate) fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}
