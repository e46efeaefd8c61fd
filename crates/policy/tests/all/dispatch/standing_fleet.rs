//! Tests of the standard upstreams that a measured demand leaves dispensable.

use super::spot_replacement::FleetTrial;
use super::support::at_ms;
use lagoonlift_policy::dispatch::{
    FleetTarget, ListedFleet, ListedFleets, OccupiedUpstreams, StandingFleet,
};
use quickcheck::quickcheck;

/// Returns a fleet of 18 standard and 71 reclaimable upstreams whose work occupies
/// `occupied` of them.
fn large_trial(occupied: u32) -> FleetTrial {
    let mut trial = FleetTrial::with_fleet([15, 15, 14], 30, 32, 60);
    trial.standing = Some(StandingFleet::new());
    trial.occupied = occupied;
    trial
}

/// Paid upstreams were the largest cost of a fleet that its work half used. Compared with
/// the shares before and with as many standard upstreams as the demand takes.
#[test]
fn spend_at_half_of_the_capacity_is_at_most_nine_tenths() {
    let mut before = large_trial(0);
    before.standing = None;
    before.run(0, 60_000, |_, _| {});
    let occupied = before.serving() / 2;
    let mut trial = large_trial(occupied);
    trial.run(0, 60_000, |_, _| {});
    assert!(
        trial.spend <= 0.9 * before.spend,
        "{} of {}",
        trial.spend,
        before.spend
    );
    let standard_only = f64::from(occupied) / 0.6 * 200.0;
    assert!(
        trial.spend <= standard_only,
        "{} of {standard_only}",
        trial.spend
    );
    assert!(trial.orders <= 12, "{} orders", trial.orders);
}

/// A fleet with fewer standard upstreams is back at the demand as soon as the present one.
#[test]
fn reclaim_of_a_lowered_fleet_is_replaced_in_time() {
    let mut trial = large_trial(40);
    trial.run(0, 30_000, |_, _| {});
    assert!(trial.standard() < 10);
    trial.reclaim("a");
    assert!(trial.serving() >= 40, "{} serve", trial.serving());
    trial.run(30_000, 35_000, |_, _| {});
    // 40 occupied upstreams at 60 %.
    assert!(trial.serving() >= 67, "{} serve", trial.serving());
}

/// Deployments that need their fleet keep it, and so do those whose demand isn't known yet.
#[test]
fn targets_stay_without_dispensable_upstreams() {
    let mut busy = FleetTrial::with_fleet([6, 6, 5], 12, 6, 60);
    busy.standing = Some(StandingFleet::new());
    busy.occupied = 25;
    busy.run(0, 60_000, |_, _| {});
    assert_eq!(busy.orders, 0);
    let mut idle = large_trial(0);
    idle.run(0, 60_000, |_, _| {});
    assert_eq!(idle.orders, 0);
    let mut unknown = large_trial(10);
    unknown.run(0, 9_900, |_, _| {});
    assert_eq!(unknown.orders, 0);
}

/// Demand that doubles within a pass gets the upstreams back after a boot.
#[test]
fn fleet_rises_at_once_and_falls_slowly() {
    let mut trial = large_trial(25);
    let standard = trial.standard();
    trial.run(0, 14_900, |_, trial| {
        assert!(trial.standard() * 3 > standard)
    });
    trial.run(14_900, 30_000, |_, _| {});
    assert!(trial.standard() < standard);
    trial.occupied = 56;
    trial.run(30_000, 35_000, |_, _| {});
    assert_eq!(trial.standard(), standard);
}

/// The demand swings: the fleet follows its peak, without an order in each swing.
#[test]
fn swing_causes_no_orders() {
    let mut trial = large_trial(30);
    trial.run(0, 120_000, |now_ms, trial| {
        trial.occupied = if (now_ms / 1_400) % 2 == 0 { 15 } else { 45 };
    });
    assert!(trial.orders <= 12, "{} orders", trial.orders);
}

/// The reports of the other hosts are missing for longer than the peak is kept.
#[test]
fn fleet_is_held_without_reports() {
    let mut trial = large_trial(56);
    trial.run(0, 20_000, |_, _| {});
    let standard = trial.standard();
    (trial.occupied, trial.is_measured) = (0, false);
    trial.run(20_000, 80_000, |_, _| {});
    (trial.occupied, trial.is_measured) = (1, true);
    trial.run(80_000, 89_900, |_, _| {});
    assert_eq!(trial.standard(), standard);
}

/// A new lease holder doesn't order again what the previous one released.
#[test]
fn new_lease_holder_keeps_the_lowered_fleet() {
    let mut trial = large_trial(30);
    trial.run(0, 40_000, |_, _| {});
    let standard = trial.standard();
    let orders = trial.orders;
    trial.standing = Some(StandingFleet::with_takeover());
    trial.run(40_000, 70_000, |_, _| {});
    assert_eq!((trial.standard(), trial.orders), (standard, orders));
}

quickcheck! {
    /// The fleet serves the demand at 60 % unless the shares don't, and each data centre
    /// keeps its minimum.
    fn lowered_fleet_serves_the_demand(occupied: u8, standard: u8, spot: u8) -> bool {
        let trial = large_trial(0);
        let (standard, spot) = (u32::from(standard % 20) + 1, u32::from(spot % 40));
        let names = ["a", "b", "c"].map(str::to_owned);
        let target = |name: &String, is_spot| FleetTarget {
            data_centre: name.clone(),
            is_spot,
            count: if is_spot { spot } else { standard },
        };
        let all: Vec<FleetTarget> = names
            .iter()
            .flat_map(|name| [target(name, true), target(name, false)])
            .collect();
        let listed = ListedFleet { standard, spot, draining_spot: 0 };
        let listed: ListedFleets = names.iter().map(|name| (name.clone(), listed)).collect();
        let mut plan = StandingFleet::new();
        let mut targets = all.clone();
        for pass in 0..200_u64 {
            targets.clone_from(&all);
            let work = OccupiedUpstreams { total: u32::from(occupied), uninterrupted: 1, is_measured: true, };
            plan.apply(at_ms(pass * 300), work, &mut targets, &listed, &trial.scaling);
        }
        let total: u32 = targets.iter().map(|target| target.count).sum();
        let planned: u32 = all.iter().map(|target| target.count).sum();
        let required = (f64::from(occupied) / 0.6).ceil() as u32;
        total >= required.min(planned)
            && targets.iter().all(|target| target.is_spot || target.count >= 1)
    }
}
