//! A steward brings the configuration in force, and never takes one back.

use crate::support::{self, GUARD, settings, start_platform, start_steward, wait_until};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_types::{DataCentreCapacity, DataCentreName, Revision};
use tokio::time::timeout;

fn publish(platform: &PlatformStandin, revision: u64, order_limit: u32) {
    let capacity = DataCentreCapacity {
        order_limit,
        ..DataCentreCapacity::default()
    };
    support::publish(platform, revision, capacity);
}

#[tokio::test]
async fn an_accepted_change_comes_into_force() {
    let platform = start_platform().await;
    publish(&platform, 1, 1);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    let mut configurations = steward.configurations();
    let first = timeout(
        GUARD,
        configurations.wait_for(|c| c.revision == Revision(1)),
    );
    first.await.expect("no hang").expect("running");
    publish(&platform, 2, 5);
    let second = timeout(
        GUARD,
        configurations.wait_for(|c| c.revision == Revision(2)),
    );
    let second = second.await.expect("no hang").expect("running").clone();
    let name = DataCentreName::new("dc1").expect("a valid name");
    assert_eq!(second.data_centres[&name].order_limit, 5);
}

/// Seen failing with the revisions compared for equality only, here and in the
/// hosts' store.
#[tokio::test]
async fn a_platform_restarted_with_older_data_changes_nothing() {
    let platform = start_platform().await;
    publish(&platform, 1, 1);
    let older = platform.snapshot();
    publish(&platform, 2, 2);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    let mut configurations = steward.configurations();
    let second = timeout(
        GUARD,
        configurations.wait_for(|c| c.revision == Revision(2)),
    );
    second.await.expect("no hang").expect("running");
    let watches = platform.calls().watches;
    platform.restore(older);
    publish(&platform, 1, 9);
    // The next watch begins after the older manifest was read.
    wait_until(|| platform.calls().watches > watches).await;
    assert_eq!(configurations.borrow().revision, Revision(2));
    publish(&platform, 3, 3);
    let third = timeout(
        GUARD,
        configurations.wait_for(|c| c.revision != Revision(2)),
    );
    let third = third.await.expect("no hang").expect("running").clone();
    assert_eq!(third.revision, Revision(3));
}
