//! Computes the state of each upstream from all sources.

use lagoonlift_platform::wire::{FleetList, FleetState, FleetUpstream, UpstreamSupply};
use lagoonlift_types::{
    Availability, DataCentreName, FencingSupport, FleetView, ModelName, Supply, Upstream,
    UpstreamKind, UpstreamName, UpstreamRole, UpstreamStatus,
};
use std::collections::{BTreeMap, BTreeSet};

/// Consecutive failed status queries after which an engine is reported as
/// [`Availability::Away`]. An engine that executes an order is reported as away too.
const AWAY_AFTER_FAILURES: u32 = 3;

/// Results of the status queries to an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    /// The role reported last.
    role: Option<UpstreamRole>,
    /// Failed queries since the last response.
    failures: u32,
}

/// Merges the configuration, the platform's fleet list, the engines' reports and
/// the orders in progress.
#[derive(Debug)]
pub struct FleetComposer {
    data_centre: DataCentreName,
    configured: BTreeMap<UpstreamName, Upstream>,
    purchased: BTreeMap<UpstreamName, Upstream>,
    /// Upstreams that were listed as leaving and not as live since. They stay here
    /// when the list no longer contains them, since they haven't come back.
    leaving: BTreeSet<UpstreamName>,
    observations: BTreeMap<UpstreamName, Observation>,
    overrides: BTreeMap<UpstreamName, Availability>,
}

impl FleetComposer {
    /// Creates a composer without upstreams.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            configured: BTreeMap::new(),
            purchased: BTreeMap::new(),
            leaving: BTreeSet::new(),
            observations: BTreeMap::new(),
            overrides: BTreeMap::new(),
        }
    }

    /// Replaces the upstreams that the configuration defines.
    pub fn set_configured(&mut self, upstreams: BTreeMap<UpstreamName, Upstream>) {
        self.configured = upstreams;
    }

    /// Replaces the platform's fleet list. Entries of other data centres are ignored,
    /// and malformed ones are logged and skipped.
    pub fn set_platform_list(&mut self, list: &FleetList) {
        self.purchased.clear();
        let own_data_centre = self.data_centre.as_str().to_owned();
        for entry in list
            .upstreams
            .iter()
            .filter(|listed| listed.data_centre == own_data_centre)
        {
            let Ok(name) = UpstreamName::new(&entry.name) else {
                tracing::warn!(
                    name = entry.name,
                    "skipped a malformed name in the fleet list"
                );
                continue;
            };
            match entry.state {
                FleetState::Leaving => self.leaving.insert(name.clone()),
                FleetState::Live => self.leaving.remove(&name),
            };
            if let Some(upstream) = purchased_upstream(entry) {
                self.purchased.insert(name, upstream);
            }
        }
    }

    /// Adds the leaving upstreams of the previous holder's view. They count as
    /// leaving until the fleet list shows them as live.
    pub fn carry_over(&mut self, view: &FleetView) {
        let is_leaving = |status: &UpstreamStatus| status.availability == Availability::Leaving;
        let leaving = view
            .upstreams
            .iter()
            .filter(|(_, status)| is_leaving(status));
        self.leaving.extend(leaving.map(|(name, _)| name.clone()));
    }

    /// Records the role that an engine reported, or `None` if it didn't respond.
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

    /// Overrides an upstream's availability while an order is in progress. `None`
    /// removes the override.
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

    /// Returns every known upstream with its current role and availability.
    pub fn compose(&self) -> BTreeMap<UpstreamName, UpstreamStatus> {
        let known = self.purchased.iter().chain(&self.configured);
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

/// Parses an upstream that was purchased from the platform. The list doesn't say
/// whether it checks fencing tokens, so this assumes that it doesn't.
fn purchased_upstream(entry: &FleetUpstream) -> Option<Upstream> {
    let purchase = entry.ordered.as_ref()?;
    let models: Result<BTreeSet<_>, _> = purchase
        .models
        .iter()
        .map(|model| ModelName::new(model))
        .collect();
    let supply = match purchase.supply {
        UpstreamSupply::Reserved => Supply::Reserved,
        UpstreamSupply::Reclaimable => Supply::Reclaimable,
    };
    match (purchase.address.parse(), models) {
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
            tracing::warn!(
                name = entry.name,
                "skipped a malformed upstream in the fleet list"
            );
            None
        }
    }
}
