//! Repeated reports of a usage window always have the same figures.

use crate::support::{settings, start_platform, start_steward, start_with_metrics, wait_until};
use lagoonlift_platform::Version;
use lagoonlift_standins::platform::{FaultEffect, FaultRule, PlatformStandin};
use lagoonlift_steward::SealContents;
use lagoonlift_types::{
    ClassName, HostName, Incarnation, ProcessId, ProcessRole, Sequence, UsageFigures, WindowId,
    WorkspaceName,
};
use lagoonlift_usage::{UsageLine, UsageWindow};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// Length of a window in the test settings, in milliseconds.
const WINDOW_MS: u128 = 1_000;

fn current_window() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch = since_epoch.expect("a clock after 1970").as_millis();
    u64::try_from(since_epoch / WINDOW_MS).expect("a small number")
}

fn closed_window(window: u64, host: &str, requests: u64) -> UsageWindow {
    let process = ProcessId {
        host: HostName::new(host).expect("a valid name"),
        role: ProcessRole::Entry,
    };
    UsageWindow {
        window: WindowId(window),
        process: process.clone(),
        incarnation: Incarnation(1),
        from: Sequence(0),
        to: Sequence(requests),
        lines: vec![UsageLine {
            workspace: WorkspaceName::new("w1").expect("a valid name"),
            class: ClassName::new("default").expect("a valid name"),
            figures: UsageFigures {
                requests,
                ..UsageFigures::default()
            },
        }],
        closed_by: process,
    }
}

fn put_closed_window(platform: &PlatformStandin, window: u64, host: &str, requests: u64) {
    let key = format!("usage/windows/dc1/{window}/{host}.entry/1");
    let value = serde_json::to_value(closed_window(window, host, requests)).expect("plain values");
    platform.put_object(&key, value);
}

/// Returns the total number of reported requests, and checks that all reports of a
/// window are equal.
fn reported_requests(platform: &PlatformStandin) -> u64 {
    let mut windows: BTreeMap<u64, Value> = BTreeMap::new();
    for report in platform.usage_reports() {
        let window = report["window"].as_u64().expect("a window number");
        let known = windows.entry(window).or_insert_with(|| report.clone());
        assert_eq!(*known, report, "window {window} has two different reports");
    }
    let lines = windows
        .values()
        .flat_map(|report| report["lines"].as_array());
    lines
        .flatten()
        .map(|line| line["requests"].as_u64().unwrap_or(0))
        .sum()
}

/// Fails if the figures are summed up again for each report.
#[tokio::test]
async fn a_lost_answer_repeats_the_same_figures() {
    let platform = start_platform().await;
    let lost = FaultRule::new("/usage-reports", FaultEffect::LoseAnswer);
    platform.faults().add(lost.with_remaining(2));
    put_closed_window(&platform, current_window(), "h7", 3);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    wait_until(|| !platform.usage_reports().is_empty()).await;
    // Arrives after its seal, between two attempts to report.
    put_closed_window(&platform, current_window() - 2, "h8", 4);
    wait_until(|| reported_requests(&platform) == 7).await;
    assert!(
        platform.usage_reports().len() >= 4,
        "two reports were repeated"
    );
}

/// Fails if a seal whose response was lost is ignored.
#[tokio::test]
async fn a_seal_whose_answer_was_lost_is_the_one_reported() {
    let platform = start_platform().await;
    let lost = FaultRule::new("/objects/usage/seals/", FaultEffect::LoseAnswer);
    platform.faults().add(lost.with_remaining(2));
    put_closed_window(&platform, current_window(), "h7", 3);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    wait_until(|| reported_requests(&platform) == 3).await;
}

#[tokio::test]
async fn a_platform_that_was_down_gets_every_window_once() {
    let platform = start_platform().await;
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    wait_until(|| platform.object("usage/sealed/dc1").is_some()).await;
    platform.faults().set_down(true);
    for host in ["h7", "h8", "h9"] {
        put_closed_window(&platform, current_window(), host, 1);
    }
    wait_until(|| steward.authority().epoch().is_none()).await;
    platform.faults().set_down(false);
    wait_until(|| reported_requests(&platform) == 3).await;
}

/// Fails if a report counts as late only after two hundred windows instead of two.
#[tokio::test]
async fn late_reports_and_late_windows_are_counted() {
    let platform = start_platform().await;
    let lost = FaultRule::new("/usage-reports", FaultEffect::LoseRequest);
    platform.faults().add(lost);
    put_closed_window(&platform, current_window(), "h7", 3);
    let (_steward, metrics) = start_with_metrics(&settings("h1", platform.addr(), &[])).await;
    wait_until(|| !platform.objects("usage/seals/dc1/").is_empty()).await;
    let sealed = current_window();
    wait_until(|| current_window() > sealed + 4).await;
    put_closed_window(&platform, sealed - 2, "h8", 4);
    platform.faults().clear();
    wait_until(|| reported_requests(&platform) == 7).await;
    let text = metrics.render().expect("plain numbers");
    let count = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split(' ').next_back()?.parse().ok());
        value.unwrap_or(0_u64)
    };
    assert!(
        count("lagoonlift_steward_usage_reports_late_total") >= 1,
        "{text}"
    );
    assert!(
        count("lagoonlift_steward_usage_windows_moved_total") >= 1,
        "{text}"
    );
}

/// Fails if a seal covers earlier windows regardless of their version.
#[test]
fn a_closed_window_is_covered_by_exactly_one_seal() {
    let objects = [
        (Version(3), closed_window(10, "a", 1)),
        (Version(7), closed_window(10, "b", 10)),
        (Version(5), closed_window(11, "a", 100)),
        (Version(9), closed_window(12, "a", 1_000)),
    ];
    let seal = |window, after, through| {
        let collection = SealContents::new(
            WindowId(window),
            Version(after),
            Version(through),
            objects.clone(),
        );
        let figures = collection.lines.first().map(|line| line.figures.requests);
        (figures.unwrap_or(0), collection.late)
    };
    assert_eq!(seal(10, 0, 4), (1, 0));
    assert_eq!(seal(11, 4, 8), (110, 1));
    assert_eq!(seal(12, 8, 20), (1_000, 0));
}
