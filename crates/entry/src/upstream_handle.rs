//! The upstreams that requests can be sent to: their clients and descriptions.

use lagoonlift_policy::UpstreamFacts;
use lagoonlift_types::{
    Availability, Configuration, DataCentreName, FleetView, Upstream, UpstreamKind, UpstreamName,
};
use lagoonlift_upstreams::{EngineClient, ServiceClient, UpstreamConnections};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The client of one upstream.
#[derive(Debug)]
pub(crate) enum UpstreamClient {
    Engine(EngineClient),
    Service(ServiceClient),
}

/// The name and client of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamHandle {
    pub(crate) name: UpstreamName,
    pub(crate) client: UpstreamClient,
}

/// Identifies an upstream across all data centres.
pub(crate) type UpstreamId = (DataCentreName, UpstreamName);

/// An upstream as described by the configuration and by stewards.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamDescription {
    pub(crate) address: SocketAddr,
    pub(crate) facts: UpstreamFacts,
}

impl UpstreamHandle {
    pub(crate) fn new(description: &UpstreamDescription) -> Result<Self, reqwest::Error> {
        let client = match description.facts.role {
            Some(_) => UpstreamClient::Engine(EngineClient::new(description.address)?),
            None => UpstreamClient::Service(ServiceClient::new(description.address)?),
        };
        Ok(Self {
            name: description.facts.name.clone(),
            client,
        })
    }

    pub(crate) fn connections(&self) -> &UpstreamConnections {
        match &self.client {
            UpstreamClient::Engine(client) => client.connections(),
            UpstreamClient::Service(client) => client.connections(),
        }
    }
}

/// Lists all upstreams. A steward's fleet view takes precedence over the
/// configuration. Upstreams that no steward has reported on count as serving,
/// so that a data centre without a steward keeps serving.
pub(crate) fn list_upstreams(
    configuration: &Configuration,
    fleets: &BTreeMap<DataCentreName, FleetView>,
) -> BTreeMap<UpstreamId, UpstreamDescription> {
    let mut descriptions = BTreeMap::new();
    for (data_centre, capacity) in &configuration.data_centres {
        for (name, upstream) in &capacity.upstreams {
            let description = describe_upstream(data_centre, name, upstream, Availability::Serving);
            descriptions.insert((data_centre.clone(), name.clone()), description);
        }
    }
    for (data_centre, view) in fleets {
        for (name, status) in &view.upstreams {
            let description =
                describe_upstream(data_centre, name, &status.upstream, status.availability);
            descriptions.insert((data_centre.clone(), name.clone()), description);
        }
    }
    descriptions
}

fn describe_upstream(
    data_centre: &DataCentreName,
    name: &UpstreamName,
    upstream: &Upstream,
    availability: Availability,
) -> UpstreamDescription {
    let (models, role) = match &upstream.kind {
        UpstreamKind::Engine { models, role, .. } => (models.clone(), Some(*role)),
        UpstreamKind::Service => (BTreeSet::new(), None),
    };
    UpstreamDescription {
        address: upstream.address,
        facts: UpstreamFacts {
            name: name.clone(),
            data_centre: data_centre.clone(),
            models,
            role,
            supply: upstream.supply,
            accepts_requests: availability == Availability::Serving,
        },
    }
}
