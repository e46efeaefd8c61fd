//! Tests of the replacement of reclaimable upstreams by standard ones.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{
    InitialFleet, ListedFleet, ListedFleets, OccupiedUpstreams, ReplacementFacts, ScalePlanner,
    ScalingSpec, SpotReplacement, StandingFleet,
};
use std::collections::BTreeMap;
use std::time::Duration;

const PASS_MS: u64 = 300;
const BOOT_MS: u64 = 4_000;
const NOTICE_MS: u64 = 2_000;
const SLOTS: u32 = 6;

/// A fleet on a platform that carries out orders: upstreams serve after the boot time,
/// and orders for reclaimable ones are refused in data centres without any.
pub(super) struct FleetTrial {
    pub(super) scaling: ScalingSpec,
    initial: InitialFleet,
    pub(super) listed: ListedFleets,
    /// Data centre, kind and time at which it serves, of each booting upstream.
    booting: Vec<(String, bool, u64)>,
    last_refusals: BTreeMap<String, u64>,
    without_spot: Vec<&'static str>,
    replacement: SpotReplacement,
    pub(super) standing: Option<StandingFleet>,
    slots: u32,
    pub(super) in_flight: u32,
    /// Upstreams that the work occupies.
    pub(super) occupied: u32,
    pub(super) is_measured: bool,
    pub(super) orders: u32,
    /// Price of all passes.
    pub(super) spend: f64,
}

impl FleetTrial {
    fn new(in_flight: u32) -> Self {
        Self::with_fleet([6, 6, 5], 12, SLOTS, in_flight)
    }

    pub(super) fn with_fleet(initial: [u32; 3], max: u32, slots: u32, in_flight: u32) -> Self {
        let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
        let mut trial = Self {
            scaling: ScalingSpec {
                min: 1,
                max,
                boot_time: Duration::from_millis(BOOT_MS),
                spot_price: Some(0.15),
                prices_per_second: prices.map(|(name, price)| (name.to_owned(), price)).into(),
            },
            initial: ["a", "b", "c"]
                .map(str::to_owned)
                .into_iter()
                .zip(initial)
                .collect(),
            listed: ListedFleets::new(),
            booting: Vec::new(),
            last_refusals: BTreeMap::new(),
            without_spot: Vec::new(),
            replacement: SpotReplacement::new(),
            standing: None,
            slots,
            in_flight,
            occupied: 0,
            is_measured: true,
            orders: 0,
            spend: 0.0,
        };
        for target in ScalePlanner::new().targets(&trial.initial, &trial.scaling) {
            let fleet = trial.listed.entry(target.data_centre).or_default();
            match target.is_spot {
                true => fleet.spot = target.count,
                false => fleet.standard = target.count,
            }
        }
        trial
    }

    pub(super) fn reclaim(&mut self, name: &'static str) {
        let fleet = self.listed.get_mut(name).expect("a data centre");
        (fleet.draining_spot, fleet.spot) = (fleet.spot, 0);
        self.without_spot.push(name);
    }

    pub(super) fn serving(&self) -> u32 {
        let fleets = self.listed.values();
        fleets.map(|fleet| fleet.standard + fleet.spot).sum()
    }

    pub(super) fn standard(&self) -> u32 {
        self.listed.values().map(|fleet| fleet.standard).sum()
    }

    /// Runs passes from `from_ms` until `to_ms` with a call of `check` after each.
    pub(super) fn run(&mut self, from_ms: u64, to_ms: u64, mut check: impl FnMut(u64, &mut Self)) {
        for now_ms in (from_ms..to_ms).step_by(PASS_MS as usize) {
            self.finish_boots(now_ms);
            if now_ms >= from_ms + NOTICE_MS {
                self.listed
                    .values_mut()
                    .for_each(|one| one.draining_spot = 0);
            }
            self.pass(now_ms);
            self.spend += self.price();
            let all = self
                .listed
                .keys()
                .all(|name| self.total(name) <= self.scaling.max);
            assert!(all, "above the maximum at {now_ms} ms");
            check(now_ms, self);
        }
    }

