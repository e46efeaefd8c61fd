//! Selects the engine that loads another model.
//!
//! The weight store limits how many model loads it can serve per minute, so at
//! most one engine is reassigned per tick and only within that limit.

use super::{EngineRecord, FleetPolicy};
use crate::{EngineState, FleetAction, Timestamp, UpstreamKey};
use lagoonlift_types::ModelName;
use std::time::Duration;

/// Time over which model loads are counted against the rate limit.
const MODEL_LOAD_WINDOW: Duration = Duration::from_secs(60);

impl FleetPolicy {
    /// Reassigns one engine to a model that has too few engines, within the rate
    /// limit of the weight store.
    pub(super) fn plan_models(&mut self, now: Timestamp, actions: &mut Vec<FleetAction>) {
        while let Some(at) = self.recent_model_loads.front()
            && now.since(*at) >= MODEL_LOAD_WINDOW
        {
            self.recent_model_loads.pop_front();
        }
        if self.recent_model_loads.len() >= self.limits.max_model_loads_per_minute as usize {
            return;
        }
        let Some((engine, model)) = self.select_model_load(now) else {
            return;
        };
        self.engines[engine].has_open_order = true;
        self.engines[engine].changed_at = Some(now);
        self.recent_model_loads.push_back(now);
        actions.push(FleetAction::LoadModel { engine, model });
    }

    fn select_model_load(&self, now: Timestamp) -> Option<(UpstreamKey, ModelName)> {
        let long_term_utilisation = |model: &ModelName, engines: usize| {
            let record = &self.models[model];
            let is_fresh = record
                .forecast
                .updated_at()
                .is_some_and(|at| now.since(at) <= self.limits.stale_after);
            is_fresh.then(|| record.forecast.long_term().total() / engines.max(1) as f64)
        };
        let overloaded_model = self.models.keys().find(|model| {
            let engines = self.serving_engines(model).count();
            self.changing_count(model) == 0
                && long_term_utilisation(model, engines)
                    .is_some_and(|utilisation| utilisation > self.limits.order_utilisation)
        })?;
        let can_donate = |engine: &EngineRecord| {
            let model = &engine.facts.model;
            let remaining = self.serving_engines(model).count().saturating_sub(1);
            model != overloaded_model
                && engine.facts.data_centre == self.data_centre
                && engine.facts.state == EngineState::Serving
                && !engine.has_open_order
                && engine.facts.loadable_models.contains(overloaded_model)
                && self.changing_count(model) == 0
                && self.can_spare_engine(model, engine.facts.role)
                && long_term_utilisation(model, remaining)
                    .is_some_and(|utilisation| utilisation < self.limits.release_utilisation)
        };
        let (key, _) = self.engines.iter().find(|(_, engine)| can_donate(engine))?;
        Some((key, overloaded_model.clone()))
    }
}
