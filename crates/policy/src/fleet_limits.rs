//! Tuning parameters of the fleet policy.

use crate::EngineRates;
use std::time::Duration;

/// The objective that a deployment gives the most weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetWeighting {
    /// Goodput while the mix of work shifts: roles change readily and purchases
    /// are late.
    Goodput,
    /// Service to the worst-served workspace: spare capacity is kept, roles
    /// change less often and purchases are early.
    WorstServed,
}

/// Limits and estimates that the fleet policy decides with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Throughput of one engine.
    pub rates: EngineRates,
    /// Utilisation of a role above which further work counts as unserved.
    pub target_utilisation: f64,
    /// Time within which a role change has to pay off.
    pub payback_horizon: Duration,
    /// Time for which an engine is unavailable because of a role change,
    /// including the time to drain it.
    pub change_downtime: Duration,
    /// Minimum ratio between what a role change saves within the payback horizon
    /// and what it costs, both in engine-seconds. The cost is `change_downtime` of
    /// one engine.
    pub min_saving_ratio: f64,
    /// Minimum time between two changes of the same engine.
    pub min_role_time: Duration,
    /// Capacity of the budget of role changes: how many changes of one model may
    /// follow each other without waiting for a refill.
    pub change_burst: u32,
    /// Increase of the minimum saving of a role change for each change that is
    /// currently spent from the budget, as a share of the minimum saving.
    pub spent_change_surcharge: f64,
    /// Time in which the budget refills by one change.
    pub change_refill_interval: Duration,
    /// Divisor for the number of engines that may be changing at the same time:
    /// one for every this many engines of a model, rounded up.
    pub engines_per_concurrent_change: usize,
    /// Age above which a report is ignored.
    pub stale_after: Duration,
    /// Maximum number of times per minute that engines may load a model's weights
    /// from the weight store.
    pub max_model_loads_per_minute: u32,
    /// Long-term utilisation above which additional upstreams are purchased, 0 to
    /// 1. A model above it may also get engines of other models.
    pub order_utilisation: f64,
    /// Long-term utilisation below which an upstream is released, 0 to 1. It is
    /// computed for the fleet without that upstream.
    pub release_utilisation: f64,
    /// Maximum number of purchased upstreams of one model that may be on order,
    /// that is, not delivered yet, at the same time. It doesn't limit orders to
    /// engines.
    pub order_limit: u32,
}

impl FleetLimits {
    /// Creates the default limits for a weighting.
    pub fn new(weighting: FleetWeighting) -> Self {
        let goodput = Self {
            rates: EngineRates::default(),
            target_utilisation: 0.8,
            payback_horizon: Duration::from_secs(45),
            change_downtime: Duration::from_secs(8),
            min_saving_ratio: 2.0,
            min_role_time: Duration::from_secs(20),
            change_burst: 6,
            spent_change_surcharge: 0.5,
            change_refill_interval: Duration::from_secs(30),
            engines_per_concurrent_change: 6,
            stale_after: Duration::from_secs(10),
            max_model_loads_per_minute: 2,
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