    fn finish_boots(&mut self, now_ms: u64) {
        for (name, is_spot, _) in self.booting.extract_if(.., |one| one.2 <= now_ms) {
            let fleet = self.listed.entry(name).or_default();
            match is_spot {
                true => fleet.spot += 1,
                false => fleet.standard += 1,
            }
        }
    }

    fn pass(&mut self, now_ms: u64) {
        let mut targets = ScalePlanner::new().targets(&self.initial, &self.scaling);
        let now = at_ms(now_ms);
        let occupied = OccupiedUpstreams {
            total: self.occupied,
            uninterrupted: 2,
            is_measured: self.is_measured,
        };
        if let Some(standing) = &mut self.standing {
            standing.apply(now, occupied, &mut targets, &self.listed, &self.scaling);
        }
        let lowered = self.standing.as_ref().filter(|one| one.dispensed() > 0);
        let facts = ReplacementFacts {
            listed: &self.listed,
            initial: &self.initial,
            standing: lowered.map_or(0, |standing| standing.required(now)),
            scaling: &self.scaling,
            slots: self.slots,
            peak_in_flight: Some(self.in_flight),
        };
        self.replacement.apply(now, &mut targets, &facts);
        for target in targets {
            let name = target.data_centre;
            let booting = self
                .booting
                .iter()
                .filter(|one| one.0 == name && one.1 == target.is_spot);
            let booting = booting.count() as u32;
            let fleet = self.listed.entry(name.clone()).or_default();
            let present = match target.is_spot {
                true => &mut fleet.spot,
                false => &mut fleet.standard,
            };
            if target.count == *present + booting {
                continue;
            }
            if target.is_spot && self.without_spot.contains(&name.as_str()) {
                let last = self.last_refusals.get(&name);
                if last.is_none_or(|last| now_ms >= last + 1_500) {
                    self.last_refusals.insert(name.clone(), now_ms);
                    self.replacement.record_refusal(&name);
                }
                continue;
            }
            self.orders += 1;
            *present = target.count.min(*present);
            let added = target.count.saturating_sub(*present + booting);
            let order = (name, target.is_spot, now_ms + BOOT_MS);
            self.booting
                .extend(std::iter::repeat_n(order, added as usize));
        }
    }

    /// Returns the price of all upstreams, also the booting ones.
    fn price(&self) -> f64 {
        let price_of = |name: &str, is_spot: bool| {
            self.scaling.prices_per_second[name] * if is_spot { 0.15 } else { 1.0 }
        };
        let listed = self.listed.iter().map(|(name, fleet)| {
            f64::from(fleet.standard) * price_of(name, false)
                + f64::from(fleet.spot) * price_of(name, true)
        });
        let booting = self.booting.iter().map(|one| price_of(&one.0, one.1));
        listed.sum::<f64>() + booting.sum::<f64>()
    }

    fn total(&self, name: &str) -> u32 {
        let booting = self.booting.iter().filter(|one| one.0 == name).count() as u32;
        let fleet = self.listed[name];
        fleet.standard + fleet.spot + booting
    }
}

/// A reclaim of a data centre left the fleet below the demand until reclaimable upstreams
/// could be had again.
#[test]
fn capacity_is_back_within_the_boot_time_and_a_second() {
    // At 60 % of 6 slots, 100 requests in flight take 28 upstreams.
    let required = 28;
    let mut trial = FleetTrial::new(100);
    trial.reclaim("a");
    assert!(trial.serving() < required);
    trial.run(0, BOOT_MS + 1_000, |_, _| {});
    assert!(trial.serving() >= required, "{} serve", trial.serving());
}

