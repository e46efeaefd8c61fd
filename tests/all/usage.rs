//! Every request is billed exactly once, whatever becomes of its entry.

use crate::support::{Caller, HostGroup, ProcessSignal, eventually};
use lagoonlift::types::Sequence;
use lagoonlift::usage::UsageWindow;
use serde_json::{Value, json};

/// Attempts to stop an entry before it closes its window itself.
const ATTEMPTS: u64 = 5;

async fn answered(group: &HostGroup, entry: usize) {
    let url = group.entries[entry].callers_url();
    let caller = Caller::new(url, "key-of-the-plumbers");
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "which pipe failed before" }],
        "max_tokens": 3,
    });
    let response = caller.chat(&body).send().await.expect("a response");
    let answer: Value = response.json().await.expect("a whole answer");
    assert_eq!(answer["usage"]["completion_tokens"], 3, "{answer}");
}

/// Returns the windows of one entry's records, in order.
fn windows_of(group: &HostGroup, host: &str) -> Vec<UsageWindow> {
    let mut windows = group.windows();
    windows.retain(|window| window.process.host.as_str() == host);
    windows.sort_by_key(|window| window.window);
    windows
}

/// Checks that each record is in one window, and that the figures fit.
fn assert_chained(windows: &[UsageWindow]) {
    let mut next = Sequence(0);
    for window in windows {
        assert_eq!(window.from, next, "{windows:#?}");
        let requests: u64 = window.lines.iter().map(|line| line.figures.requests).sum();
        assert_eq!(requests, window.to.0 - window.from.0, "{windows:#?}");
        next = window.to;
    }
}

/// The whole answer is there, so the second copy is too.
///
/// Seen failing with a neighbour that confirms copies without keeping them:
/// nothing was billed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_killed_right_after_its_answers_is_billed_once() {
    let group = HostGroup::start(2).await;
    for _ in 0..3 {
        answered(&group, 0).await;
    }
    group.entries[0].signal(ProcessSignal::Kill);
    group.wait_for_billed(3).await;
    answered(&group, 1).await;
    group.wait_for_billed(4).await;
    assert_eq!(group.billed(), 4);
    assert_chained(&windows_of(&group, "a1"));
    assert_chained(&windows_of(&group, "a2"));
}

/// A paused entry can't know that its window was closed by its neighbour.
///
/// Seen failing with an entry that takes a neighbour's window for an empty one:
/// five requests were billed in place of three.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_paused_right_after_its_answers_is_billed_once() {
    let group = HostGroup::start(2).await;
    let mut requests = 0;
    for _ in 0..ATTEMPTS {
        answered(&group, 0).await;
        answered(&group, 0).await;
        group.entries[0].signal(ProcessSignal::Stop);
        requests += 2;
        group.wait_for_billed(requests).await;
        group.entries[0].signal(ProcessSignal::Continue);
        let windows = windows_of(&group, "a1");
        let last = windows.last().expect("it was billed");
        if last.closed_by.host.as_str() == "a2" {
            break;
        }
    }
    let windows = windows_of(&group, "a1");
    let by_neighbour = |window: &UsageWindow| window.closed_by.host.as_str() == "a2";
    assert!(windows.iter().any(by_neighbour), "{windows:#?}");
    answered(&group, 0).await;
    requests += 1;
    eventually("a later window of the entry that woke", || async {
        let windows = windows_of(&group, "a1");
        let covered = windows.last().is_some_and(|window| window.to.0 == requests);
        covered.then_some(())
    })
    .await;
    assert_eq!(group.billed(), requests);
    assert_chained(&windows_of(&group, "a1"));
}

/// A frozen neighbour keeps its connection open and never confirms anything.
/// One of the two that are frozen in turn is the one that gets the copies.
///
/// Seen failing with a limit of 25 s for the confirmation: a record had no copy
/// in two of three runs. In the third its window was closed meanwhile, after
/// which it needs none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_neighbour_is_left_for_another() {
    let group = HostGroup::start(3).await;
    answered(&group, 0).await;
    group.entries[1].signal(ProcessSignal::Stop);
    answered(&group, 0).await;
    group.entries[1].signal(ProcessSignal::Continue);
    group.entries[2].signal(ProcessSignal::Stop);
    answered(&group, 0).await;
    assert_eq!(group.count(0, "lagoonlift_usage_uncopied").await, 0);
    group.entries[0].signal(ProcessSignal::Kill);
    group.wait_for_billed(3).await;
    assert_eq!(group.billed(), 3);
    assert_chained(&windows_of(&group, "a1"));
}
