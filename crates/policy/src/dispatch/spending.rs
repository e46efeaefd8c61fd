//! How many upstreams to pay for.
//!
//! Reclaimable upstreams cost a fraction of standard ones and may leave, all of
//! a data centre at once, within seconds. Reading a prompt takes milliseconds
//! and can be repeated, so it survives that; a few standard upstreams in each
//! data centre carry what must go on.

use super::{ScaleTraits, Upstream, UpstreamPhase, UpstreamTable};
use std::collections::BTreeMap;

/// Standard upstreams of a service in each data centre.
const STANDARD: u32 = 2;

/// Reclaimable upstreams of a service in each data centre.
const SPOT: u32 = 6;

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
pub struct SpendingPlan;

impl SpendingPlan {
    /// Creates the plan.
    pub fn new() -> Self {
        Self
    }

    /// Returns what each data centre should have, reclaimable ones first, so
    /// that they are there before standard ones leave.
    pub fn targets(
        &self,
        table: &UpstreamTable,
        service: &str,
        scale: &ScaleTraits,
    ) -> Vec<FleetTarget> {
        let present = standard_by_data_centre(table, service);
        let (spot, standard): (Vec<_>, Vec<_>) = present
            .into_iter()
            .flat_map(|(data_centre, count)| targets_of(data_centre, count, scale))
            .partition(|target| target.is_spot);
        spot.into_iter().chain(standard).collect()
    }
}

fn targets_of(data_centre: String, present: u32, scale: &ScaleTraits) -> Vec<FleetTarget> {
    if scale.spot_price.is_none() {
        return Vec::new();
    }
    let standard = STANDARD
        .clamp(scale.min, scale.max)
        .min(present.max(scale.min));
    let spot = SPOT.min(scale.max - standard);
    let target = |is_spot, count| FleetTarget {
        data_centre: data_centre.clone(),
        is_spot,
        count,
    };
    vec![target(true, spot), target(false, standard)]
}

/// Returns the standard upstreams of each data centre that has any of the
/// service's upstreams.
fn standard_by_data_centre(table: &UpstreamTable, service: &str) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    let of_service = |upstream: &&Upstream| {
        upstream.record.service == service && upstream.record.phase == UpstreamPhase::Serving
    };
    for upstream in table.iter().map(|(_, one)| one).filter(of_service) {
        let count = counts
            .entry(upstream.record.data_centre.clone())
            .or_insert(0);
        *count += u32::from(!upstream.record.is_spot);
    }
    counts
}