/// Two data centres at once: as many replacements as there is room for, and the fleet is
/// the same as before once reclaimable upstreams are available again.
#[test]
fn replacements_are_released_after_reclaimable_upstreams_serve() {
    let mut trial = FleetTrial::new(120);
    let (before, standard) = (trial.serving(), trial.standard());
    trial.reclaim("a");
    trial.reclaim("b");
    let left = trial.serving();
    trial.run(0, 9_000, |_, _| {});
    let replaced = trial.serving();
    assert!(replaced >= left + 12, "{replaced} serve of {before}");
    trial.without_spot.clear();
    trial.run(9_000, 40_000, |now_ms, trial| {
        let serving = trial.serving();
        assert!(serving >= replaced, "{serving} serve at {now_ms} ms");
    });
    assert_eq!((trial.serving(), trial.standard()), (before, standard));
    assert!(trial.orders <= 16, "{} orders", trial.orders);
}

/// Replacements cost several times as much as what they replace; a fleet that can serve
/// the demand without them orders none.
#[test]
fn nothing_is_replaced_if_the_rest_serves_the_demand() {
    let mut trial = FleetTrial::new(30);
    let standard = trial.standard();
    trial.reclaim("a");
    trial.run(0, 9_000, |_, trial| assert_eq!(trial.standard(), standard));
    assert_eq!(trial.orders, 0);
}

/// Demand that swings during a reclaim had replacements released and ordered by turns.
#[test]
fn swing_of_the_demand_releases_no_replacement() {
    let mut trial = FleetTrial::new(100);
    trial.reclaim("a");
    trial.run(0, 15_000, |now_ms, trial| {
        trial.in_flight = [100, 80][(now_ms / 1_400) as usize % 2];
    });
    assert_eq!(trial.orders, 1);
}

/// Targets of a fleet of which nothing was reclaimed stay as they were, at any demand.
#[test]
fn complete_fleet_is_not_changed() {
    let mut trial = FleetTrial::new(1_000);
    trial.run(0, 9_000, |_, _| {});
    assert_eq!(trial.orders, 0);
}

/// A new lease holder released the replacements that the previous one had ordered.
#[test]
fn new_lease_holder_keeps_the_replacements() {
    let mut trial = FleetTrial::new(120);
    let targeted = trial.standard();
    trial.reclaim("a");
    trial.run(0, 6_000, |_, _| {});
    let standard = trial.standard();
    assert!(standard > targeted);
    trial.replacement = SpotReplacement::with_takeover(at_ms(6_000), &trial.scaling);
    trial.run(6_000, 15_000, |now_ms, trial| {
        assert!(trial.standard() >= standard, "released at {now_ms} ms");
    });
}

/// Two draining upstreams announce a reclaim of all in their data centre; one does not.
#[test]
fn first_draining_entries_count_as_a_reclaim() {
    for (draining, is_reclaim) in [(1, false), (2, true)] {
        let mut trial = FleetTrial::new(120);
        let fleet = trial.listed.get_mut("a").expect("a data centre");
        *fleet = ListedFleet {
            spot: fleet.spot - draining,
            draining_spot: draining,
            ..*fleet
        };
        trial.pass(0);
        let is_replaced = trial.booting.iter().any(|(_, is_spot, _)| !is_spot);
        assert_eq!(is_replaced, is_reclaim, "{draining} draining");
    }
}

/// A new lease holder knew nothing of the reclaim and released the replacements when the time
/// for adopting them was over, although no reclaimable upstreams had come back.
#[test]
fn new_lease_holder_keeps_the_replacements_until_reclaimable_upstreams_serve() {
    let mut trial = FleetTrial::new(120);
    trial.reclaim("a");
    trial.run(0, 6_000, |_, _| {});
    let serving = trial.serving();
    trial.replacement = SpotReplacement::with_takeover(at_ms(6_000), &trial.scaling);
    trial.run(6_000, 30_000, |now_ms, trial| {
        assert!(trial.serving() >= serving, "released at {now_ms} ms");
    });
}
