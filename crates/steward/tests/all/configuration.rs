//! A steward applies new configurations and never reverts to an older one.

use crate::support::{self, HANG_TIMEOUT, settings, start_platform, start_steward, wait_until};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_types::{DataCentreCapacity, DataCentreName, Manifest, Revision};
use serde_json::json;
use tokio::time::timeout;

fn publish(platform: &PlatformStandin, revision: u64, order_limit: u32) {
    let capacity = DataCentreCapacity {
        order_limit,
        ..DataCentreCapacity::default()
    };
    support::publish(platform, revision, capacity);
}

/// Guards against an object beside the configuration, with a key that begins like its, that keeps
/// every process from reading it.
#[tokio::test]
async fn an_odd_object_beside_the_configuration_hides_it_from_nobody() {
    let platform = start_platform().await;
    platform.put_object(&format!("{}-odd", Manifest::KEY), json!(["odd"]));
    publish(&platform, 1, 1);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    let mut configurations = steward.configurations();
    let first = configurations.wait_for(|c| c.revision == Revision(1));
    let first = timeout(HANG_TIMEOUT, first).await.expect("no timeout");
    first.expect("a running steward");
}

#[tokio::test]
async fn an_accepted_change_comes_into_force() {
    let platform = start_platform().await;
    publish(&platform, 1, 1);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    let mut configurations = steward.configurations();
    let first = timeout(
        HANG_TIMEOUT,
        configurations.wait_for(|c| c.revision == Revision(1)),
    );
    first.await.expect("no timeout").expect("a running steward");
    publish(&platform, 2, 5);
    let second = timeout(
        HANG_TIMEOUT,
        configurations.wait_for(|c| c.revision == Revision(2)),
    );
    let second = second
        .await
        .expect("no timeout")
        .expect("a running steward")
        .clone();
    let name = DataCentreName::new("dc1").expect("a valid name");
    assert_eq!(second.data_centres[&name].order_limit, 5);
}

/// Fails if a manifest with any other revision replaces the current one, both in
/// the steward and in the hosts' configuration store.
#[tokio::test]
async fn a_platform_restarted_with_older_data_changes_nothing() {
    let platform = start_platform().await;
    publish(&platform, 1, 1);
    let older = platform.snapshot();
    publish(&platform, 2, 2);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    let mut configurations = steward.configurations();
    let second = timeout(
        HANG_TIMEOUT,
        configurations.wait_for(|c| c.revision == Revision(2)),
    );
    second
        .await
        .expect("no timeout")
        .expect("a running steward");
    let watches = platform.calls().watches;
    platform.restore(older);
    publish(&platform, 1, 9);
    // The next watch starts after the steward has read the older manifest.
    wait_until(|| platform.calls().watches > watches).await;
    assert_eq!(configurations.borrow().revision, Revision(2));
    publish(&platform, 3, 3);
    let third = timeout(
        HANG_TIMEOUT,
        configurations.wait_for(|c| c.revision != Revision(2)),
    );
    let third = third
        .await
        .expect("no timeout")
        .expect("a running steward")
        .clone();
    assert_eq!(third.revision, Revision(3));
}
