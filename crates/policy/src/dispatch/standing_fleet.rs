//! Decides how many standard upstreams a measured demand leaves dispensable.
//!
//! Standard upstreams are the dearest part of a fleet. They aren't needed as far as the
//! others serve the demand, and as far as the loss of the reclaimable ones of one data
//! centre leaves enough until replacements have booted.

use super::spot_replacement::ListedFleets;
use super::{FleetTarget, PeakWindow, ScalingSpec};
use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over whose peak the fleet is sized. It spans two periods of a swing of 15 s.
const PEAK_DURATION: Duration = Duration::from_secs(30);

/// Time for which demand has to be measured before any upstream is dispensable.
const MEASURING_DURATION: Duration = Duration::from_secs(10);

/// Interval between two decreases. Each releases half of what is dispensable.
const DECREASE_INTERVAL: Duration = Duration::from_secs(5);

/// Utilization at which the complete fleet serves the peak.
const TARGET_UTILIZATION: f64 = 0.6;

/// Utilization at which the rest of the fleet serves the peak between a reclaim and the
/// start of the replacements.
const RECLAIM_UTILIZATION: f64 = 0.9;

/// Minimum number of standard upstreams, so that others remain when one is lost.
const MIN_STANDARD: u32 = 3;

/// The work of a service at one time, as the number of upstreams that it occupies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OccupiedUpstreams {
    /// All upstreams.
    pub total: u32,
    /// Those among them whose work must not be interrupted, such as decode engines.
    pub uninterrupted: u32,
    /// Whether enough hosts have reported lately for the numbers to be used.
    pub is_measured: bool,
}

/// Plans by how much the standard targets of a service are lowered.
#[derive(Clone, Debug)]
pub struct StandingFleet {
    occupied: PeakWindow,
    uninterrupted: PeakWindow,
    measured_since: Option<Timestamp>,
    decreased_at: Option<Timestamp>,
    /// Standard upstreams below the targets, over all data centres.
    dispensed: u32,
    is_takeover: bool,
}

impl StandingFleet {
    /// Creates a plan that lowers no target.
    pub fn new() -> Self {
        Self {
            occupied: PeakWindow::new(PEAK_DURATION),
            uninterrupted: PeakWindow::new(PEAK_DURATION),
            measured_since: None,
            decreased_at: None,
            dispensed: 0,
            is_takeover: false,
        }
    }

    /// Creates a plan for a host that took over the lease. It starts from the standard
    /// upstreams that are listed.
    pub fn with_takeover() -> Self {
        Self {
            is_takeover: true,
            ..Self::new()
        }
    }

    /// Returns by how many standard upstreams the targets are lowered.
    pub fn dispensed(&self) -> u32 {
        self.dispensed
    }

    /// Returns the highest number of occupied upstreams; `None` before it was measured.
    pub fn peak(&self, now: Timestamp) -> Option<u32> {
        self.occupied.peak(now)
    }

    /// Returns the number of upstreams that serve the peak at the wanted utilization.
    pub fn required(&self, now: Timestamp) -> u32 {
        upstreams_at(self.peak(now).unwrap_or(0), TARGET_UTILIZATION)
    }

    /// Records the occupied upstreams at `now` and lowers the standard ones among
    /// `targets`.
    pub fn apply(
        &mut self,
        now: Timestamp,
        occupied: OccupiedUpstreams,
        targets: &mut [FleetTarget],
        listed: &ListedFleets,
        scaling: &ScalingSpec,
    ) {
        self.record(now, occupied);
        let dispensable = self.dispensable(now, targets, scaling);
        if self.is_takeover {
            self.is_takeover = false;
            self.dispensed = missing_standard(targets, listed);
        }
        self.dispensed = self.dispensed.min(dispensable);
        let has_spot = targets.iter().all(|target| has_all_spot(target, listed));
        let is_recent = |at: Timestamp| now.since(at) < DECREASE_INTERVAL;
        if has_spot && self.has_measured(now) && !self.decreased_at.is_some_and(is_recent) {
            let more = (dispensable - self.dispensed).div_ceil(2);
            self.decreased_at = (more > 0).then_some(now).or(self.decreased_at);
            self.dispensed += more;
        }
        lower_targets(targets, self.dispensed, scaling);
    }

