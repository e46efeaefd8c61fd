//! The fleet view of the upstreams that entry processes get.

use crate::support::{
    HANG_TIMEOUT, publish_engine, settings, start_platform, start_steward, upstream_name,
};
use lagoonlift_platform::wire::{FleetList, FleetState, FleetUpstream};
use lagoonlift_standins::platform::FleetEntry;
use lagoonlift_steward::FleetComposer;
use lagoonlift_types::{
    Availability, DataCentreName, FencingSupport, FleetView, Supply, Upstream, UpstreamKind,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time after which a leaving upstream must get no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn data_centre() -> DataCentreName {
    DataCentreName::new("dc1").expect("a valid name")
}

/// Returns whether the view shows the only engine with this availability.
fn has_availability(
    fleets: &BTreeMap<DataCentreName, FleetView>,
    availability: Availability,
) -> bool {
    let view = fleets.get(&data_centre());
    let status = view.and_then(|view| view.upstreams.get(&upstream_name()));
    status.is_some_and(|status| status.availability == availability)
}

/// Fails if the fleet list is read only every ten seconds.
#[tokio::test]
async fn a_leaving_upstream_is_told_within_three_seconds() {
    let platform = start_platform().await;
    platform.set_upstream("e1", FleetEntry::live("dc1"));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    publish_engine(&platform, address, FencingSupport::Checked);
    let holder = start_steward(&settings("h1", platform.addr(), &[])).await;
    let seeds = [holder.peer_addr()];
    let other = start_steward(&settings("h2", platform.addr(), &seeds)).await;
    let mut fleets = other.fleets();
    let serving = fleets.wait_for(|fleets| has_availability(fleets, Availability::Serving));
    timeout(HANG_TIMEOUT, serving)
        .await
        .expect("no timeout")
        .expect("a running steward");

    platform.set_upstream("e1", FleetEntry::leaving("dc1"));
    let begin = Instant::now();
    let leaving = fleets.wait_for(|fleets| has_availability(fleets, Availability::Leaving));
    timeout(HANG_TIMEOUT, leaving)
        .await
        .expect("no timeout")
        .expect("a running steward");
    assert!(begin.elapsed() < LEAVING_LIMIT, "{:?}", begin.elapsed());
}

/// Fails if a successor doesn't carry over the previous holder's view: the upstream
/// is no longer listed then, so it would return to service.
#[tokio::test]
async fn a_successor_knows_which_upstream_left() {
    let platform = start_platform().await;
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    publish_engine(&platform, address, FencingSupport::Checked);
    platform.set_upstream("e1", FleetEntry::leaving("dc1"));
    let holder = start_steward(&settings("h1", platform.addr(), &[])).await;
    let seeds = [holder.peer_addr()];
    let successor = start_steward(&settings("h2", platform.addr(), &seeds)).await;
    let mut fleets = successor.fleets();
    let leaving = fleets.wait_for(|fleets| has_availability(fleets, Availability::Leaving));
    timeout(HANG_TIMEOUT, leaving)
        .await
        .expect("no timeout")
        .expect("a running steward");
    let epoch = holder.authority().epoch();
    platform.remove_upstream("e1");
    holder.shutdown().await;
    let view = fleets.wait_for(|fleets| {
        let view = fleets.get(&data_centre());
        view.map(|view| view.epoch) > epoch
    });
    let view = timeout(HANG_TIMEOUT, view).await.expect("no timeout");
    let view = view.expect("a running steward").clone();
    assert!(has_availability(&view, Availability::Leaving), "{view:?}");
}

/// Fails if the fleet list alone determines the availability: an upstream that
/// left the list would return to service.
#[test]
fn an_upstream_that_left_the_list_stays_out_of_service() {
    let mut composer = FleetComposer::new(data_centre());
    let service = Upstream {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        kind: UpstreamKind::Service,
        supply: Supply::Reserved,
    };
    composer.set_configured(BTreeMap::from([(upstream_name(), service)]));
    let list = |state: Option<FleetState>| FleetList {
        hosts: Vec::new(),
        upstreams: state
            .into_iter()
            .map(|state| FleetUpstream {
                data_centre: "dc1".to_owned(),
                name: "e1".to_owned(),
                ordered: None,
                state,
            })
            .collect(),
    };
    let availability = |composer: &FleetComposer| {
        let upstreams = composer.compose();
        upstreams[&upstream_name()].availability
    };
    assert_eq!(availability(&composer), Availability::Serving);
    composer.set_platform_list(&list(Some(FleetState::Leaving)));
    assert_eq!(availability(&composer), Availability::Leaving);
    composer.set_platform_list(&list(None));
    assert_eq!(availability(&composer), Availability::Leaving);
    composer.set_platform_list(&list(Some(FleetState::Live)));
    assert_eq!(availability(&composer), Availability::Serving);
}
