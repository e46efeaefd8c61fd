//! `lagoonlift demo`: serves a mixed load on embedded stand-ins.

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

/// Interval between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for the billing of all served requests.
const BILLING_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of the received usage reports.
const POLLING_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    match parser.next()? {
        None => run_demo(),
        Some(Short('h') | Long("help")) => Ok(print(USAGE)),
        Some(other) => Err(other.unexpected().into()),
    }
}

#[tokio::main]
async fn run_demo() -> Result<ExitCode> {
    println!("starting platform, 2 engines, 1 service, 2 stewards, 3 entries");
    let mut engine = engine_config()?;
    engine.token_interval = TOKEN_INTERVAL;
    let mut deployment =
        LocalDeployment::start(vec![engine.clone(), engine], configuration).await?;
    let mut ledger = DemoLedger::new();
    traffic::send_all(&deployment.caller_addrs(), &mut ledger).await?;
    let is_fully_billed = wait_for_billing(&deployment, &ledger).await;
    deployment.stop_daemons().await;
    ledger.add_billed(&deployment.platform.usage_reports());
    println!("\n{ledger}");
    match is_fully_billed {
        true => Ok(ExitCode::SUCCESS),
        false => {
            eprintln!("error: not all served requests were billed within {BILLING_TIMEOUT:?}");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn configuration(upstreams: &LocalUpstreams) -> SampleConfiguration {
    let flooder_limits = Limits {
        requests_per_second: 5.0,
        tokens_per_second: 1_000.0,
        burst_seconds: 1.0,
    };
    SampleConfiguration::new()
        .with_workspace("plumbers", traffic::PLUMBERS_KEY, MODEL)
        .with_workspace("property", traffic::PROPERTY_KEY, MODEL)
        .with_workspace("flooder", traffic::FLOODER_KEY, MODEL)
        .with_limits("flooder", flooder_limits)
        .with_engine("dc1", "engine-1", upstreams.engines[0], MODEL)
        .with_engine("dc2", "engine-2", upstreams.engines[1], MODEL)
        .with_service("dc1", "desk", upstreams.service)
        .with_route("plumbers", "bookings", "desk", RouteAccess::Keyed)
        .with_route("plumbers", "status", "desk", RouteAccess::Open)
}

/// Waits until all served requests are billed. Returns `false` on a timeout.
async fn wait_for_billing(deployment: &LocalDeployment, ledger: &DemoLedger) -> bool {
    let deadline = Instant::now() + BILLING_TIMEOUT;
    while Instant::now() < deadline {
        if ledger::billed_requests(&deployment.platform.usage_reports()) >= ledger.served() {
            return true;
        }
        sleep(POLLING_INTERVAL).await;
    }
    false
}
