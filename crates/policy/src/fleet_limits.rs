//! The numbers that the fleet policy weighs with.

use crate::EngineRates;
use std::time::Duration;

/// What a deployment weighs most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetWeighting {
    /// Goodput through shifts: change roles readily, buy late.
    Goodput,
    /// The worst-served workspace: keep slack, change roles less, buy early.
    WorstServed,
}

/// The numbers that the fleet policy weighs with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// How fast an engine works.
    pub rates: EngineRates,
    /// Utilisation of a role above which its work counts as unserved.
    pub target_utilisation: f64,
    /// Over how long a change has to pay.
    pub payback_horizon: Duration,
    /// Seconds that a change takes the engine away, draining included.
    pub change_downtime: Duration,
    /// A change must save this many times what it costs.
    pub min_gain_ratio: f64,
    /// Least time between two changes of one engine.
    pub min_role_time: Duration,
    /// Role changes of one model that may be made at once, over time.
    pub change_burst: u32,
    /// What each of them that was made lately adds to the gain that the next one
    /// needs, as a share of it.
    pub spent_change_surcharge: f64,
    /// Time in which one more change becomes permitted.
    pub change_refill_interval: Duration,
    /// Engines of one model, out of which one may be away at once.
    pub engines_per_concurrent_change: usize,
    /// Age at which a report no longer counts.
    pub stale_after: Duration,
    /// Model loads that the weight store permits in a minute.
    pub loads_per_minute: u32,
    /// Long-term utilisation above which upstreams are ordered.
    pub order_utilisation: f64,
    /// Long-term utilisation, after the release, below which one is released.
    pub release_utilisation: f64,
    /// Most upstreams that may be on order or ordered at once.
    pub order_limit: u32,
}

impl FleetLimits {
    /// Creates the limits of a weighting.
    pub fn new(weighting: FleetWeighting) -> Self {
        let goodput = Self {
            rates: EngineRates::default(),
            target_utilisation: 0.8,
            payback_horizon: Duration::from_secs(45),
            change_downtime: Duration::from_secs(8),
            min_gain_ratio: 2.0,
            min_role_time: Duration::from_secs(20),
            change_burst: 6,
            spent_change_surcharge: 0.5,
            change_refill_interval: Duration::from_secs(30),
            engines_per_concurrent_change: 6,
            stale_after: Duration::from_secs(10),
            loads_per_minute: 2,
            order_utilisation: 0.9,
            release_utilisation: 0.7,
            order_limit: 4,
        };
        match weighting {
            FleetWeighting::Goodput => goodput,
            FleetWeighting::WorstServed => Self {
                change_burst: 4,
                change_refill_interval: Duration::from_secs(60),
                order_utilisation: 0.8,
                release_utilisation: 0.6,
                ..goodput
            },
        }
    }
}
