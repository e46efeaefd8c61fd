//! What the entry processes are told about upstreams.

use crate::support::{
    GUARD, publish_engine, settings, start_platform, start_steward, upstream_name,
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

/// A leaving upstream gets no new work after this time.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn here() -> DataCentreName {
    DataCentreName::new("dc1").expect("a valid name")
}

/// Returns whether the only engine is known with this availability.
fn is_told(fleets: &BTreeMap<DataCentreName, FleetView>, availability: Availability) -> bool {
    let view = fleets.get(&here());
    let status = view.and_then(|view| view.upstreams.get(&upstream_name()));
    status.is_some_and(|status| status.availability == availability)
}

/// Seen failing with the list read every ten seconds.
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
    let serving = fleets.wait_for(|fleets| is_told(fleets, Availability::Serving));
    timeout(GUARD, serving)
        .await
        .expect("no hang")
        .expect("running");

    platform.set_upstream("e1", FleetEntry::leaving("dc1"));
    let begin = Instant::now();
    let leaving = fleets.wait_for(|fleets| is_told(fleets, Availability::Leaving));
    timeout(GUARD, leaving)
        .await
        .expect("no hang")
        .expect("running");
    assert!(begin.elapsed() < LEAVING_LIMIT, "{:?}", begin.elapsed());
}

/// Seen failing with nothing taken over from the earlier holder's view.
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
    let told = fleets.wait_for(|fleets| is_told(fleets, Availability::Leaving));
    timeout(GUARD, told)
        .await
        .expect("no hang")
        .expect("running");
    let epoch = holder.authority().epoch();
    platform.remove_upstream("e1");
    holder.shutdown().await;
    let view = fleets.wait_for(|fleets| {
        let view = fleets.get(&here());
        view.map(|view| view.epoch) > epoch
    });
    let view = timeout(GUARD, view).await.expect("no hang");
    let view = view.expect("running").clone();
    assert!(is_told(&view, Availability::Leaving), "{view:?}");
}

/// Seen failing with the list taken as it is: an upstream that had gone came
/// back to service.
#[test]
fn an_upstream_that_left_the_list_stays_out_of_service() {
    let mut composer = FleetComposer::new(here());
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
