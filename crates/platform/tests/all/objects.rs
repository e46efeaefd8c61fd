//! Tests of conditional writes, lists and watches.

use crate::start_platform;
use lagoonlift_platform::{PlatformError, Version};
use serde_json::json;
use std::time::Duration;

#[tokio::test]
async fn a_conflict_returns_the_current_value() {
    let (_platform, client) = start_platform().await;
    let first = client.create("kind/a", &json!(1)).await.expect("created");
    let second = client.update("kind/a", &json!(2), first).await;
    let second = second.expect("the version is current");

    let refused = client.update("kind/a", &json!(3), first).await;

    let Err(PlatformError::Conflict { current }) = refused else {
        panic!("expected a conflict, got {refused:?}");
    };
    let current = current.expect("the object exists");
    assert_eq!((current.version, current.value), (second, json!(2)));
}

#[tokio::test]
async fn an_object_is_created_once() {
    let (_platform, client) = start_platform().await;
    client.create("kind/a", &json!(1)).await.expect("created");
    let recreated = client.create("kind/a", &json!(2)).await;
    assert!(matches!(recreated, Err(PlatformError::Conflict { .. })));
    let object = client.get("kind/a").await.expect("reachable");
    assert_eq!(object.expect("the object exists").value, json!(1));
}

#[tokio::test]
async fn a_deleted_object_conflicts_without_a_current_value() {
    let (_platform, client) = start_platform().await;
    let version = client.create("kind/a", &json!(1)).await.expect("created");
    client.delete("kind/a", version).await.expect("deleted");
    assert_eq!(client.get("kind/a").await, Ok(None));
    let refused = client.update("kind/a", &json!(2), version).await;
    assert_eq!(refused, Err(PlatformError::Conflict { current: None }));
}

#[tokio::test]
async fn a_list_contains_only_keys_with_its_prefix() {
    let (_platform, client) = start_platform().await;
    for key in ["kind/b", "kind/a", "kindred/c", "other"] {
        client.create(key, &json!(key)).await.expect("created");
    }
    let list = client.list("kind/").await.expect("reachable");
    let keys: Vec<_> = list.objects.iter().map(|o| o.key.as_str()).collect();
    assert_eq!(keys, ["kind/a", "kind/b"]);
    assert_eq!(list.version, Version(4));
}

#[tokio::test]
async fn a_watch_that_starts_after_a_list_misses_nothing() {
    let (platform, client) = start_platform().await;
    let list = client.list("kind/").await.expect("reachable");
    let watch = client.watch("kind/", list.version, Duration::from_secs(30));
    let write = async {
        platform.put_object("other", json!(0));
        platform.put_object("kind/a", json!(1))
    };
    let (changes, version) = tokio::join!(watch, write);
    let changes = changes.expect("reachable");
    assert_eq!(changes.version, Version(version));
    assert_eq!(changes.changes.len(), 1);
    assert_eq!(changes.changes[0].value, Some(json!(1)));
}

#[tokio::test]
async fn a_watch_without_changes_returns_none_after_its_wait() {
    let (_platform, client) = start_platform().await;
    let changes = client.watch("kind/", Version(0), Duration::from_millis(20));
    let changes = changes.await.expect("reachable");
    assert!(changes.changes.is_empty());
}
