//! Decides how many upstreams to pay for.
//!
//! Reclaimable upstreams cost a fraction of the price of standard ones, but all of
//! them in a data centre can be reclaimed at once, within seconds. A prefill takes
//! milliseconds and can be retried, so it tolerates that. A few standard upstreams
//! in each data centre serve the requests that must not be interrupted.

use super::{ScalingSpec, Upstream, UpstreamPhase, UpstreamTable};
use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Target number of standard upstreams, as a fraction of the initial fleet of the
/// data centre.
const STANDARD_SHARE: f64 = 0.4;

/// Target number of reclaimable upstreams, as a fraction of the initial fleet of
/// the data centre.
const SPOT_SHARE: f64 = 1.6;

/// Time without a new upstream after which the initial fleet counts as complete.
/// Upstreams register one by one, each with its first heartbeat.
const SETTLE_DURATION: Duration = Duration::from_secs(2);

/// Number of standard upstreams by data centre.
///
/// The initial fleet is the one before the first order, as chosen by the operators.
/// The type also holds counts of the standard upstreams that are listed at some
/// later time.
pub type InitialFleet = BTreeMap<String, u32>;

/// Counts the initial fleet while its upstreams register.
#[derive(Clone, Debug, Default)]
pub struct InitialFleetCounter {
    counts: InitialFleet,
    increased_at: Option<Timestamp>,
}

impl InitialFleetCounter {
    /// Creates a counter that has observed no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Observes the counts of the standard upstreams that are listed at `now`. The
    /// counts kept here never decrease, so an upstream that is missing for a moment
    /// stays counted.
    pub fn observe(&mut self, now: Timestamp, listed: &InitialFleet) {
        for (data_centre, count) in listed {
            let highest = self.counts.entry(data_centre.clone()).or_default();
            if count > highest {
                *highest = *count;
                self.increased_at = Some(now);
            }
        }
    }

    /// Returns the highest counts observed so far.
    pub fn counts(&self) -> &InitialFleet {
        &self.counts
    }

    /// Returns whether no upstream was added for so long that the counts are those
    /// of the complete initial fleet.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.increased_at
            .is_some_and(|increased_at| now.since(increased_at) >= SETTLE_DURATION)
    }
}

/// Target number of upstreams of one kind in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetTarget {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the target is for reclaimable upstreams; otherwise it is for
    /// standard ones.
    pub is_spot: bool,
    /// Number of upstreams.
    pub count: u32,
}

/// Plans how many upstreams of a service to order.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScalePlanner;

impl ScalePlanner {
    /// Creates a planner.
    pub fn new() -> Self {
        Self
    }

    /// Returns the targets of each data centre, or none if the service has no
    /// reclaimable upstreams. Targets for reclaimable upstreams come first, so that
    /// these are added before standard ones are removed.
    pub fn targets(&self, initial: &InitialFleet, scaling: &ScalingSpec) -> Vec<FleetTarget> {
        if scaling.spot_price.is_none() {
            return Vec::new();
        }
        let targets = initial
            .iter()
            .flat_map(|(data_centre, count)| targets_of(data_centre, *count, scaling));
        let (spot, standard): (Vec<_>, Vec<_>) = targets.partition(|target| target.is_spot);
        spot.into_iter().chain(standard).collect()
    }
}

fn targets_of(data_centre: &str, initial: u32, scaling: &ScalingSpec) -> [FleetTarget; 2] {
    let share = |share: f64| (f64::from(initial) * share).ceil() as u32;
    let standard = share(STANDARD_SHARE).clamp(scaling.min, scaling.max);
    let spot = share(SPOT_SHARE).min(scaling.max - standard);
    let target = |is_spot, count| FleetTarget {
        data_centre: data_centre.to_owned(),
        is_spot,
        count,
    };
    [target(true, spot), target(false, standard)]
}

/// Returns the current number of standard upstreams of `service` that are serving, by
/// data centre. It may differ from the initial fleet once upstreams have been ordered or
/// released.
pub fn count_standard_upstreams(table: &UpstreamTable, service: &str) -> InitialFleet {
    let mut counts = InitialFleet::new();
    let is_counted = |upstream: &&Upstream| {
        let record = &upstream.record;
        record.service == service && record.phase == UpstreamPhase::Serving && !record.is_spot
    };
    for upstream in table.iter().map(|(_, one)| one).filter(is_counted) {
        let data_centre = upstream.record.data_centre.clone();
        *counts.entry(data_centre).or_insert(0) += 1;
    }
    counts
}
