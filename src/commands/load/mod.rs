//! `lagoonlift load`: load generation over HTTP, overhead measurement and policy
//! experiments.

mod experiment;
mod overhead;
mod send;

use super::print;
use eyre::Result;
use lexopt::prelude::*;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift load KIND [OPTIONS]

    send        send an open-loop load to an address
    overhead    measure what an entry adds to an engine, in one run on stand-ins
    experiment  run the policy against its baselines on virtual time
    report      draw and compare results of experiments

Options:
    -h, --help  print this help";

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    match parser.next()? {
        None => Err(lexopt::Error::from("the kind of load is missing; see --help").into()),
        Some(Short('h') | Long("help")) => Ok(print(USAGE)),
        Some(Value(kind)) => match kind.string()?.as_str() {
            "send" => send::run(parser),
            "experiment" => experiment::run(parser),
            "report" => experiment::run_report(parser),
            "overhead" => overhead::run(parser),
            other => {
                let message = format!("`{other}` is not a kind of load; see --help");
                Err(lexopt::Error::from(message).into())
            }
        },
        Some(other) => Err(other.unexpected().into()),
    }
}
