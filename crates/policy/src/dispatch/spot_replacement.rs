//! Decides how many standard upstreams stand in for reclaimable ones.
//!
//! All reclaimable upstreams of a data centre can be reclaimed at once, and for some
//! time no others may be available there. Standard upstreams then replace those that the
//! demand calls for. They are ordered while the reclaimable ones still drain, since
//! booting takes longer than the notice, and are released as reclaimable ones serve
//! again.

use super::{FleetTarget, InitialFleet, ScalingSpec, UpstreamPhase, UpstreamTable};
use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of reclaimable upstreams draining at once in a data centre from which on all
/// of them there count as lost.
const MIN_DRAINING: u32 = 2;

/// Utilization of the slots for which replacements are sized.
const TARGET_UTILIZATION: f64 = 0.6;

/// Share of the wanted reclaimable upstreams for which room is left under the maximum
/// of a data centre, so that they can be ordered as soon as they are available.
const SPOT_ROOM_SHARE: f64 = 1.0 / 3.0;

/// Time for which fewer replacements must suffice before any is released.
const RELEASE_DELAY: Duration = Duration::from_secs(2);

/// Shortest interval between two increases in a data centre. Each order is priced, and
/// the measured demand may rise with each pass.
const INCREASE_INTERVAL: Duration = Duration::from_millis(900);

/// Margin after the boot time until a previous lease holder's upstreams are listed.
const LISTING_MARGIN: Duration = Duration::from_secs(1);

/// Numbers of listed upstreams of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedFleet {
    /// Standard upstreams that serve.
    pub standard: u32,
    /// Reclaimable upstreams that serve.
    pub spot: u32,
    /// Reclaimable upstreams that drain.
    pub draining_spot: u32,
}

/// Numbers of listed upstreams by data centre.
pub type ListedFleets = BTreeMap<String, ListedFleet>;

/// What the number of replacements depends on besides the targets.
#[derive(Clone, Copy, Debug)]
pub struct ReplacementFacts<'a> {
    /// Listed upstreams.
    pub listed: &'a ListedFleets,
    /// Fleet before the first order. At least as many upstreams are kept.
    pub initial: &'a InitialFleet,
    /// Upstreams that the demand calls for because the standard targets were lowered to
    /// them; zero if they weren't.
    pub standing: u32,
    /// Bounds and prices.
    pub scaling: &'a ScalingSpec,
    /// Requests that one upstream runs concurrently.
    pub slots: u32,
    /// Highest number of requests in flight in the last seconds, if measured.
    pub peak_in_flight: Option<u32>,
}

/// The inputs and the result of the last plan, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplacementSummary {
    /// Upstreams that the demand calls for.
    pub required: u32,
    /// Standard upstreams of the targets and reclaimable ones expected to serve.
    pub present: u32,
    /// Reclaimable upstreams that are lost.
    pub missing: u32,
    /// Replacements that are ordered or kept.
    pub replaced: u32,
}

/// Plans the replacements of the reclaimable upstreams of a service.
#[derive(Clone, Debug, Default)]
pub struct SpotReplacement {
    /// Data centres whose reclaimable upstreams are lost or were refused.
    lossy: BTreeSet<String>,
    held: BTreeMap<String, HeldReplacement>,
    /// Set after a change of the lease holder: the time until which upstreams that the
    /// previous holder ordered may appear.
    adopts_until: Option<Timestamp>,
    summary: ReplacementSummary,
}

/// The replacements in a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct HeldReplacement {
    count: u32,
    increased_at: Option<Timestamp>,
    /// Since when fewer have sufficed, and the highest number that was wanted since.
    fewer_since: Option<(Timestamp, u32)>,
}

/// The state of one data centre while replacements are assigned.
struct Vacancy<'a> {
    data_centre: &'a str,
    missing: u32,
    room: u32,
    price: f64,
    held: u32,
    assigned: u32,
}

impl SpotReplacement {
    /// Creates a plan without replacements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a plan for a host that took over the lease at `now`. Standard upstreams
    /// beyond the targets, which the previous holder may have ordered, are adopted.
    pub fn with_takeover(now: Timestamp, scaling: &ScalingSpec) -> Self {
        Self {
            adopts_until: Some(now + scaling.boot_time + LISTING_MARGIN),
            ..Self::default()
        }
    }

