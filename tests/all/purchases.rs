//! Upstreams are ordered once, also when the steward is killed before it learns the
//! result.

use crate::support::ProcessSignal;
use crate::support::stewards::StewardGroup;
use lagoonlift_standins::platform::{FaultEffect, FaultRule};
use serde_json::json;

/// Guards against an order that the platform can't recognize as a retry. The test failed
/// when the successor put its own epoch into the order that it retried.
#[tokio::test]
async fn the_order_of_a_killed_steward_is_repeated_unchanged() {
    let mut group = StewardGroup::start().await;
    group.publish(None);
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    let lost = FaultRule::new("/upstream-orders", FaultEffect::LoseAnswer);
    group.platform.faults().add(lost);
    let add = json!({ "count": 2, "model": "tide-7b", "supply": "reserved" });
    let request = json!({ "change": { "add": add } });
    group
        .platform
        .put_object("upstream-requests/dc1/p1", request);
    group.wait_for_object("purchases/dc1/p1", |_| true).await;
    group.steward(0).signal(ProcessSignal::Kill);
    group.wait_for_holder(1).await;
    group.platform.faults().clear();
    let accepted = |record: &serde_json::Value| record["state"] == "accepted";
    group.wait_for_object("purchases/dc1/p1", accepted).await;
    let orders = group.platform.upstream_orders();
    assert!(!orders.is_empty());
    for order in orders {
        assert_eq!(order["id"], "p1");
        assert_eq!(order["epoch"], epoch);
        assert_eq!(order["change"]["add"]["count"], 2);
    }
}
