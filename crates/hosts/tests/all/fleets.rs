//! Fleet views and the changes between them.

use crate::support::{data_centre, print_seed};
use lagoonlift_hosts::{FleetVersion, FleetViewStore};
use lagoonlift_types::{
    Availability, Epoch, FleetView, Supply, Upstream, UpstreamKind, UpstreamName, UpstreamStatus,
};
use quickcheck::{Gen, QuickCheck};

const SCHEDULES: u64 = 3_000;
const VIEWS: usize = 30;
const UPSTREAMS: u8 = 6;

/// Returns the view of a version; the same for each call.
fn view(epoch: u8, version: u8) -> FleetView {
    let present = |index: &u8| !(version / 3 + index).is_multiple_of(4);
    let availability = |index: u8| match (version + index) % 3 {
        0 => Availability::Serving,
        1 => Availability::Draining,
        _ => Availability::Away,
    };
    let status = |index: u8| {
        let name = UpstreamName::new(&format!("u{index}")).expect("a valid name");
        let upstream = Upstream {
            address: "127.0.0.1:9000".parse().expect("a valid address"),
            kind: UpstreamKind::Service,
            supply: Supply::Reserved,
        };
        let availability = availability(index);
        (
            name,
            UpstreamStatus {
                upstream,
                availability,
            },
        )
    };
    FleetView {
        data_centre: data_centre("dc1"),
        epoch: Epoch(u64::from(epoch)),
        version: u64::from(version),
        upstreams: (0..UPSTREAMS).filter(present).map(status).collect(),
    }
}

/// Seen failing with upstreams that are gone left out of the recorded steps.
#[test]
fn changes_lead_from_any_lately_held_view_to_the_current_one() {
    fn holds(views: Vec<(u8, u8)>, start: usize) -> bool {
        let (here, there) = (FleetViewStore::new(), FleetViewStore::new());
        let mut held = Vec::new();
        for (epoch, version) in views {
            let view = view(epoch % 3, version % 24);
            if here.offer(view.clone()) {
                held.push(view);
            }
        }
        if held.is_empty() {
            return true;
        }
        let base = held[start % held.len()].clone();
        there.offer(base.clone());
        match here.delta(&FleetVersion::of(&base)) {
            Some(delta) => there.apply(delta) && there.current() == here.current(),
            None => there.current() == here.current(),
        }
    }
    let random = Gen::from_size_and_seed(VIEWS, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Vec<(u8, u8)>, usize) -> bool);
}

#[test]
fn an_older_view_changes_nothing() {
    let board = FleetViewStore::new();
    assert!(board.offer(view(2, 1)));
    assert!(!board.offer(view(1, 20)));
    assert!(!board.offer(view(2, 1)));
    assert_eq!(board.current().values().next(), Some(&view(2, 1)));
}

#[test]
fn changes_from_another_view_are_not_taken() {
    let (here, there) = (FleetViewStore::new(), FleetViewStore::new());
    here.offer(view(1, 1));
    here.offer(view(1, 2));
    there.offer(view(1, 0));
    let delta = here
        .delta(&FleetVersion::of(&view(1, 1)))
        .expect("held lately");
    assert!(!there.apply(delta));
    assert_eq!(there.current().values().next(), Some(&view(1, 0)));
}
