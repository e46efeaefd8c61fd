//! Maps the engines of the data centre to the keys of the fleet policy.

use crate::fleet::FleetUpstreams;
use lagoonlift_policy::{EngineFacts, EngineState, FleetPolicy, UpstreamKey};
use lagoonlift_types::{
    Availability, Configuration, DataCentreName, UpstreamKind, UpstreamName, UpstreamStatus,
};
use std::collections::{BTreeMap, BTreeSet};

/// Keeps the policy's set of engines in sync with the fleet view.
pub(crate) struct EngineIndex {
    data_centre: DataCentreName,
    keys: BTreeMap<UpstreamName, UpstreamKey>,
}

impl EngineIndex {
    pub(crate) fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            keys: BTreeMap::new(),
        }
    }

    /// Adds, updates and removes engines of the policy. Returns new engines that
    /// were purchased from the platform.
    ///
    /// `changing` contains the engines whose planned change is pending.
    pub(crate) fn update(
        &mut self,
        policy: &mut FleetPolicy,
        upstreams: &FleetUpstreams,
        configuration: &Configuration,
        changing: &BTreeSet<UpstreamName>,
    ) -> Vec<EngineFacts> {
        let mut arrived = Vec::new();
        for (name, status) in upstreams {
            let Some(facts) = self.facts(name, status, configuration, changing) else {
                continue;
            };
            match self.keys.get(name) {
                Some(key) => policy.update_engine(*key, facts),
                None => {
                    if facts.is_purchased {
                        arrived.push(facts.clone());
                    }
                    self.keys.insert(name.clone(), policy.add_engine(facts));
                }
            }
        }
        self.keys.retain(|name, key| {
            let is_there = upstreams.contains_key(name);
            if !is_there {
                policy.remove_engine(*key);
            }
            is_there
        });
        arrived
    }

    /// Returns the policy's key of an engine, if the policy has the engine.
    pub(crate) fn key(&self, name: &UpstreamName) -> Option<UpstreamKey> {
        self.keys.get(name).copied()
    }

    /// Returns the name of the engine with this key.
    pub(crate) fn name(&self, key: UpstreamKey) -> Option<&UpstreamName> {
        let mut names = self.keys.iter();
        names.find_map(|(name, known)| (*known == key).then_some(name))
    }

    fn facts(
        &self,
        name: &UpstreamName,
        status: &UpstreamStatus,
        configuration: &Configuration,
        changing: &BTreeSet<UpstreamName>,
    ) -> Option<EngineFacts> {
        let UpstreamKind::Engine { models, role, .. } = &status.upstream.kind else {
            return None;
        };
        let capacity = configuration.data_centres.get(&self.data_centre);
        let is_configured = capacity.is_some_and(|known| known.upstreams.contains_key(name));
        Some(EngineFacts {
            name: name.clone(),
            data_centre: self.data_centre.clone(),
            model: models.first()?.clone(),
            loadable_models: models.iter().skip(1).cloned().collect(),
            role: *role,
            supply: status.upstream.supply,
            state: state_of(status.availability, changing.contains(name)),
            is_purchased: !is_configured,
        })
    }
}

fn state_of(availability: Availability, is_changing: bool) -> EngineState {
    match availability {
        Availability::Leaving => EngineState::Leaving,
        _ if is_changing => EngineState::Changing,
        Availability::Serving => EngineState::Serving,
        Availability::Draining => EngineState::Changing,
        // Includes an engine that executes an order while the planner has no change of
        // it pending.
        Availability::Away => EngineState::Unreachable,
    }
}
