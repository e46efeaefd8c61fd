//! How many upstreams to pay for.
//!
//! Reclaimable upstreams cost a fraction of standard ones and may leave, all of
//! a data centre at once, within seconds. Reading a prompt takes milliseconds
//! and can be repeated, so it survives that; a few standard upstreams in each
//! data centre carry what must go on.

use super::{ScalingSpec, Upstream, UpstreamPhase, UpstreamTable};
use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Standard upstreams, as a share of those that a data centre began with.
const STANDARD_SHARE: f64 = 0.4;

/// Reclaimable upstreams, as a share of those that a data centre began with.
const SPOT_SHARE: f64 = 1.6;

/// Time without a new upstream after which the first fleet counts as complete:
/// upstreams register with their first heartbeat, one after the other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Standard upstreams by data centre before the first order: what the operators
/// thought right.
pub type InitialFleet = BTreeMap<String, u32>;

/// Counts the first fleet while its upstreams register.
#[derive(Clone, Debug, Default)]
pub struct InitialFleetCounter {
    counts: InitialFleet,
    grown_at: Option<Timestamp>,
}

impl InitialFleetCounter {
    /// Creates a census that has seen no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the upstreams that are listed now.
    pub fn observe(&mut self, now: Timestamp, listed: &InitialFleet) {
        for (data_centre, count) in listed {
            let known = self.counts.entry(data_centre.clone()).or_default();
            if count > known {
                *known = *count;
                self.grown_at = Some(now);
            }
        }
    }

    /// Returns the upstreams seen so far.
    pub fn counts(&self) -> &InitialFleet {
        &self.counts
    }

    /// Returns whether no upstream has been added for so long that the counts
    /// are the first fleet's.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.grown_at
            .is_some_and(|grown_at| now.since(grown_at) >= SETTLE_TIME)
    }
}

/// Upstreams of one kind that a data centre should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetTarget {
    /// Data centre.
    pub data_centre: String,
    /// Whether they are reclaimable ones.
    pub is_spot: bool,
    /// Number.
    pub count: u32,
}

/// Decides how many upstreams of a service to order.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScalePlanner;

impl ScalePlanner {
    /// Creates the plan.
    pub fn new() -> Self {
        Self
    }

    /// Returns what each data centre should have, reclaimable ones first, so
    /// that they are there before standard ones leave.
    pub fn targets(&self, initial: &InitialFleet, scale: &ScalingSpec) -> Vec<FleetTarget> {
        if scale.spot_price.is_none() {
            return Vec::new();
        }
        let targets = initial
            .iter()
            .flat_map(|(data_centre, count)| targets_of(data_centre, *count, scale));
        let (spot, standard): (Vec<_>, Vec<_>) = targets.partition(|target| target.is_spot);
        spot.into_iter().chain(standard).collect()
    }
}

fn targets_of(data_centre: &str, initial: u32, scale: &ScalingSpec) -> [FleetTarget; 2] {
    let share = |share: f64| (f64::from(initial) * share).ceil() as u32;
    let standard = share(STANDARD_SHARE).clamp(scale.min, scale.max);
    let spot = share(SPOT_SHARE).min(scale.max - standard);
    let target = |is_spot, count| FleetTarget {
        data_centre: data_centre.to_owned(),
        is_spot,
        count,
    };
    [target(true, spot), target(false, standard)]
}

/// Returns the standard upstreams of `service` by data centre.
pub fn count_standard_upstreams(table: &UpstreamTable, service: &str) -> InitialFleet {
    let mut counts = InitialFleet::new();
    let of_service = |upstream: &&Upstream| {
        let record = &upstream.record;
        record.service == service && record.phase == UpstreamPhase::Serving && !record.is_spot
    };
    for upstream in table.iter().map(|(_, one)| one).filter(of_service) {
        let data_centre = upstream.record.data_centre.clone();
        *counts.entry(data_centre).or_insert(0) += 1;
    }
    counts
}
