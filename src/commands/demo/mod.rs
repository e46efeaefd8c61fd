//! `lagoonlift demo`: the main job, on embedded stand-ins.

mod ledger;
mod traffic;

use super::local::{LocalDeployment, LocalUpstreams, MODEL, engine_config};
use super::print;
use eyre::Result;
use lagoonlift::types::{Limits, RouteAccess};
use lagoonlift_standins::sample::SampleConfiguration;
use ledger::DemoLedger;
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const USAGE: &str = "\
Usage: lagoonlift demo

Starts a platform, two engines and a plain service as stand-ins, two data
centres with three entries and two stewards, all on loopback in this process;
sends a mixed load, shows some answers and a table of what was served, refused
and billed.

Options:
    -h, --help  print this help";

/// Time between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which all usage has to be billed.
const BILLING_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at the bill.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    match parser.next()? {
        None => demonstrate(),
        Some(Short('h') | Long("help")) => Ok(print(USAGE)),
        Some(other) => Err(other.unexpected().into()),
    }
}

#[tokio::main]
async fn demonstrate() -> Result<ExitCode> {
    println!("starting platform, 2 engines, 1 service, 2 stewards, 3 entries");
    let mut engine = engine_config()?;
    engine.token_interval = TOKEN_INTERVAL;
    let mut deployment =
        LocalDeployment::start(vec![engine.clone(), engine], configuration).await?;
    let mut ledger = DemoLedger::new();
    traffic::send_all(&deployment.callers(), &mut ledger).await?;
    let complete = wait_for_bill(&deployment, &ledger).await;
    deployment.stop_daemons().await;
    ledger.set_billed(&deployment.platform.usage_reports());
    println!("\n{ledger}");
    match complete {
        true => Ok(ExitCode::SUCCESS),
        false => {
            eprintln!("error: the bill was not complete within {BILLING_TIMEOUT:?}");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn configuration(upstreams: &LocalUpstreams) -> SampleConfiguration {
    let narrow = Limits {
        requests_per_second: 5.0,
        tokens_per_second: 1_000.0,
        burst_seconds: 1.0,
    };
    SampleConfiguration::new()
        .with_workspace("plumbers", traffic::PLUMBERS_KEY, MODEL)
        .with_workspace("property", traffic::PROPERTY_KEY, MODEL)
        .with_workspace("flooder", traffic::FLOODER_KEY, MODEL)
        .with_limits("flooder", narrow)
        .with_engine("dc1", "engine-1", upstreams.engines[0], MODEL)
        .with_engine("dc2", "engine-2", upstreams.engines[1], MODEL)
        .with_service("dc1", "desk", upstreams.service)
        .with_route("plumbers", "bookings", "desk", RouteAccess::Keyed)
        .with_route("plumbers", "status", "desk", RouteAccess::Open)
}

/// Waits until as many requests are billed as were served.
async fn wait_for_bill(deployment: &LocalDeployment, ledger: &DemoLedger) -> bool {
    let deadline = Instant::now() + BILLING_TIMEOUT;
    while Instant::now() < deadline {
        if ledger::billed_requests(&deployment.platform.usage_reports()) >= ledger.served() {
            return true;
        }
        sleep(LOOK_INTERVAL).await;
    }
    false
}
