//! Tests of the scaling targets for various fleets and bounds.

use super::support::{at_ms, engine, table_of};
use lagoonlift_policy::dispatch::{
    EngineRole, InitialFleet, InitialFleetCounter, ScalePlanner, ScalingSpec,
    count_standard_upstreams,
};
use quickcheck::quickcheck;
use std::collections::HashMap;
use std::time::Duration;

fn scaling(min: u32, max: u32) -> ScalingSpec {
    ScalingSpec {
        min,
        max,
        boot_time: Duration::from_secs(4),
        spot_price: Some(0.2),
        prices_per_second: HashMap::new(),
    }
}

fn fleet(counts: &[u32]) -> InitialFleet {
    let named = counts.iter().enumerate();
    named
        .map(|(number, count)| (format!("dc-{number}"), *count))
        .collect()
}

quickcheck! {
    /// Both kinds together stay within the bounds of a data centre, and at least the
    /// minimum remains when all reclaimable upstreams are lost.
    fn orders_stay_within_the_bounds(counts: Vec<u8>, min: u8, max: u8) -> bool {
        let min = u32::from(min % 4) + 1;
        let max = min + u32::from(max % 30);
        let counts: Vec<u32> = counts.iter().map(|count| u32::from(count % 40)).collect();
        let initial = fleet(&counts);
        let targets = ScalePlanner::new().targets(&initial, &scaling(min, max));
        initial.keys().all(|data_centre| {
            let here = targets.iter().filter(|target| target.data_centre == *data_centre);
            let (spot, standard): (Vec<_>, Vec<_>) = here.partition(|target| target.is_spot);
            let total: u32 = spot.iter().chain(&standard).map(|target| target.count).sum();
            total <= max && standard.iter().all(|target| target.count >= min)
        })
    }
}

/// Reclaimable upstreams are ordered before standard ones are removed.
#[test]
fn fleet_is_never_smaller_while_it_changes() {
    let targets = ScalePlanner::new().targets(&fleet(&[4, 5]), &scaling(1, 10));
    let first_standard = targets.iter().position(|target| !target.is_spot);
    let last_spot = targets.iter().rposition(|target| target.is_spot);
    assert!(last_spot < first_standard);
}

/// Without reclaimable upstreams, the initial fleet stays unchanged.
#[test]
fn fleet_without_reclaimable_upstreams_is_not_changed() {
    let mut scaling = scaling(1, 10);
    scaling.spot_price = None;
    assert!(
        ScalePlanner::new()
            .targets(&fleet(&[4]), &scaling)
            .is_empty()
    );
}

/// The initial fleet counts as complete only after its upstreams have registered one
/// by one. If a third of them were missing from the count, all later targets would
/// be too small.
#[test]
fn slow_start_of_a_fleet_is_waited_for() {
    let mut counter = InitialFleetCounter::new();
    for step in 0..48_u32 {
        let now = at_ms(u64::from(step) * 100);
        assert!(!counter.is_settled(now), "settled with {step} of 48");
        counter.observe(now, &fleet(&[step / 2 + 1, step / 2 + 1]));
    }
    counter.observe(at_ms(5_500), &fleet(&[24, 24]));
    assert!(!counter.is_settled(at_ms(6_599)));
    assert!(counter.is_settled(at_ms(6_600)));
    assert_eq!(*counter.counts(), fleet(&[24, 24]));
}

/// An upstream that restarts while the others register stays counted.
#[test]
fn upstream_missing_for_a_moment_stays_counted() {
    let mut counter = InitialFleetCounter::new();
    counter.observe(at_ms(0), &fleet(&[4]));
    counter.observe(at_ms(300), &fleet(&[3]));
    assert_eq!(*counter.counts(), fleet(&[4]));
}

/// Reclaimable upstreams that were already ordered are not part of the initial fleet.
#[test]
fn ordered_reclaimable_upstreams_are_not_counted() {
    let mut records: Vec<_> = (0..6).map(|n| engine(n, EngineRole::Decode)).collect();
    records[0].is_spot = true;
    let counts = count_standard_upstreams(&table_of(records), super::support::SERVICE);
    assert_eq!(counts.values().sum::<u32>(), 5);
}
