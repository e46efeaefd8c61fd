//! One module for each command: read its arguments, call the library, print.

mod standin;

use eyre::Result;
use lexopt::prelude::*;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift COMMAND [OPTIONS]

For trials:
    standin       run a stand-in for the platform, an engine or a plain service

`lagoonlift COMMAND --help` explains a command.

Options:
    -h, --help     print this help
    -V, --version  print the version";

/// Runs the command that the arguments name.
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
        "standin" => standin::run(parser),
        other => {
            let message = format!("`{other}` is not a command; see --help");
            Err(lexopt::Error::from(message).into())
        }
    }
}

/// Prints `text` and returns success.
pub(crate) fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}