    /// Returns whether upstreams that a previous lease holder ordered may still appear.
    /// Until then, no standard ones are released.
    pub fn is_adopting(&self, now: Timestamp) -> bool {
        self.adopts_until.is_some_and(|until| now < until)
    }

    /// Records that an order for reclaimable upstreams in `data_centre` was refused.
    pub fn record_refusal(&mut self, data_centre: &str) {
        self.lossy.insert(data_centre.to_owned());
    }

    /// Changes `targets`, which assume that reclaimable upstreams are available: adds
    /// the replacements, and leaves out the reclaimable ones for which they leave no room.
    pub fn apply(
        &mut self,
        now: Timestamp,
        targets: &mut [FleetTarget],
        facts: &ReplacementFacts<'_>,
    ) {
        let wanted = self.wanted(now, targets, facts);
        for target in targets.iter().filter(|target| !target.is_spot) {
            let name = &target.data_centre;
            let mut count = wanted.get(name).copied().unwrap_or(0);
            if self.is_adopting(now) {
                let listed = listed_in(facts, name).standard;
                count = count.max(listed.saturating_sub(target.count));
            }
            self.held.entry(name.clone()).or_default().set(now, count);
        }
        for target in targets.iter_mut().filter(|target| !target.is_spot) {
            let replaced = self.held_in(&target.data_centre);
            target.count += replaced;
            self.summary.replaced += replaced;
        }
        let standard: BTreeMap<String, u32> = targets
            .iter()
            .filter(|target| !target.is_spot)
            .map(|target| (target.data_centre.clone(), target.count))
            .collect();
        for target in targets.iter_mut().filter(|target| target.is_spot) {
            let name = &target.data_centre;
            if self.held_in(name) > 0 {
                let ordered = standard.get(name).copied().unwrap_or(0);
                let occupied = ordered.max(listed_in(facts, name).standard);
                target.count = target.count.min(facts.scaling.max.saturating_sub(occupied));
            }
        }
    }

    /// Returns the inputs and the result of the last plan.
    pub fn summary(&self) -> ReplacementSummary {
        self.summary
    }

    fn held_in(&self, data_centre: &str) -> u32 {
        self.held.get(data_centre).map_or(0, |held| held.count)
    }

    /// Returns the wanted replacements by data centre.
    fn wanted(
        &mut self,
        now: Timestamp,
        targets: &[FleetTarget],
        facts: &ReplacementFacts<'_>,
    ) -> BTreeMap<String, u32> {
        let mut present = 0;
        let mut planned = 0;
        let mut vacancies = Vec::new();
        for target in targets.iter().filter(|target| target.is_spot) {
            let name = &target.data_centre;
            let standard = count_standard_in(targets, name);
            let remaining = self.remaining_spot(now, target, facts);
            let is_lossy = self.lossy.contains(name);
            present += standard + remaining;
            planned += standard + target.count;
            let missing = target.count.saturating_sub(remaining);
            let spot_room = (f64::from(target.count) * SPOT_ROOM_SHARE).ceil() as u32;
            let occupied = standard + remaining + spot_room.min(missing);
            vacancies.push(Vacancy {
                data_centre: name,
                missing: if is_lossy { missing } else { 0 },
                room: facts.scaling.max.saturating_sub(occupied),
                price: price_in(facts.scaling, name),
                held: self.held_in(name),
                assigned: 0,
            });
        }
        let missing: u32 = vacancies.iter().map(|vacancy| vacancy.missing).sum();
        let required = required_upstreams(facts).min(planned);
        let count = required.saturating_sub(present).min(missing);
        assign(&mut vacancies, count);
        self.summary = ReplacementSummary {
            required,
            present,
            missing,
            replaced: 0,
        };
        vacancies
            .into_iter()
            .map(|vacancy| (vacancy.data_centre.to_owned(), vacancy.assigned))
            .collect()
    }

