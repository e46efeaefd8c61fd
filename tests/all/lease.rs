//! At most one process acts for a data centre at a time.

use crate::support::stewards::StewardGroup;
use crate::support::{ProcessSignal, eventually};
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use std::time::Instant;

/// Guards against a lease without takeover. The test timed out when the successor
/// waited for a hundred lease terms.
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

/// Guards against writes of a former lease holder. The test failed with a holder that
/// ignored the deadline of its lease and wrote without the version as a condition.
#[tokio::test]
async fn a_paused_holder_writes_nothing_when_it_wakes() {
    let group = StewardGroup::start().await;
    check_takeover_from_paused_holder(group).await;
}

/// Guards against a successor that waits for ever for the step-down of a holder that was
/// paused before it had read the response to the write that gave it the lease, and never
/// learned that it held it.
#[tokio::test]
async fn a_holder_paused_before_it_knows_steps_down_when_it_wakes() {
    let group = StewardGroup::start().await;
    let lost = FaultRule::new("/objects/leases/", FaultEffect::LoseAnswer);
    group.platform.faults().add(lost.with_remaining(1));
    check_takeover_from_paused_holder(group).await;
}

/// Pauses the first steward when it has the lease, lets another one take over, and checks
/// what the first one writes when it wakes.
async fn check_takeover_from_paused_holder(mut group: StewardGroup) {
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    group.steward(0).signal(ProcessSignal::Stop);
    let paused = Instant::now();
    assert_eq!(group.wait_for_holder(1).await, epoch + 1);
    println!("taken over {:?} after the pause", paused.elapsed());
    let written = group.platform.history().len();
    group.steward(0).signal(ProcessSignal::Continue);
    // The former holder records its step-down after its last other write.
    let step_down = format!("step-downs/dc1/{epoch}");
    group.wait_for_object(&step_down, |_| true).await;
    for change in &group.platform.history()[written..] {
        let value = change.value.as_ref().expect("no object was deleted");
        let by_old = value["identity"]["process"]["host"] == "s0" || value["epoch"] == epoch;
        assert!(!by_old || change.key == step_down, "{change:?}");
    }
    // The successor observes the step-down and drops its predecessor from the lease.
    group
        .wait_for_object("leases/dc1", |lease| {
            lease["predecessors"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
}

/// Guards against waiting for the lease to expire. The test failed when the holder kept
/// its lease at shutdown.
#[tokio::test]
async fn a_graceful_shutdown_gives_the_lease_up() {
    let mut group = StewardGroup::start().await;
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    group.steward(0).signal(ProcessSignal::Terminate);
    assert_eq!(group.wait_for_holder(1).await, epoch + 1);
    let released = eventually("the release of the lease in the history", || async {
        let history = group.platform.history();
        let values = history.into_iter().filter_map(|change| change.value);
        values.into_iter().find(|value| value["released"] == true)
    });
    assert_eq!(released.await["epoch"], epoch);
}
