//! Tests of upstream orders, the fleet list and access to weights.

use crate::start_platform;
use lagoonlift_platform::PlatformError;
use lagoonlift_platform::wire::{
    FleetState, SupplyChange, SupplyRequest, UpstreamOrder, UpstreamSupply, WeightRequest,
};
use lagoonlift_standins::platform::{FleetEntry, OrderedEngine};
use std::time::Duration;

#[tokio::test]
async fn an_order_for_upstreams_arrives_as_it_was_sent() {
    let (platform, client) = start_platform().await;
    let order = UpstreamOrder {
        change: SupplyChange::Add(SupplyRequest {
            count: 2,
            model: "large".to_owned(),
            supply: UpstreamSupply::Reclaimable,
        }),
        data_centre: "dc1".to_owned(),
        epoch: 3,
        id: "order-1".to_owned(),
    };
    client.order_upstreams(&order).await.expect("accepted");
    let received = platform.upstream_orders();
    assert_eq!(
        received,
        [serde_json::to_value(&order).expect("the order is serializable")]
    );
}

#[tokio::test]
async fn a_frozen_fleet_list_is_stale() {
    let (platform, client) = start_platform().await;
    platform.set_host("host1", FleetEntry::live("dc1"));
    let engine = OrderedEngine {
        order: "order-1".to_owned(),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        models: vec!["large".to_owned()],
        is_reclaimable: true,
    };
    platform.set_upstream("e1", FleetEntry::live("dc1").with_ordered(engine));
    platform.faults().set_fleet_frozen(true);
    platform.set_host("host1", FleetEntry::leaving("dc1"));
    let fleet = client.fleet().await.expect("reachable");
    assert_eq!(fleet.hosts[0].state, FleetState::Live);
    let ordered = fleet.upstreams[0].ordered.as_ref();
    assert_eq!(
        ordered.expect("the upstream was ordered").address,
        "127.0.0.1:9"
    );

    platform.faults().set_fleet_frozen(false);
    let fleet = client.fleet().await.expect("reachable");
    assert_eq!(fleet.hosts[0].state, FleetState::Leaving);
}

#[tokio::test]
async fn the_weight_store_returns_when_to_retry() {
    let (platform, client) = start_platform().await;
    platform.set_weight_budget(Some(1));
    let request = WeightRequest {
        model: "large".to_owned(),
        upstream: "e1".to_owned(),
    };
    client.acquire_weights(&request).await.expect("granted");
    let refused = client.acquire_weights(&request).await;
    let retry_after = Duration::from_secs(1);
    assert_eq!(refused, Err(PlatformError::RateLimited { retry_after }));
}
