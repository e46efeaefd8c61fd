//! `lagoonlift load send`: sends an open-loop load to an address.

use super::super::print;
use eyre::{Result, bail};
use lagoonlift_load::{LoadPlan, LoadTarget, run_load};
use lexopt::prelude::*;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
Usage: lagoonlift load send --target ADDRESS --model NAME [OPTIONS]

Options:
    --target ADDRESS    IP number and port; loopback only
    --model NAME        the model that is asked for
    --key KEY           the caller's key
    --rate N            requests a second [default: 10]
    --seconds N         time during which requests are sent [default: 10]
    --prompt-tokens N   words in each prompt [default: 64]
    --output-tokens N   tokens in each answer [default: 32]
    --seed N            seed of arrival times [default: 1]
    --json              print the result as JSON
    -h, --help          print this help";

/// Maximum of `--seconds`.
const MAX_DURATION_SECONDS: u64 = 600;

#[derive(Debug)]
struct SendArguments {
    target: Option<SocketAddr>,
    model: Option<String>,
    key: Option<String>,
    plan: LoadPlan,
    json: bool,
}

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match parse(parser)? {
        Some(arguments) => send_load(arguments),
        None => Ok(print(USAGE)),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<SendArguments>, lexopt::Error> {
    let mut arguments = SendArguments {
        target: None,
        model: None,
        key: None,
        plan: LoadPlan::new(1, 10.0, Duration::from_secs(10)),
        json: false,
    };
    let plan = &mut arguments.plan;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("target") => arguments.target = Some(parser.value()?.parse()?),
            Long("model") => arguments.model = Some(parser.value()?.string()?),
            Long("key") => arguments.key = Some(parser.value()?.string()?),
            Long("rate") => plan.requests_per_second = parser.value()?.parse()?,
            Long("seconds") => {
                let seconds = parser.value()?.parse::<u64>()?.min(MAX_DURATION_SECONDS);
                plan.duration = Duration::from_secs(seconds);
            }
            Long("prompt-tokens") => plan.prompt_tokens = parser.value()?.parse()?,
            Long("output-tokens") => plan.output_tokens = parser.value()?.parse()?,
            Long("seed") => plan.seed = parser.value()?.parse()?,
            Long("json") => arguments.json = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

#[tokio::main]
async fn send_load(arguments: SendArguments) -> Result<ExitCode> {
    let (Some(address), Some(model)) = (arguments.target, arguments.model) else {
        return Err(lexopt::Error::from("--target and --model are required; see --help").into());
    };
    if !address.ip().is_loopback() {
        bail!("--target: {address} is not a loopback address");
    }
    let target = LoadTarget {
        address,
        key: arguments.key,
        model,
    };
    let result = run_load(&arguments.plan, &target).await;
    match arguments.json {
        true => println!("{}", result.to_json()?),
        false => println!("{result}"),
    }
    Ok(ExitCode::SUCCESS)
}