    /// Returns how many reclaimable upstreams of a data centre are expected to serve, and
    /// updates whether any are lost there. A host that took over the lease doesn't know of
    /// earlier reclaims and refusals, so those that are missing then count as lost.
    fn remaining_spot(
        &mut self,
        now: Timestamp,
        target: &FleetTarget,
        facts: &ReplacementFacts<'_>,
    ) -> u32 {
        let listed = listed_in(facts, &target.data_centre);
        if listed.spot >= target.count {
            self.lossy.remove(&target.data_centre);
            return target.count;
        }
        let is_reclaim = listed.draining_spot >= MIN_DRAINING.min(target.count);
        match is_reclaim {
            true => {
                self.lossy.insert(target.data_centre.clone());
                0
            }
            false => {
                if self.is_adopting(now) {
                    self.lossy.insert(target.data_centre.clone());
                }
                listed.spot
            }
        }
    }
}

impl HeldReplacement {
    /// Adopts a higher number at once or after [`INCREASE_INTERVAL`], and a lower one after
    /// [`RELEASE_DELAY`].
    fn set(&mut self, now: Timestamp, wanted: u32) {
        if wanted >= self.count {
            self.fewer_since = None;
            self.increase(now, wanted);
            return;
        }
        let (since, highest) = self.fewer_since.unwrap_or((now, wanted));
        let highest = highest.max(wanted);
        self.fewer_since = Some((since, highest));
        if now.since(since) >= RELEASE_DELAY {
            self.count = highest;
            self.fewer_since = None;
        }
    }

    fn increase(&mut self, now: Timestamp, wanted: u32) {
        let is_recent = |at: Timestamp| now.since(at) < INCREASE_INTERVAL;
        if wanted > self.count && !self.increased_at.is_some_and(is_recent) {
            self.count = wanted;
            self.increased_at = Some(now);
        }
    }
}

/// Assigns `count` replacements one by one: to data centres that have some already, then
/// to the one with the most missing upstreams, or, if there is no room where any are
/// missing, to the cheapest one.
fn assign(vacancies: &mut [Vacancy<'_>], count: u32) {
    for _ in 0..count {
        let with_room = vacancies.iter_mut().filter(|one| one.assigned < one.room);
        let next = with_room.min_by(|one, other| {
            let unassigned = |one: &Vacancy<'_>| one.missing.saturating_sub(one.assigned);
            let is_new = |one: &Vacancy<'_>| one.assigned >= one.held;
            let by_held = is_new(one).cmp(&is_new(other));
            let by_missing = unassigned(other).cmp(&unassigned(one));
            by_held
                .then(by_missing)
                .then(one.price.total_cmp(&other.price))
        });
        match next {
            Some(vacancy) => vacancy.assigned += 1,
            None => return,
        }
    }
}

/// Returns how many upstreams the demand calls for, at least as many as the initial
/// fleet has.
fn required_upstreams(facts: &ReplacementFacts<'_>) -> u32 {
    let initial: u32 = facts.initial.values().sum();
    let usable_slots = f64::from(facts.slots.max(1)) * TARGET_UTILIZATION;
    let in_flight = facts.peak_in_flight.unwrap_or(0);
    let by_demand = (f64::from(in_flight) / usable_slots).ceil() as u32;
    by_demand.max(initial).max(facts.standing)
}

fn count_standard_in(targets: &[FleetTarget], data_centre: &str) -> u32 {
    let standard = targets
        .iter()
        .filter(|target| !target.is_spot && target.data_centre == data_centre);
    standard.map(|target| target.count).sum()
}

fn listed_in(facts: &ReplacementFacts<'_>, data_centre: &str) -> ListedFleet {
    facts.listed.get(data_centre).copied().unwrap_or_default()
}

fn price_in(scaling: &ScalingSpec, data_centre: &str) -> f64 {
    let price = scaling.prices_per_second.get(data_centre);
    price.copied().unwrap_or(f64::MAX)
}

/// Counts the listed upstreams of `service` by data centre.
pub fn count_listed_fleets(table: &UpstreamTable, service: &str) -> ListedFleets {
    let mut fleets = ListedFleets::new();
    let of_service = table
        .iter()
        .map(|(_, one)| &one.record)
        .filter(|record| record.service == service);
    for record in of_service {
        let fleet = fleets.entry(record.data_centre.clone()).or_default();
        match (record.phase, record.is_spot) {
            (UpstreamPhase::Serving, true) => fleet.spot += 1,
            (UpstreamPhase::Serving, false) => fleet.standard += 1,
            (UpstreamPhase::Leaving, true) => fleet.draining_spot += 1,
            (UpstreamPhase::Leaving, false) => {}
        }
    }
    fleets
}
