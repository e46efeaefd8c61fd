//! `lagoonlift load overhead`: what an entry adds to an engine.
//!
//! The same load is sent twice in one run: to an engine directly, and through an
//! entry to the same engines. The entry runs on threads of its own, so that its
//! processor time can be told from that of the engine and the load.

use super::super::local::{LocalDeployment, LocalUpstreams, MODEL, engine_config};
use super::super::print;
use eyre::Result;
use lagoonlift_load::{LoadPlan, LoadResult, LoadTarget, ThreadGroup, run_load};
use lagoonlift_standins::sample::SampleConfiguration;
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

const USAGE: &str = "\
Usage: lagoonlift load overhead [OPTIONS]

Sends the same load to an engine stand-in directly and through an entry, in one
run, and prints first token, token gap, and the entry's processor time.

Options:
    --rate N            requests a second [default: 37]
    --output-tokens N   tokens in each answer [default: 432]
    --token-interval N  milliseconds between two tokens [default: 51]
    --seconds N         time during which requests are sent [default: 20]
    --engines N         engines behind the entry [default: 16]
    --seed N            seed of arrival times [default: 1]
    -h, --help          print this help";

const KEY: &str = "key-of-the-measured-workspace";
/// Name and number of the threads that the entries run on.
const ENTRY_THREADS: &str = "entry";
const ENTRY_THREAD_COUNT: usize = 2;
/// Time over which the idle entries' processor time is taken.
const IDLE_TIME: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct OverheadArguments {
    plan: LoadPlan,
    token_interval: Duration,
    engines: usize,
}

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match parse(parser)? {
        Some(arguments) => measure(arguments),
        None => Ok(print(USAGE)),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<OverheadArguments>, lexopt::Error> {
    let mut arguments = OverheadArguments {
        plan: LoadPlan::new(1, 37.0, Duration::from_secs(20)).with_output_tokens(432),
        token_interval: Duration::from_millis(51),
        engines: 16,
    };
    let plan = &mut arguments.plan;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("rate") => plan.requests_per_second = parser.value()?.parse()?,
            Long("output-tokens") => plan.output_tokens = parser.value()?.parse()?,
            Long("token-interval") => {
                arguments.token_interval = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("seconds") => plan.duration = Duration::from_secs(parser.value()?.parse()?),
            Long("engines") => arguments.engines = parser.value()?.parse()?,
            Long("seed") => plan.seed = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

fn measure(arguments: OverheadArguments) -> Result<ExitCode> {
    let entry_runtime = Builder::new_multi_thread()
        .worker_threads(ENTRY_THREAD_COUNT)
        .thread_name(ENTRY_THREADS)
        .enable_all()
        .build()?;
    let result = Runtime::new()?.block_on(measure_on(&arguments, &entry_runtime));
    entry_runtime.shutdown_background();
    result
}

async fn measure_on(arguments: &OverheadArguments, entries: &Runtime) -> Result<ExitCode> {
    let mut engine = engine_config()?;
    engine.max_streams = u32::MAX;
    engine.token_interval = arguments.token_interval;
    let engines = vec![engine; arguments.engines];
    let handle = entries.handle().clone();
    let mut deployment = LocalDeployment::start_on(handle, engines, configuration).await?;
    let idle = idle_share().await?;

    let direct = LoadTarget {
        address: deployment.engines[0].addr(),
        key: None,
        model: MODEL.to_owned(),
    };
    let direct = run_load(&arguments.plan, &direct).await;
    let through = LoadTarget {
        address: deployment.callers()[0],
        key: Some(KEY.to_owned()),
        model: MODEL.to_owned(),
    };
    let group = ThreadGroup::new(ENTRY_THREADS);
    let before = group.processor_time()?;
    let through = run_load(&arguments.plan, &through).await;
    let used = group.processor_time()? - before;
    deployment.stop_daemons().await;
    report(&direct, &through, used, idle);
    Ok(ExitCode::SUCCESS)
}

fn configuration(upstreams: &LocalUpstreams) -> SampleConfiguration {
    let mut sample = SampleConfiguration::new().with_workspace("measured", KEY, MODEL);
    for (index, address) in upstreams.engines.iter().enumerate() {
        sample = sample.with_engine("dc1", &format!("engine-{index}"), *address, MODEL);
    }
    sample
}

/// Returns the share of a core that all idle entries use together.
async fn idle_share() -> Result<f64> {
    let group = ThreadGroup::new(ENTRY_THREADS);
    let (before, start) = (group.processor_time()?, Instant::now());
    sleep(IDLE_TIME).await;
    let used = group.processor_time()? - before;
    Ok(used.as_secs_f64() / start.elapsed().as_secs_f64())
}

fn report(direct: &LoadResult, through: &LoadResult, used: Duration, idle: f64) {
    println!("engine directly:\n{direct}\n");
    println!("through an entry:\n{through}\n");
    let (before, after) = (direct.first_token(), through.first_token());
    println!(
        "first token later by (ms): p50 {:.3}, p95 {:.3}",
        after.p50_ms - before.p50_ms,
        after.p95_ms - before.p95_ms,
    );
    let cores = used.as_secs_f64() / through.elapsed().as_secs_f64();
    let per_token = used.as_secs_f64() * 1e6 / through.tokens().max(1) as f64;
    println!("entries' processor time: {cores:.3} cores, {per_token:.2} microseconds a token");
    println!("three idle entries: {:.2}% of a core", idle * 100.0);
}
