//! `lagoonlift standin`: runs a stand-in for an external system as a separate
//! process, for trials.

use super::print;
use eyre::Result;
use lagoonlift::daemon::ShutdownSignal;
use lagoonlift::types::{FencingSupport, ModelName};
use lagoonlift_standins::engine::{EngineConfig, EngineStandin};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_standins::service::ServiceStandin;
use lexopt::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
Usage: lagoonlift standin KIND [OPTIONS]

KIND is `platform`, `engine` or `service`. The address is printed as a JSON line when the
stand-in is ready; it runs until SIGTERM.

Options:
    --listen ADDRESS         IP number and port [default: 127.0.0.1:0]
    --model NAME             a model of the engine; may be repeated
    --token-interval TIME    milliseconds between two tokens [default: 0]
    --fencing checked|ignored
                             whether old fencing numbers are refused
    -h, --help               print this help";

/// External system that the stand-in replaces.
#[derive(Clone, Copy, Debug)]
enum StandinKind {
    Platform,
    Engine,
    Service,
}

#[derive(Debug)]
struct StandinArguments {
    kind: StandinKind,
    listen: SocketAddr,
    models: BTreeSet<ModelName>,
    token_interval: Duration,
    fencing: FencingSupport,
}

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match parse(parser)? {
        Some(arguments) => run_standin(arguments),
        None => Ok(print(USAGE)),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<StandinArguments>, lexopt::Error> {
    let mut kind = None;
    let mut arguments = StandinArguments {
        kind: StandinKind::Service,
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        models: BTreeSet::new(),
        token_interval: Duration::ZERO,
        fencing: FencingSupport::Checked,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Value(value) if kind.is_none() => kind = Some(value.parse_with(parse_kind)?),
            Long("listen") => arguments.listen = parser.value()?.parse()?,
            Long("model") => {
                arguments.models.insert(parser.value()?.parse()?);
            }
            Long("token-interval") => {
                arguments.token_interval = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("fencing") => arguments.fencing = parser.value()?.parse_with(parse_fencing)?,
            other => return Err(other.unexpected()),
        }
    }
    arguments.kind = kind.ok_or("the kind of stand-in is missing; see --help")?;
    Ok(Some(arguments))
}

fn parse_kind(text: &str) -> Result<StandinKind, &'static str> {
    match text {
        "platform" => Ok(StandinKind::Platform),
        "engine" => Ok(StandinKind::Engine),
        "service" => Ok(StandinKind::Service),
        _ => Err("expected `platform`, `engine` or `service`"),
    }
}

fn parse_fencing(text: &str) -> Result<FencingSupport, &'static str> {
    match text {
        "checked" => Ok(FencingSupport::Checked),
        "ignored" => Ok(FencingSupport::Ignored),
        _ => Err("expected `checked` or `ignored`"),
    }
}

#[tokio::main]
async fn run_standin(arguments: StandinArguments) -> Result<ExitCode> {
    let mut shutdown_signal = ShutdownSignal::listen()?;
    match arguments.kind {
        StandinKind::Platform => {
            let platform = PlatformStandin::start(arguments.listen).await?;
            print_listen_address(platform.addr());
            shutdown_signal.wait().await;
        }
        StandinKind::Engine => {
            let mut config = EngineConfig::new(arguments.models);
            config.token_interval = arguments.token_interval;
            config.fencing = arguments.fencing;
            let engine = EngineStandin::start(arguments.listen, config)?;
            print_listen_address(engine.addr());
            shutdown_signal.wait().await;
        }
        StandinKind::Service => {
            let service = ServiceStandin::start(arguments.listen)?;
            print_listen_address(service.addr());
            shutdown_signal.wait().await;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_listen_address(addr: SocketAddr) {
    println!("{{\"listen\":\"{addr}\"}}");
}
