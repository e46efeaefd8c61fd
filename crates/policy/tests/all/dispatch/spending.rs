//! What is paid for, as fleets and their bounds differ.

use lagoonlift_policy::dispatch::{InitialFleet, ScaleTraits, SpendingPlan};
use quickcheck::quickcheck;
use std::collections::HashMap;
use std::time::Duration;

fn scale(min: u32, max: u32) -> ScaleTraits {
    ScaleTraits {
        min,
        max,
        boot: Duration::from_secs(4),
        spot_price: Some(0.2),
        prices: HashMap::new(),
    }
}

fn fleet(counts: &[u32]) -> InitialFleet {
    let named = counts.iter().enumerate();
    named
        .map(|(number, count)| (format!("dc-{number}"), *count))
        .collect()
}

quickcheck! {
    /// Both kinds together stay within the bounds of a data centre, and some
    /// upstreams stay when all reclaimable ones are taken away.
    fn orders_stay_within_the_bounds(counts: Vec<u8>, min: u8, max: u8) -> bool {
        let min = u32::from(min % 4) + 1;
        let max = min + u32::from(max % 30);
        let counts: Vec<u32> = counts.iter().map(|count| u32::from(count % 40)).collect();
        let initial = fleet(&counts);
        let targets = SpendingPlan::new().targets(&initial, &scale(min, max));
        initial.keys().all(|data_centre| {
            let here = targets.iter().filter(|target| target.data_centre == *data_centre);
            let (spot, standard): (Vec<_>, Vec<_>) = here.partition(|target| target.is_spot);
            let total: u32 = spot.iter().chain(&standard).map(|target| target.count).sum();
            total <= max && standard.iter().all(|target| target.count >= min)
        })
    }
}

/// Reclaimable upstreams are ordered before standard ones are given back.
#[test]
fn fleet_is_never_smaller_while_it_changes() {
    let targets = SpendingPlan::new().targets(&fleet(&[4, 5]), &scale(1, 10));
    let first_standard = targets.iter().position(|target| !target.is_spot);
    let last_spot = targets.iter().rposition(|target| target.is_spot);
    assert!(last_spot < first_standard);
}

/// Without reclaimable upstreams the fleet stays as the operators made it.
#[test]
fn fleet_without_reclaimable_upstreams_is_left_alone() {
    let mut scale = scale(1, 10);
    scale.spot_price = None;
    assert!(SpendingPlan::new().targets(&fleet(&[4]), &scale).is_empty());
}