    fn record(&mut self, now: Timestamp, occupied: OccupiedUpstreams) {
        if !occupied.is_measured {
            // What was measured before must not expire and leave upstreams dispensable.
            self.measured_since = None;
            return;
        }
        self.occupied.record(now, occupied.total);
        self.uninterrupted.record(now, occupied.uninterrupted);
        if occupied.total > 0 {
            self.measured_since = self.measured_since.or(Some(now));
        }
    }

    fn has_measured(&self, now: Timestamp) -> bool {
        let since = self.measured_since;
        since.is_some_and(|since| now.since(since) >= MEASURING_DURATION)
    }

    /// Returns how many standard upstreams the demand leaves dispensable.
    fn dispensable(&self, now: Timestamp, targets: &[FleetTarget], scaling: &ScalingSpec) -> u32 {
        let count = |is_spot: bool| -> u32 {
            let of_kind = targets.iter().filter(|target| target.is_spot == is_spot);
            of_kind.map(|target| target.count).sum()
        };
        let spot = targets.iter().filter(|target| target.is_spot);
        let largest_loss = spot.map(|target| target.count).max().unwrap_or(0);
        let total = count(true) + count(false);
        let peak = self.peak(now).unwrap_or(0);
        let by_demand = total.saturating_sub(self.required(now));
        let after_reclaim = upstreams_at(peak, RECLAIM_UTILIZATION);
        let by_reclaim = (total - largest_loss).saturating_sub(after_reclaim);
        let uninterrupted = self.uninterrupted.peak(now).unwrap_or(0);
        let standard = upstreams_at(uninterrupted, TARGET_UTILIZATION).max(MIN_STANDARD);
        let data_centres = targets.iter().filter(|target| !target.is_spot).count() as u32;
        let least = standard.max(scaling.min * data_centres);
        let by_standard = count(false).saturating_sub(least);
        by_demand.min(by_reclaim).min(by_standard)
    }
}

impl Default for StandingFleet {
    fn default() -> Self {
        Self::new()
    }
}

fn upstreams_at(occupied: u32, utilization: f64) -> u32 {
    (f64::from(occupied) / utilization).ceil() as u32
}

/// Returns how many standard upstreams fewer are listed than `targets` name.
fn missing_standard(targets: &[FleetTarget], listed: &ListedFleets) -> u32 {
    let standard = targets.iter().filter(|target| !target.is_spot);
    let missing = standard.map(|target| {
        let present = listed
            .get(&target.data_centre)
            .map_or(0, |one| one.standard);
        target.count.saturating_sub(present)
    });
    missing.sum()
}

fn has_all_spot(target: &FleetTarget, listed: &ListedFleets) -> bool {
    let spot = listed.get(&target.data_centre).map_or(0, |one| one.spot);
    !target.is_spot || spot >= target.count
}

/// Lowers the standard targets by `count` in total, one by one where they cost most.
fn lower_targets(targets: &mut [FleetTarget], count: u32, scaling: &ScalingSpec) {
    let prices: BTreeMap<String, f64> = targets
        .iter()
        .map(|target| {
            let price = scaling.prices_per_second.get(&target.data_centre);
            (target.data_centre.clone(), price.copied().unwrap_or(1.0))
        })
        .collect();
    let cost = |target: &FleetTarget| prices[&target.data_centre] * f64::from(target.count);
    for _ in 0..count {
        let standard = targets
            .iter_mut()
            .filter(|target| !target.is_spot && target.count > scaling.min);
        match standard.max_by(|one, other| cost(one).total_cmp(&cost(other))) {
            Some(target) => target.count -= 1,
            None => return,
        }
    }
}
