//! An engine never receives conflicting orders when stewards are killed or suspended.

use crate::support::stewards::{StewardGroup, start_engine};
use crate::support::{ProcessSignal, eventually};
use lagoonlift::types::FencingSupport;
use lagoonlift_standins::engine::EngineStandin;
use serde_json::json;
use std::time::Duration;

fn request_role(group: &StewardGroup, id: &str, role: &str) {
    let request = json!({ "id": id, "change": { "change-role": role } });
    group.platform.put_object("engine-requests/dc1/e1", request);
}

async fn wait_for_accepted(engine: &EngineStandin) {
    eventually("the engine to accept an order", || async {
        (!engine.accepted_orders().is_empty()).then_some(())
    })
    .await;
}

fn accepted_ids(engine: &EngineStandin) -> Vec<String> {
    let orders = engine.accepted_orders();
    orders.into_iter().map(|order| order.id).collect()
}

/// Guards against a second execution of an order. The test failed with a successor that
/// assigned a new identifier to the open order that it took over.
#[tokio::test]
async fn the_order_of_a_killed_steward_is_finished_under_its_identifier() {
    let mut group = StewardGroup::start().await;
    let engine = start_engine(FencingSupport::Checked, Duration::from_secs(8));
    group.publish(Some((&engine, FencingSupport::Checked)));
    group.add_steward();
    let epoch = group.wait_for_holder(0).await;
    group.add_steward();
    request_role(&group, "r1", "decode");
    wait_for_accepted(&engine).await;
    group.steward(0).signal(ProcessSignal::Kill);
    request_role(&group, "r2", "prefill");
    let done = |record: &serde_json::Value| record["id"] == "r2" && record["result"] == "done";
    group.wait_for_object("orders/dc1/e1", done).await;
    assert_eq!(accepted_ids(&engine), ["r1", "r2"]);
    let fencing: Vec<u64> = engine
        .accepted_orders()
        .iter()
        .map(|o| o.fencing.0)
        .collect();
    assert_eq!(fencing, [epoch, epoch + 1]);
}

/// Guards against orders while a former lease holder may still send its own. The test
/// failed when the handover was considered complete at once: the engine received the
/// order while the former holder was suspended.
#[tokio::test]
async fn an_engine_that_ignores_fencing_waits_for_a_sleeping_holder() {
    let mut group = StewardGroup::start().await;
    let engine = start_engine(FencingSupport::Ignored, Duration::from_millis(50));
    group.publish(Some((&engine, FencingSupport::Ignored)));
    group.add_steward();
    group.wait_for_holder(0).await;
    group.add_steward();
    group.steward(0).signal(ProcessSignal::Stop);
    let epoch = group.wait_for_holder(1).await;
    request_role(&group, "r1", "decode");
    // After several reads of the fleet list, the successor could have sent the order.
    let lists = group.platform.calls().fleet_lists;
    eventually("further reads of the fleet list", || async {
        (group.platform.calls().fleet_lists > lists + 3).then_some(())
    })
    .await;
    assert_eq!(accepted_ids(&engine), Vec::<String>::new());
    assert_eq!(group.platform.object("orders/dc1/e1"), None);

    group.steward(0).signal(ProcessSignal::Continue);
    let done = |record: &serde_json::Value| record["result"] == "done";
    group.wait_for_object("orders/dc1/e1", done).await;
    let orders = engine.accepted_orders();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].fencing.0, epoch);
}
