//! Orders of a running steward to an engine, with faults.

use crate::support::{
    HANG_TIMEOUT, publish_engine, settings, start_platform, start_steward, upstream_name,
    wait_until,
};
use lagoonlift_standins::engine::{EngineChange, EngineConfig, EngineStandin};
use lagoonlift_standins::platform::{FaultEffect, FaultRule, FleetEntry, PlatformStandin};
use lagoonlift_steward::Steward;
use lagoonlift_types::{Availability, DataCentreName, FencingSupport, ModelName, UpstreamRole};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::timeout;

fn start_engine(fencing: FencingSupport) -> EngineStandin {
    start_slow_engine(fencing, Duration::from_millis(50))
}

fn start_slow_engine(fencing: FencingSupport, order_duration: Duration) -> EngineStandin {
    let model = ModelName::new("large").expect("a valid name");
    let mut config = EngineConfig::new(BTreeSet::from([model]));
    config.fencing = fencing;
    config.order_duration = order_duration;
    let listen = "127.0.0.1:0".parse().expect("an address");
    EngineStandin::start(listen, config).expect("a free port")
}

fn request_role(platform: &PlatformStandin, id: &str, role: &str) {
    let request = json!({ "id": id, "change": { "change-role": role } });
    platform.put_object("engine-requests/dc1/e1", request);
}

fn order_state(platform: &PlatformStandin) -> Option<(String, Value)> {
    let record = platform.object("orders/dc1/e1")?;
    let id = record["id"].as_str()?.to_owned();
    Some((id, record["result"].clone()))
}

fn is_done(platform: &PlatformStandin, id: &str) -> bool {
    order_state(platform) == Some((id.to_owned(), json!("done")))
}

async fn wait_for_lease(steward: &Steward) {
    wait_until(|| steward.authority().epoch().is_some()).await;
}

fn accepted_ids(engine: &EngineStandin) -> Vec<String> {
    let orders = engine.accepted_orders();
    orders.into_iter().map(|order| order.id).collect()
}

#[tokio::test]
async fn a_requested_role_change_is_carried_out_and_the_view_follows() {
    let platform = start_platform().await;
    let engine = start_engine(FencingSupport::Checked);
    publish_engine(&platform, engine.addr(), FencingSupport::Checked);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_role(&platform, "r1", "decode");
    wait_until(|| is_done(&platform, "r1")).await;
    assert_eq!(engine.state().role, UpstreamRole::Decode);
    wait_until(|| platform.object("engine-requests/dc1/e1").is_none()).await;
    let mut fleets = steward.fleets();
    let here = DataCentreName::new("dc1").expect("a valid name");
    let serves = fleets.wait_for(|fleets| {
        let status = fleets
            .get(&here)
            .and_then(|view| view.upstreams.get(&upstream_name()));
        status.is_some_and(|status| {
            let role = format!("{:?}", status.upstream.kind).contains("Decode");
            role && status.availability == Availability::Serving
        })
    });
    timeout(HANG_TIMEOUT, serves)
        .await
        .expect("no timeout")
        .expect("a running steward");
}

/// Fails if the order is abandoned when the response to writing its record is lost.
#[tokio::test]
async fn an_order_written_with_a_lost_answer_is_sent_once() {
    let platform = start_platform().await;
    let engine = start_engine(FencingSupport::Checked);
    publish_engine(&platform, engine.addr(), FencingSupport::Checked);
    let lost = FaultRule::new("/objects/orders/", FaultEffect::LoseAnswer);
    platform.faults().add(lost.with_remaining(2));
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_role(&platform, "r1", "decode");
    wait_until(|| is_done(&platform, "r1")).await;
    assert_eq!(accepted_ids(&engine), ["r1"]);
}

/// Fails if a successor records an open order as failed instead of completing it.
#[tokio::test]
async fn a_successor_finishes_the_recorded_order_before_another() {
    let platform = start_platform().await;
    let engine = start_engine(FencingSupport::Checked);
    publish_engine(&platform, engine.addr(), FencingSupport::Checked);
    let open = json!({
        "id": "r0", "epoch": 0, "change": { "change-role": "prefill" }, "result": null,
    });
    platform.put_object("orders/dc1/e1", open);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_role(&platform, "r1", "decode");
    wait_until(|| is_done(&platform, "r1")).await;
    assert_eq!(accepted_ids(&engine), ["r0", "r1"]);
    let changes = engine.accepted_orders();
    assert_eq!(
        changes[0].change,
        EngineChange::ChangeRole(UpstreamRole::Prefill)
    );
}

/// Fails if an order counts as done when the engine doesn't respond.
#[tokio::test]
async fn an_engine_that_crashes_in_a_change_is_read_back() {
    let platform = start_platform().await;
    let mut engine = start_slow_engine(FencingSupport::Checked, HANG_TIMEOUT);
    publish_engine(&platform, engine.addr(), FencingSupport::Checked);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_role(&platform, "r1", "decode");
    wait_until(|| !engine.accepted_orders().is_empty()).await;
    engine.crash();
    let fleet_lists = platform.calls().fleet_lists;
    wait_until(|| platform.calls().fleet_lists > fleet_lists + 1).await;
    assert_eq!(order_state(&platform), Some(("r1".to_owned(), Value::Null)));
    while engine.restart().is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let failed = Some(("r1".to_owned(), json!("failed")));
    wait_until(|| order_state(&platform) == failed).await;
    assert_eq!(engine.state().role, UpstreamRole::Mixed);
}

