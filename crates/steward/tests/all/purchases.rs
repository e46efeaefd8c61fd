//! Upstreams are ordered exactly once even if requests or responses are lost.

use crate::support::{publish, settings, start_platform, start_steward, wait_until};
use lagoonlift_standins::platform::{FaultEffect, FaultRule, PlatformStandin};
use lagoonlift_types::DataCentreCapacity;
use serde_json::{Value, json};

fn publish_limit(platform: &PlatformStandin, order_limit: u32) {
    let capacity = DataCentreCapacity {
        order_limit,
        ..DataCentreCapacity::default()
    };
    publish(platform, 1, capacity);
}

fn request_upstreams(platform: &PlatformStandin, id: &str, count: u32) {
    let add = json!({ "count": count, "model": "large", "supply": "reclaimable" });
    let request = json!({ "change": { "add": add } });
    platform.put_object(&format!("upstream-requests/dc1/{id}"), request);
}

fn purchase_state(platform: &PlatformStandin, id: &str) -> Value {
    let record = platform.object(&format!("purchases/dc1/{id}"));
    record.map_or(Value::Null, |record| record["state"].clone())
}

/// Fails if each attempt gets a new identifier.
#[tokio::test]
async fn a_lost_answer_repeats_the_same_order() {
    let platform = start_platform().await;
    publish_limit(&platform, 4);
    let lost = FaultRule::new("/upstream-orders", FaultEffect::LoseAnswer);
    platform.faults().add(lost.with_remaining(2));
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_upstreams(&platform, "p1", 2);
    wait_until(|| purchase_state(&platform, "p1") == "accepted").await;
    let orders = platform.upstream_orders();
    assert_eq!(orders.len(), 3, "two responses were lost");
    assert!(orders.iter().all(|order| *order == orders[0]), "{orders:?}");
    assert_eq!(orders[0]["id"], "p1");
}

/// Fails if the order is sent before it is recorded.
#[tokio::test]
async fn nothing_is_ordered_before_it_is_recorded() {
    let platform = start_platform().await;
    publish_limit(&platform, 4);
    let lost = FaultRule::new("/objects/purchases/", FaultEffect::LoseRequest);
    platform.faults().add(lost);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_upstreams(&platform, "p1", 2);
    let writes = platform.calls().writes;
    wait_until(|| platform.calls().writes > writes + 4).await;
    assert_eq!(platform.upstream_orders(), Vec::<Value>::new());
    platform.faults().clear();
    wait_until(|| purchase_state(&platform, "p1") == "accepted").await;
    assert_eq!(platform.upstream_orders().len(), 1);
}

#[tokio::test]
async fn an_order_that_another_holder_recorded_is_finished() {
    let platform = start_platform().await;
    publish_limit(&platform, 4);
    let order = json!({
        "id": "p0", "data_centre": "dc1", "epoch": 3, "change": { "release": "e9" },
    });
    platform.put_object(
        "purchases/dc1/p0",
        json!({ "order": order, "state": "recorded" }),
    );
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    wait_until(|| purchase_state(&platform, "p0") == "accepted").await;
    assert_eq!(platform.upstream_orders(), [order]);
}

/// Fails if the order limit isn't enforced.
#[tokio::test]
async fn no_more_is_ordered_than_the_limit_allows() {
    let platform = start_platform().await;
    publish_limit(&platform, 3);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_upstreams(&platform, "p1", 2);
    wait_until(|| purchase_state(&platform, "p1") == "accepted").await;
    request_upstreams(&platform, "p2", 2);
    wait_until(|| purchase_state(&platform, "p2") == "refused").await;
    assert_eq!(platform.upstream_orders().len(), 1);
}

/// Guards against an odd object of another writer that keeps all orders from being sent, or that
/// is taken for another object because of its name.
#[tokio::test]
async fn an_odd_object_keeps_no_orders_from_being_sent() {
    let platform = start_platform().await;
    publish_limit(&platform, 4);
    for name in ["a", "a#b", "a?b=c", "p1#", "..", "", "a b", "%70%31"] {
        platform.put_object(&format!("purchases/dc1/{name}"), json!({ "odd": name }));
        let key = format!("upstream-requests/dc1/{name}");
        platform.put_object(&key, json!({ "odd": name }));
    }
    request_upstreams(&platform, "p2#odd", 1);
    request_upstreams(&platform, "../p2", 1);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_upstreams(&platform, "p1", 1);
    wait_until(|| purchase_state(&platform, "p1") == "accepted").await;
    request_upstreams(&platform, "p3", 1);
    wait_until(|| purchase_state(&platform, "p3") == "accepted").await;
    let ids: Vec<Value> = platform
        .upstream_orders()
        .iter()
        .map(|one| one["id"].clone())
        .collect();
    assert_eq!(ids, ["p1", "p3"]);
    assert!(platform.object("upstream-requests/dc1/p2#odd").is_some());
}
