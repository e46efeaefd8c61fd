//! A usage window is never reported twice with different figures.

use crate::support::ProcessSignal;
use crate::support::stewards::StewardGroup;
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use serde_json::{Value, json};
use std::time::{SystemTime, UNIX_EPOCH};

fn close_window(group: &StewardGroup, window: u64, host: &str, requests: u64) {
    let process = json!({ "host": host, "role": "entry" });
    let figures = json!({ "requests": requests, "prompt_tokens": 0, "output_tokens": 0 });
    let line = json!({ "workspace": "w1", "class": "default", "figures": figures });
    let closed = json!({
        "window": window, "process": process, "incarnation": 1, "from": 0, "to": requests,
        "lines": [line], "closed_by": process,
    });
    let key = format!("usage/windows/dc1/{window}/{host}.entry/1");
    group.platform.put_object(&key, closed);
}

fn current_window() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.expect("the clock is later than 1970").as_secs()
}

/// Guards against reports whose figures change between attempts. The test failed when
/// the figures were summed again for each report: the successor's report included a
/// window that was closed after the first report.
#[tokio::test]
async fn a_successor_reports_what_the_killed_steward_sealed() {
    let mut group = StewardGroup::start().await;
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    let lost = FaultRule::new("/usage-reports", FaultEffect::LoseAnswer);
    group.platform.faults().add(lost);
    let window = current_window();
    close_window(&group, window, "a1", 3);
    let has_lines = |seal: &Value| seal["lines"].as_array().is_some_and(|l| !l.is_empty());
    let key = format!("usage/seals/dc1/{window}");
    let seal = group.wait_for_object(&key, has_lines).await;
    group.steward(0).signal(ProcessSignal::Kill);
    // This window is closed after the seal and must not change the sealed figures.
    close_window(&group, window, "a2", 4);
    group.wait_for_holder(1).await;
    group.platform.faults().clear();
    let is_past_window = |cursor: &Value| cursor["window"].as_u64() > Some(window);
    group
        .wait_for_object("usage/sealed/dc1", is_past_window)
        .await;

    let reports = group.platform.usage_reports();
    let own = reports.iter().filter(|report| report["window"] == window);
    for report in own {
        assert_eq!(report["epoch"], epoch);
        assert_eq!(report["lines"][0]["requests"], 3);
    }
    assert_eq!(seal["epoch"], epoch);
    let later = reports.iter().filter(|report| report["window"] != window);
    let moved: Vec<_> = later
        .map(|report| &report["lines"][0]["requests"])
        .collect();
    assert_eq!(moved, [4], "late usage is reported once, in a later window");
}