/// Fails if the handover counts as complete as soon as the lease is acquired.
#[tokio::test]
async fn an_engine_that_ignores_fencing_waits_for_the_step_down() {
    let platform = start_platform().await;
    platform.set_host("h1", FleetEntry::live("dc1"));
    platform.set_host("h0", FleetEntry::live("dc1"));
    let engine = start_engine(FencingSupport::Ignored);
    publish_engine(&platform, engine.addr(), FencingSupport::Ignored);
    let h0 =
        json!({ "process": { "host": "h0", "role": "steward" }, "incarnation": 1, "nonce": 1 });
    let lease = json!({
        "epoch": 4, "identity": h0, "write": 1, "term_ms": 100, "released": false,
        "predecessors": [],
    });
    platform.put_object("leases/dc1", lease);
    let steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_role(&platform, "r1", "decode");
    wait_for_lease(&steward).await;
    // Leaves enough time for an order to be sent by mistake.
    wait_until(|| platform.calls().fleet_lists > 2).await;
    assert_eq!(accepted_ids(&engine), Vec::<String>::new());
    assert_eq!(order_state(&platform), None);

    platform.put_object("step-downs/dc1/4", json!({ "epoch": 4, "identity": h0 }));
    wait_until(|| is_done(&platform, "r1")).await;
    assert_eq!(accepted_ids(&engine), ["r1"]);
}

/// Fails if the release is written without `released`.
#[tokio::test]
async fn a_graceful_step_down_lets_the_successor_order_at_once() {
    let platform = start_platform().await;
    platform.set_host("h1", FleetEntry::live("dc1"));
    platform.set_host("h2", FleetEntry::live("dc1"));
    let engine = start_engine(FencingSupport::Ignored);
    publish_engine(&platform, engine.addr(), FencingSupport::Ignored);
    let first = start_steward(&settings("h1", platform.addr(), &[])).await;
    wait_for_lease(&first).await;
    let seeds = [first.peer_addr()];
    let second = start_steward(&settings("h2", platform.addr(), &seeds)).await;
    first.shutdown().await;
    let lease = platform.object("leases/dc1").expect("the lease exists");
    let given_up = lease["released"] == true || lease["identity"]["process"]["host"] == "h2";
    assert!(given_up, "{lease}");
    wait_for_lease(&second).await;
    request_role(&platform, "r1", "decode");
    wait_until(|| is_done(&platform, "r1")).await;
    let lease = platform.object("leases/dc1").expect("the lease exists");
    assert_eq!(lease["predecessors"], json!([]));
}

/// Fails if the engine isn't drained before the order is sent.
#[tokio::test]
async fn a_role_change_waits_for_the_streams_of_the_engine() {
    let platform = start_platform().await;
    let model = ModelName::new("large").expect("a valid name");
    let mut config = EngineConfig::new(BTreeSet::from([model]));
    config.token_interval = Duration::from_millis(20);
    let listen = "127.0.0.1:0".parse().expect("an address");
    let engine = EngineStandin::start(listen, config).expect("a free port");
    publish_engine(&platform, engine.addr(), FencingSupport::Checked);
    let body = json!({
        "model": "large", "stream": true, "max_tokens": 100,
        "messages": [{ "role": "user", "content": "drains" }],
    });
    let url = format!("http://{}/v1/chat/completions", engine.addr());
    let stream = reqwest::Client::new().post(url).json(&body).send();
    let stream = stream.await.expect("the engine responds");
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    request_role(&platform, "r1", "decode");
    let text = stream.text().await.expect("a complete stream");
    assert!(text.contains("[DONE]"));
    assert_eq!(accepted_ids(&engine), Vec::<String>::new());
    wait_until(|| is_done(&platform, "r1")).await;
}

/// Fails if a model is loaded without the platform's permission to read its weights.
#[tokio::test]
async fn a_model_is_loaded_only_when_the_weight_store_allows_it() {
    let platform = start_platform().await;
    platform.set_weight_budget(Some(0));
    let engine = start_engine(FencingSupport::Checked);
    publish_engine(&platform, engine.addr(), FencingSupport::Checked);
    let _steward = start_steward(&settings("h1", platform.addr(), &[])).await;
    let request = json!({ "id": "r1", "change": { "load-model": "small" } });
    platform.put_object("engine-requests/dc1/e1", request);
    wait_until(|| !platform.weight_requests().is_empty()).await;
    assert_eq!(accepted_ids(&engine), Vec::<String>::new());
    platform.set_weight_budget(Some(1));
    wait_until(|| is_done(&platform, "r1")).await;
    assert_eq!(accepted_ids(&engine), ["r1"]);
}
