//! Which engine loads another model.

use super::{EngineRecord, FleetPolicy};
use crate::{EngineState, FleetAction, Timestamp, UpstreamKey};
use lagoonlift_types::ModelName;
use std::time::Duration;

/// Time over which loads of models are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(60);

impl FleetPolicy {
    /// Moves one engine to a model that has too few, within the rate limit of
    /// the weight store.
    pub(super) fn plan_models(&mut self, now: Timestamp, actions: &mut Vec<FleetAction>) {
        while let Some(at) = self.recent_loads.front()
            && now.since(*at) >= LOAD_WINDOW
        {
            self.recent_loads.pop_front();
        }
        if self.recent_loads.len() >= self.limits.loads_per_minute as usize {
            return;
        }
        let Some((engine, model)) = self.model_move(now) else {
            return;
        };
        self.engines[engine].ordered_change = true;
        self.engines[engine].changed_at = Some(now);
        self.recent_loads.push_back(now);
        actions.push(FleetAction::LoadModel { engine, model });
    }

    fn model_move(&self, now: Timestamp) -> Option<(UpstreamKey, ModelName)> {
        let long_utilisation = |model: &ModelName, engines: usize| {
            let record = &self.models[model];
            let fresh = record
                .forecast
                .updated_at()
                .is_some_and(|at| now.since(at) <= self.limits.stale_after);
            fresh.then(|| record.forecast.long_term().total() / engines.max(1) as f64)
        };
        let needy = self.models.keys().find(|model| {
            let engines = self.serving(model).count();
            self.away(model) == 0
                && long_utilisation(model, engines)
                    .is_some_and(|u| u > self.limits.order_utilisation)
        })?;
        let donor = |engine: &EngineRecord| {
            let model = &engine.facts.model;
            let remaining = self.serving(model).count().saturating_sub(1);
            model != needy
                && engine.facts.data_centre == self.data_centre
                && engine.facts.state == EngineState::Serving
                && !engine.ordered_change
                && engine.facts.loadable_models.contains(needy)
                && self.away(model) == 0
                && self.spares(model, engine.facts.role)
                && long_utilisation(model, remaining)
                    .is_some_and(|u| u < self.limits.release_utilisation)
        };
        let (key, _) = self.engines.iter().find(|(_, engine)| donor(engine))?;
        Some((key, needy.clone()))
    }
}
