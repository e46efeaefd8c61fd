//! Two processes never act for the same data centre.

use crate::support::stewards::StewardGroup;
use crate::support::{ProcessSignal, eventually};
use std::time::Instant;

/// Seen failing with the successor's wait set to a hundred terms: the test
/// waited in vain.
#[tokio::test]
async fn a_killed_holder_is_replaced() {
    let mut group = StewardGroup::start().await;
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    group.steward(0).signal(ProcessSignal::Kill);
    let killed = Instant::now();
    assert_eq!(group.wait_for_holder(1).await, epoch + 1);
    println!("taken over {:?} after the kill", killed.elapsed());
}

/// Seen failing with a holder that doesn't look at its deadline and writes
/// without the version as a condition.
#[tokio::test]
async fn a_paused_holder_writes_nothing_when_it_wakes() {
    let mut group = StewardGroup::start().await;
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    group.steward(0).signal(ProcessSignal::Stop);
    let paused = Instant::now();
    assert_eq!(group.wait_for_holder(1).await, epoch + 1);
    println!("taken over {:?} after the pause", paused.elapsed());
    let written = group.platform.history().len();
    group.steward(0).signal(ProcessSignal::Continue);
    // It says that it has stopped, and by then it has done all that it will do.
    let step_down = format!("step-downs/dc1/{epoch}");
    group.wait_for_object(&step_down, |_| true).await;
    for change in &group.platform.history()[written..] {
        let value = change.value.as_ref().expect("nothing was deleted");
        let by_old = value["identity"]["process"]["host"] == "s0" || value["epoch"] == epoch;
        assert!(!by_old || change.key == step_down, "{change:?}");
    }
    // The successor learns that nothing can come from it any more.
    group
        .wait_for_object("leases/dc1", |lease| {
            lease["predecessors"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
}

/// Seen failing with the lease kept on shutdown.
#[tokio::test]
async fn a_graceful_shutdown_gives_the_lease_up() {
    let mut group = StewardGroup::start().await;
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    group.steward(0).signal(ProcessSignal::Terminate);
    assert_eq!(group.wait_for_holder(1).await, epoch + 1);
    let released = eventually("a release in the history", || async {
        let history = group.platform.history();
        let values = history.into_iter().filter_map(|change| change.value);
        values.into_iter().find(|value| value["released"] == true)
    });
    assert_eq!(released.await["epoch"], epoch);
}
