//! Whole nodes on loopback.

use crate::support::{
    config, configuration, cut, data_centre, range_of, record, start, start_all, wait_for,
    within_guard,
};
use lagoonlift_hosts::{CopyError, MemberState, OfferOutcome, PeerCounter};
use lagoonlift_types::{Epoch, FleetView, Revision};
use std::collections::BTreeMap;

#[tokio::test]
async fn members_learn_of_each_other_from_one_seed() {
    let nodes = start_all(4).await;
    for node in &nodes {
        wait_for(&mut node.members(), |members| members.len() == 3).await;
    }
}

#[tokio::test]
async fn a_configuration_reaches_every_node() {
    let nodes = start_all(4).await;
    for revision in 1..=3 {
        let workspaces: &[(&str, &[&str])] = &[("plumbers", &["secret"]), ("solar", &[])];
        let next = configuration(revision, &workspaces[..(revision as usize % 2) + 1]);
        let (manifest, chunks) = cut(&next);
        assert_eq!(
            nodes[1].store().offer(manifest, chunks),
            OfferOutcome::Accepted
        );
        for node in &nodes {
            let mut receiver = node.store().subscribe();
            let held = wait_for(&mut receiver, |held| held.revision == Revision(revision)).await;
            assert_eq!(*held, next);
        }
    }
}

#[tokio::test]
async fn a_node_that_starts_late_gets_the_configuration_from_a_neighbour() {
    let first = start(config("h0", &[])).await;
    let (manifest, chunks) = cut(&configuration(9, &[("plumbers", &["secret"])]));
    first.store().offer(manifest, chunks);
    let late = start(config("h1", &[first.local_addr()])).await;
    let mut receiver = late.store().subscribe();
    wait_for(&mut receiver, |held| held.revision == Revision(9)).await;
}

#[tokio::test]
async fn a_fleet_view_reaches_every_node() {
    let nodes = start_all(3).await;
    let view = FleetView {
        data_centre: data_centre("dc1"),
        epoch: Epoch(3),
        version: 1,
        upstreams: BTreeMap::new(),
    };
    nodes[2].publish_fleet(view.clone());
    for node in &nodes {
        let mut receiver = node.fleets();
        wait_for(&mut receiver, |views| {
            views.values().any(|held| *held == view)
        })
        .await;
    }
}

#[tokio::test]
async fn a_usage_record_is_held_by_another_host_when_copying_returns() {
    let nodes = start_all(2).await;
    wait_for(&mut nodes[0].members(), |members| members.len() == 1).await;
    let copied = record("h0", 0);
    let result = within_guard(nodes[0].copy_usage(copied.clone())).await;
    assert_eq!(result, Ok(()));
    let held = nodes[1].held_copies();
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].range, range_of(&[copied]));
}

#[tokio::test]
async fn a_record_without_a_neighbour_is_said_to_have_no_copy() {
    let node = start(config("h0", &[])).await;
    let result = within_guard(node.copy_usage(record("h0", 0))).await;
    assert_eq!(result, Err(CopyError::NoPeer));
}

#[tokio::test]
async fn a_leaving_member_is_known_as_such() {
    let nodes = start_all(3).await;
    for node in &nodes {
        wait_for(&mut node.members(), |members| members.len() == 2).await;
    }
    nodes[2].announce_draining().await;
    for node in &nodes[..2] {
        let leaving = |member: &lagoonlift_hosts::Member| member.state == MemberState::Draining;
        wait_for(&mut node.members(), |members| members.iter().any(leaving)).await;
    }
}

#[tokio::test]
async fn a_node_with_another_key_is_refused_and_counted() {
    let first = start(config("h0", &[])).await;
    let mut stranger_config = config("h1", &[first.local_addr()]);
    stranger_config.key = [8; 32];
    let _stranger = start(stranger_config).await;
    let counters = first.counters();
    within_guard(async {
        while counters.get(PeerCounter::DatagramsUnauthenticated) == 0 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert!(first.members().borrow().is_empty());
}

/// Two processes of one host die together.
///
/// Seen failing with hosts not compared.
#[tokio::test]
async fn a_process_of_the_same_host_is_no_second_copy() {
    let first = start(config("h0", &[])).await;
    let mut twin = config("h0", &[first.local_addr()]);
    twin.process.role = lagoonlift_types::ProcessRole::Steward;
    let twin = start(twin).await;
    wait_for(&mut twin.members(), |members| members.len() == 1).await;
    let mut record = record("h0", 0);
    record.process.role = lagoonlift_types::ProcessRole::Steward;
    let result = within_guard(twin.copy_usage(record)).await;
    assert_eq!(result, Err(CopyError::NoPeer));
}
