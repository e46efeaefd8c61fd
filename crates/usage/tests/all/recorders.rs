//! Tests of usage recorders over the real peer protocol and a stand-in for the
//! platform.

use crate::support::{
    Host, billed, process, record, start_host, start_pair, start_platform, until, windows,
};
use lagoonlift_hosts::CopyError;
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use lagoonlift_types::RequestId;
use lagoonlift_usage::UsageCounter;

#[tokio::test]
async fn each_record_is_billed_once() {
    let platform = start_platform().await;
    let (first, second) = start_pair(platform.addr()).await;
    for tokens in 1..=10 {
        record(&first, tokens).await;
        record(&second, 100).await;
    }
    until(|| billed(&platform) == (20, 55 + 1000)).await;
}

/// Guards against usage that is never billed because no peer closes the window of
/// a dead process.
#[tokio::test]
async fn a_peer_closes_the_window_of_a_dead_process() {
    let platform = start_platform().await;
    let (first, second) = start_pair(platform.addr()).await;
    record(&first, 7).await;
    drop(first);
    until(|| billed(&platform) == (1, 7)).await;
    assert_eq!(windows(&platform)[0].closed_by, process("h1"));
    drop(second);
}

/// Guards against a window that is never closed after a lost response: the retry
/// finds the object that already exists, which must not count as a failure.
#[tokio::test]
async fn a_retry_after_a_lost_response_finds_the_window() {
    let platform = start_platform().await;
    let (first, _second) = start_pair(platform.addr()).await;
    let rule = FaultRule::new("/objects/usage/windows", FaultEffect::LoseAnswer).with_remaining(1);
    platform.faults().add(rule);
    record(&first, 7).await;
    let counters = first.recorder.counters();
    until(|| counters.get(UsageCounter::WindowsClosed) == 1).await;
    assert_eq!(counters.get(UsageCounter::AttemptsFailed), 1);
    assert_eq!(counters.get(UsageCounter::WindowsClosedByOthers), 0);
    assert_eq!(billed(&platform), (1, 7));
}

#[tokio::test]
async fn flushing_closes_the_current_window() {
    let platform = start_platform().await;
    let (first, _second) = start_pair(platform.addr()).await;
    record(&first, 7).await;
    assert_eq!(first.recorder.flush().await, Ok(()));
    assert_eq!(billed(&platform), (1, 7));
}

#[tokio::test]
async fn a_record_without_a_peer_is_billed_but_reported_as_uncopied() {
    let platform = start_platform().await;
    let host: Host = start_host("h0", &[], platform.addr()).await;
    let result = host.recorder.record(
        RequestId::new(),
        "plumbers".parse().expect("a valid name"),
        "default".parse().expect("a valid name"),
        crate::support::figures(3),
    );
    assert_eq!(result.await, Err(CopyError::NoPeer));
    until(|| billed(&platform) == (1, 3)).await;
}

#[tokio::test]
async fn a_window_closed_after_an_outage_is_counted_as_late() {
    let platform = start_platform().await;
    let (first, _second) = start_pair(platform.addr()).await;
    platform.faults().set_down(true);
    record(&first, 7).await;
    let counters = first.recorder.counters();
    // There are four attempts per window length.
    until(|| counters.get(UsageCounter::AttemptsFailed) > 16).await;
    platform.faults().set_down(false);
    until(|| counters.get(UsageCounter::WindowsClosed) == 1).await;
    assert_eq!(counters.get(UsageCounter::WindowsLate), 1);
    assert_eq!(billed(&platform), (1, 7));
}
