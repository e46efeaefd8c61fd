//! What an error says about the effect of the call is true.

use crate::start_platform;
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use serde_json::json;
use std::time::Duration;

/// A call is lost after this time where a test makes the platform slow.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Seen failing with every transport error mapped to `Unavailable`.
#[tokio::test]
async fn an_answer_lost_after_the_write_is_not_called_unavailable() {
    let (platform, client) = start_platform().await;
    platform
        .faults()
        .add(FaultRule::new("/objects/", FaultEffect::LoseAnswer).with_remaining(1));
    let written = client.create("kind/a", &json!(1)).await;
    assert!(matches!(written, Err(PlatformError::OutcomeUnknown { .. })));
    assert_eq!(platform.object("kind/a"), Some(json!(1)));
}

/// Seen failing with reports whose answers' bodies weren't read: the broken
/// answer counted as success.
#[tokio::test]
async fn a_broken_answer_to_a_report_counts_as_lost() {
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

/// Seen failing with `is_timeout` mapped to `Unavailable`.
#[tokio::test]
async fn a_write_may_take_effect_after_its_caller_gave_up() {
    let (platform, _) = start_platform().await;
    let client = PlatformClient::new(platform.addr(), "writer".to_owned(), SHORT_TIMEOUT);
    let delay = SHORT_TIMEOUT * 3;
    platform
        .faults()
        .add(FaultRule::new("/objects/", FaultEffect::Delay(delay)).with_remaining(1));
    let written = client.create("kind/a", &json!(1)).await;
    assert!(matches!(written, Err(PlatformError::OutcomeUnknown { .. })));
    assert_eq!(platform.object("kind/a"), None);
    let watching = PlatformClient::new(platform.addr(), "writer".to_owned(), SHORT_TIMEOUT);
    let changes = watching.watch("kind/", lagoonlift_platform::Version(0), delay * 20);
    assert_eq!(changes.await.expect("reachable").changes.len(), 1);
}

#[tokio::test]
async fn a_platform_that_is_down_is_unavailable_and_comes_back() {
    let (platform, client) = start_platform().await;
    client.create("kind/a", &json!(1)).await.expect("created");
    platform.faults().set_down(true);
    let refused = loop {
        match client.create("kind/b", &json!(1)).await {
            // The connection that was open breaks off first.
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
    assert_eq!(object.expect("it was kept").value, json!(1));
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
async fn an_older_restart_shows_older_objects_and_newer_versions() {
    let (platform, client) = start_platform().await;
    let first = client.create("kind/a", &json!(1)).await.expect("created");
    let snapshot = platform.snapshot();
    let second = client.update("kind/a", &json!(2), first).await;
    platform.restore(snapshot);
    let object = client.get("kind/a").await.expect("reachable");
    let object = object.expect("it exists");
    assert_eq!((object.value, object.version), (json!(1), first));
    let third = client.update("kind/a", &json!(3), first).await;
    assert!(third.expect("current") > second.expect("was current"));
}
