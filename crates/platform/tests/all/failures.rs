//! Checks that each error tells correctly whether the call took effect.

use crate::start_platform;
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use serde_json::json;
use std::time::Duration;

/// Timeout of calls in tests that delay the platform's effect beyond it.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Guards against reporting a lost response as "no effect". The test failed when
/// every transport error was mapped to `Unavailable`.
#[tokio::test]
async fn a_lost_response_to_a_write_leaves_the_outcome_unknown() {
    let (platform, client) = start_platform().await;
    platform
        .faults()
        .add(FaultRule::new("/objects/", FaultEffect::LoseAnswer).with_remaining(1));
    let written = client.create("kind/a", &json!(1)).await;
    assert!(matches!(written, Err(PlatformError::OutcomeUnknown { .. })));
    assert_eq!(platform.object("kind/a"), Some(json!(1)));
}

/// Guards against counting an incomplete response as success. The test failed
/// when the bodies of responses to usage reports weren't read.
#[tokio::test]
async fn an_incomplete_response_to_a_report_leaves_the_outcome_unknown() {
    let (platform, client) = start_platform().await;
    platform
        .faults()
        .add(FaultRule::new("/usage-reports", FaultEffect::LoseRequest));
    let report = lagoonlift_platform::wire::UsageReport {
        data_centre: "dc1".to_owned(),
        epoch: 1,
        lines: Vec::new(),
        window: 7,
    };
    let reported = client.report_usage(&report).await;
    assert!(matches!(
        reported,
        Err(PlatformError::OutcomeUnknown { .. })
    ));
    assert!(platform.usage_reports().is_empty());
}

/// Guards against reporting a timeout as "no effect". The test failed when
/// `is_timeout` was mapped to `Unavailable`.
#[tokio::test]
async fn a_write_may_take_effect_after_its_timeout() {
    let (platform, _) = start_platform().await;
    let client = PlatformClient::new(platform.addr(), "writer".to_owned(), SHORT_TIMEOUT);
    let delay = SHORT_TIMEOUT * 3;
    platform
        .faults()
        .add(FaultRule::new("/objects/", FaultEffect::Delay(delay)).with_remaining(1));
    let written = client.create("kind/a", &json!(1)).await;
    assert!(matches!(written, Err(PlatformError::OutcomeUnknown { .. })));
    assert_eq!(platform.object("kind/a"), None);
    let watcher = PlatformClient::new(platform.addr(), "writer".to_owned(), SHORT_TIMEOUT);
    let changes = watcher.watch("kind/", lagoonlift_platform::Version(0), delay * 20);
    assert_eq!(changes.await.expect("reachable").changes.len(), 1);
}

#[tokio::test]
async fn a_platform_that_is_down_is_unavailable_until_it_restarts() {
    let (platform, client) = start_platform().await;
    client.create("kind/a", &json!(1)).await.expect("created");
    platform.faults().set_down(true);
    let refused = loop {
        match client.create("kind/b", &json!(1)).await {
            // The connection that is still open fails first.
            Err(PlatformError::OutcomeUnknown { .. }) => tokio::task::yield_now().await,
            other => break other,
        }
    };
    assert!(matches!(refused, Err(PlatformError::Unavailable { .. })));
    assert_eq!(platform.object("kind/b"), None);

    platform.faults().set_down(false);
    let object = loop {
        match client.get("kind/a").await {
            Ok(object) => break object,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    assert_eq!(object.expect("the object still exists").value, json!(1));
}

#[tokio::test]
async fn a_token_writes_only_what_it_is_permitted_to() {
    let (platform, client) = start_platform().await;
    platform.permit_writes("operator", "config/");
    platform.permit_writes("writer", "leases/");
    let refused = client.create("config/manifest", &json!(1)).await;
    assert_eq!(refused, Err(PlatformError::Rejected { status: 403 }));
    client.create("leases/a", &json!(1)).await.expect("created");
}

#[tokio::test]
async fn a_restored_snapshot_has_old_objects_but_reuses_no_version() {
    let (platform, client) = start_platform().await;
    let first = client.create("kind/a", &json!(1)).await.expect("created");
    let snapshot = platform.snapshot();
    let second = client.update("kind/a", &json!(2), first).await;
    platform.restore(snapshot);
    let object = client.get("kind/a").await.expect("reachable");
    let object = object.expect("the object exists");
    assert_eq!((object.value, object.version), (json!(1), first));
    let third = client.update("kind/a", &json!(3), first).await;
    assert!(third.expect("the version is current") > second.expect("the version was current"));
}
