//! Tests of the load generator's measurements against an engine stand-in.

use lagoonlift_load::{LoadPlan, LoadTarget, ThreadGroup, run_load};
use lagoonlift_standins::engine::{EngineConfig, EngineFault, EngineStandin};
use lagoonlift_types::ModelName;
use std::collections::BTreeSet;
use std::time::Duration;

fn start_engine() -> (EngineStandin, LoadTarget) {
    let model = ModelName::new("tide-7b").expect("a valid name");
    let config = EngineConfig::new(BTreeSet::from([model]));
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    let engine = EngineStandin::start(listen, config).expect("a free port");
    let target = LoadTarget {
        address: engine.addr(),
        key: None,
        model: "tide-7b".to_owned(),
    };
    (engine, target)
}

#[tokio::test]
async fn every_token_is_counted() {
    let (engine, target) = start_engine();
    let plan = LoadPlan::new(7, 200.0, Duration::from_millis(100)).with_output_tokens(5);
    let result = run_load(&plan, &target).await;
    let generated: u64 = engine.log().snapshot().iter().map(|run| run.tokens).sum();
    assert!(result.sent() > 0);
    assert_eq!(result.complete(), result.sent());
    assert_eq!(result.tokens(), generated);
}

/// Fails if the histogram saturates at two microseconds.
#[tokio::test]
async fn a_delay_shows_in_the_first_token() {
    let (engine, target) = start_engine();
    let delay = Duration::from_millis(50);
    engine.faults().set_default(Some(EngineFault::Delay(delay)));
    let plan = LoadPlan::new(7, 100.0, Duration::from_millis(100));
    let result = run_load(&plan, &target).await;
    assert!(result.first_token().p50_ms >= 50.0, "{result}");
}

#[tokio::test]
async fn a_truncated_response_is_not_complete() {
    let (engine, target) = start_engine();
    engine
        .faults()
        .set_default(Some(EngineFault::CrashAfterTokens(2)));
    let plan = LoadPlan::new(7, 100.0, Duration::from_millis(100));
    let result = run_load(&plan, &target).await;
    assert!(result.sent() > 0);
    assert_eq!(result.complete(), 0);
}

#[test]
fn processor_time_is_that_of_the_named_threads() {
    let spin = || {
        let start = ThreadGroup::new("spinner")
            .processor_time()
            .expect("needs Linux");
        while ThreadGroup::new("spinner")
            .processor_time()
            .expect("needs Linux")
            == start
        {}
    };
    let thread = std::thread::Builder::new().name("spinner".to_owned());
    let thread = thread.spawn(spin).expect("a thread");
    thread
        .join()
        .expect("the thread ends when its processor time has increased");
    let others = ThreadGroup::new("no-such-name").processor_time();
    assert_eq!(others.expect("needs Linux"), Duration::ZERO);
}
