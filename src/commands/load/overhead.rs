//! `lagoonlift load overhead`: measures the latency and processor time that an entry
//! adds to an engine.
//!
//! One run sends the same load twice: directly to one of the engines, and through an
//! entry to all of them. The entries run on separate threads, so that their
//! processor time can be distinguished from that of the engines and the load
//! generator.

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

/// API key of the workspace that sends the load.
const CALLER_KEY: &str = "key-of-the-measured-workspace";
/// Name of the threads that run the entries.
const ENTRY_THREAD_NAME: &str = "entry";
/// Number of threads that run the entries.
const ENTRY_THREAD_COUNT: usize = 2;
/// Duration of the measurement of the idle entries' processor time.
const IDLE_MEASUREMENT_TIME: Duration = Duration::from_secs(5);

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
        .thread_name(ENTRY_THREAD_NAME)
        .enable_all()
        .build()?;
    let result = Runtime::new()?.block_on(measure_with_runtime(&arguments, &entry_runtime));
    entry_runtime.shutdown_background();
    result
}

async fn measure_with_runtime(
    arguments: &OverheadArguments,
    entry_runtime: &Runtime,
) -> Result<ExitCode> {
    let mut engine = engine_config()?;
    engine.max_streams = u32::MAX;
    engine.token_interval = arguments.token_interval;
    let engines = vec![engine; arguments.engines];
    let handle = entry_runtime.handle().clone();
    let mut deployment = LocalDeployment::start_on(handle, engines, configuration).await?;
    let idle_cores = idle_entry_cores().await?;

    let direct_target = LoadTarget {
        address: deployment.engines[0].addr(),
        key: None,
        model: MODEL.to_owned(),
    };
    let direct = run_load(&arguments.plan, &direct_target).await;
    let entry_target = LoadTarget {
        address: deployment.caller_addrs()[0],
        key: Some(CALLER_KEY.to_owned()),
        model: MODEL.to_owned(),
    };
    let entry_threads = ThreadGroup::new(ENTRY_THREAD_NAME);
    let before = entry_threads.processor_time()?;
    let through_entry = run_load(&arguments.plan, &entry_target).await;
    let processor_time = entry_threads.processor_time()? - before;
    deployment.stop_daemons().await;
    print_results(&direct, &through_entry, processor_time, idle_cores);
    Ok(ExitCode::SUCCESS)
}

fn configuration(upstreams: &LocalUpstreams) -> SampleConfiguration {
    let mut sample = SampleConfiguration::new().with_workspace("measured", CALLER_KEY, MODEL);
    for (index, address) in upstreams.engines.iter().enumerate() {
        sample = sample.with_engine("dc1", &format!("engine-{index}"), *address, MODEL);
    }
    sample
}

/// Returns the number of processor cores that all idle entries use together.
async fn idle_entry_cores() -> Result<f64> {
    let entry_threads = ThreadGroup::new(ENTRY_THREAD_NAME);
    let (before, start) = (entry_threads.processor_time()?, Instant::now());
    sleep(IDLE_MEASUREMENT_TIME).await;
    let processor_time = entry_threads.processor_time()? - before;
    Ok(processor_time.as_secs_f64() / start.elapsed().as_secs_f64())
}

fn print_results(
    direct: &LoadResult,
    through_entry: &LoadResult,
    processor_time: Duration,
    idle_cores: f64,
) {
    println!("engine directly:\n{direct}\n");
    println!("through an entry:\n{through_entry}\n");
    let (direct_latency, entry_latency) = (direct.first_token(), through_entry.first_token());
    println!(
        "first token later by (ms): p50 {:.3}, p95 {:.3}",
        entry_latency.p50_ms - direct_latency.p50_ms,
        entry_latency.p95_ms - direct_latency.p95_ms,
    );
    let cores = processor_time.as_secs_f64() / through_entry.elapsed().as_secs_f64();
    let microseconds_per_token =
        processor_time.as_secs_f64() * 1e6 / through_entry.tokens().max(1) as f64;
    println!(
        "entries' processor time: {cores:.3} cores, {microseconds_per_token:.2} microseconds a token"
    );
    println!("three idle entries: {:.2}% of a core", idle_cores * 100.0);
}
