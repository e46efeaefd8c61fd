//! Merges what is known of each upstream.

use lagoonlift_platform::wire::{FleetList, FleetState, FleetUpstream, UpstreamSupply};
use lagoonlift_types::{
    Availability, DataCentreName, FencingSupport, FleetView, ModelName, Supply, Upstream,
    UpstreamKind, UpstreamName, UpstreamRole, UpstreamStatus,
};
use std::collections::{BTreeMap, BTreeSet};

/// Failed looks at an engine in a row after which it counts as away.
const AWAY_AFTER_FAILURES: u32 = 3;

/// What an engine said of itself, or that it didn't answer.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    role: Option<UpstreamRole>,
    failures: u32,
}

/// Merges configuration, platform list, observations and orders under way.
#[derive(Debug)]
pub struct FleetComposer {
    data_centre: DataCentreName,
    configured: BTreeMap<UpstreamName, Upstream>,
    ordered: BTreeMap<UpstreamName, Upstream>,
    /// Upstreams once listed as leaving, until they are listed as live again:
    /// one that is gone from the list hasn't come back.
    leaving: BTreeSet<UpstreamName>,
    observations: BTreeMap<UpstreamName, Observation>,
    overrides: BTreeMap<UpstreamName, Availability>,
}

impl FleetComposer {
    /// Creates a composer that knows no upstreams.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            configured: BTreeMap::new(),
            ordered: BTreeMap::new(),
            leaving: BTreeSet::new(),
            observations: BTreeMap::new(),
            overrides: BTreeMap::new(),
        }
    }

    /// Takes in the upstreams that the configuration names.
    pub fn set_configured(&mut self, upstreams: BTreeMap<UpstreamName, Upstream>) {
        self.configured = upstreams;
    }

    /// Takes in the platform's list.
    pub fn set_platform_list(&mut self, list: &FleetList) {
        self.ordered.clear();
        let own_data_centre = self.data_centre.as_str().to_owned();
        for entry in list
            .upstreams
            .iter()
            .filter(|listed| listed.data_centre == own_data_centre)
        {
            let Ok(name) = UpstreamName::new(&entry.name) else {
                tracing::warn!(name = entry.name, "the platform lists a malformed name");
                continue;
            };
            match entry.state {
                FleetState::Leaving => self.leaving.insert(name.clone()),
                FleetState::Live => self.leaving.remove(&name),
            };
            if let Some(upstream) = ordered_upstream(entry) {
                self.ordered.insert(name, upstream);
            }
        }
    }

    /// Takes in what an earlier holder saw: an upstream that was leaving then is
    /// still leaving, or gone, until the list shows it as live.
    pub fn carry_over(&mut self, view: &FleetView) {
        let is_leaving = |status: &UpstreamStatus| status.availability == Availability::Leaving;
        let leaving = view
            .upstreams
            .iter()
            .filter(|(_, status)| is_leaving(status));
        self.leaving.extend(leaving.map(|(name, _)| name.clone()));
    }

    /// Takes in the role that an engine says it has; `None` if it was silent.
    pub fn observe(&mut self, name: UpstreamName, role: Option<UpstreamRole>) {
        let observation = self.observations.entry(name).or_default();
        match role {
            Some(role) => {
                *observation = Observation {
                    role: Some(role),
                    failures: 0,
                };
            }
            None => observation.failures = observation.failures.saturating_add(1),
        }
    }

    /// Takes an upstream out of service for an order, or puts it back.
    pub fn override_availability(
        &mut self,
        name: UpstreamName,
        availability: Option<Availability>,
    ) {
        match availability {
            Some(availability) => self.overrides.insert(name, availability),
            None => self.overrides.remove(&name),
        };
    }

    /// Returns every upstream with its role and whether it takes work.
    pub fn compose(&self) -> BTreeMap<UpstreamName, UpstreamStatus> {
        let known = self.ordered.iter().chain(&self.configured);
        known
            .map(|(name, upstream)| (name.clone(), self.status(name, upstream)))
            .collect()
    }

    fn status(&self, name: &UpstreamName, upstream: &Upstream) -> UpstreamStatus {
        let observation = self.observations.get(name).copied().unwrap_or_default();
        let mut upstream = upstream.clone();
        if let (UpstreamKind::Engine { role, .. }, Some(current_role)) =
            (&mut upstream.kind, observation.role)
        {
            *role = current_role;
        }
        let availability = match self.overrides.get(name) {
            _ if self.leaving.contains(name) => Availability::Leaving,
            Some(availability) => *availability,
            None if observation.failures >= AWAY_AFTER_FAILURES => Availability::Away,
            None => Availability::Serving,
        };
        UpstreamStatus {
            upstream,
            availability,
        }
    }
}

/// Reads what an ordered upstream is. Whether it checks fencing numbers isn't
/// declared, so it counts as one that doesn't.
fn ordered_upstream(entry: &FleetUpstream) -> Option<Upstream> {
    let ordered = entry.ordered.as_ref()?;
    let models: Result<BTreeSet<_>, _> = ordered
        .models
        .iter()
        .map(|model| ModelName::new(model))
        .collect();
    let supply = match ordered.supply {
        UpstreamSupply::Reserved => Supply::Reserved,
        UpstreamSupply::Reclaimable => Supply::Reclaimable,
    };
    match (ordered.address.parse(), models) {
        (Ok(address), Ok(models)) => Some(Upstream {
            address,
            kind: UpstreamKind::Engine {
                models,
                role: UpstreamRole::Mixed,
                fencing: FencingSupport::Ignored,
            },
            supply,
        }),
        _ => {
            tracing::warn!(name = entry.name, "the platform lists a malformed upstream");
            None
        }
    }
}
