//! A simulated engine and the state that it reports to the policies.

use crate::deployment::EngineSpec;
use lagoonlift_policy::{EngineFacts, EngineState, LoadReport, Timestamp, UpstreamFacts};
use lagoonlift_standins::model::{CacheFeed, DelayedFeed, EngineCosts, EngineModel};
use lagoonlift_types::{DataCentreName, Supply, UpstreamRole};
use std::collections::BTreeSet;
use std::time::Duration;

/// Price of a reserved engine for a second, the unit of all costs.
const RESERVED_PRICE: f64 = 1.0;
/// Price of a reclaimable engine for a second.
const RECLAIMABLE_PRICE: f64 = 0.35;
/// Time until entry hosts receive a prefix cache event.
const CACHE_EVENT_DELAY: Duration = Duration::from_secs(2);
/// Probability that a prefix cache event is lost.
const CACHE_EVENT_LOSS: f64 = 0.1;

/// Lifecycle state of a simulated engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineLifecycle {
    /// Accepts requests.
    Serving,
    /// A role change is announced to entry hosts but not started; no new
    /// requests are accepted.
    Announced,
    /// The role change is in progress.
    Changing,
    /// Finishes its requests before it is removed.
    Draining,
    /// Removed: given back, or taken away by the provider.
    Removed,
}

/// An engine of a run: its model, its lifecycle and its delayed reports.
#[derive(Debug)]
pub(crate) struct SimulatedEngine {
    pub(crate) spec: EngineSpec,
    pub(crate) model: EngineModel,
    pub(crate) state: EngineLifecycle,
    /// Whether it was ordered during the run.
    pub(crate) is_ordered: bool,
    /// The role after any announced or running role change.
    pub(crate) next_role: UpstreamRole,
    pub(crate) load_reports: DelayedFeed<LoadReport>,
    pub(crate) prefix_cache_events: CacheFeed,
    /// End of the step for which an event is scheduled.
    pub(crate) scheduled_step_end: Option<Timestamp>,
    added_at: Timestamp,
    removed_at: Option<Timestamp>,
}

impl SimulatedEngine {
    pub(crate) fn new(
        spec: EngineSpec,
        costs: EngineCosts,
        now: Timestamp,
        report_delay: Duration,
        seed: u64,
        is_ordered: bool,
    ) -> Self {
        Self {
            model: EngineModel::new(costs, spec.role),
            next_role: spec.role,
            spec,
            state: EngineLifecycle::Serving,
            is_ordered,
            load_reports: DelayedFeed::new(report_delay),
            prefix_cache_events: CacheFeed::new(CACHE_EVENT_DELAY, CACHE_EVENT_LOSS, seed),
            scheduled_step_end: None,
            added_at: now,
            removed_at: None,
        }
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.state == EngineLifecycle::Removed
    }

    pub(crate) fn mark_removed(&mut self, now: Timestamp) {
        self.state = EngineLifecycle::Removed;
        self.removed_at = Some(now);
    }

    /// Returns its cost up to `end`; 1 is the price of a reserved engine for a
    /// second.
    pub(crate) fn cost(&self, end: Timestamp) -> f64 {
        let until = self.removed_at.unwrap_or(end).min(end);
        let price = match self.spec.supply {
            Supply::Reserved => RESERVED_PRICE,
            Supply::Reclaimable => RECLAIMABLE_PRICE,
        };
        until.since(self.added_at).as_secs_f64() * price
    }

    pub(crate) fn upstream_facts(&self, data_centres: &[DataCentreName]) -> UpstreamFacts {
        UpstreamFacts {
            name: self.spec.name.clone(),
            data_centre: data_centres[self.spec.data_centre].clone(),
            models: BTreeSet::from([self.spec.model.clone()]),
            role: Some(self.model.role()),
            supply: self.spec.supply,
            accepts_requests: self.state == EngineLifecycle::Serving,
        }
    }

    pub(crate) fn engine_facts(&self, data_centres: &[DataCentreName]) -> EngineFacts {
        EngineFacts {
            name: self.spec.name.clone(),
            data_centre: data_centres[self.spec.data_centre].clone(),
            model: self.spec.model.clone(),
            loadable_models: BTreeSet::new(),
            role: self.model.role(),
            supply: self.spec.supply,
            state: match self.state {
                EngineLifecycle::Serving => EngineState::Serving,
                EngineLifecycle::Announced | EngineLifecycle::Changing => EngineState::Changing,
                EngineLifecycle::Draining => EngineState::Leaving,
                EngineLifecycle::Removed => EngineState::Unreachable,
            },
            is_purchased: self.is_ordered,
        }
    }
}
