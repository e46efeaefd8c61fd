//! The upstreams that work can be sent to, and what is known of each.

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

/// One upstream that work can be sent to.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    pub(crate) name: UpstreamName,
    pub(crate) client: UpstreamClient,
}

/// Identifies an upstream among all data centres.
pub(crate) type UpstreamId = (DataCentreName, UpstreamName);

/// An upstream as configuration and stewards together describe it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamEntry {
    pub(crate) address: SocketAddr,
    pub(crate) facts: UpstreamFacts,
}

impl UpstreamLink {
    pub(crate) fn new(entry: &UpstreamEntry) -> Result<Self, reqwest::Error> {
        let client = match entry.facts.role {
            Some(_) => UpstreamClient::Engine(EngineClient::new(entry.address)?),
            None => UpstreamClient::Service(ServiceClient::new(entry.address)?),
        };
        Ok(Self {
            name: entry.facts.name.clone(),
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

/// Lists every upstream. A steward's view goes before the configuration; what
/// no steward has spoken of is taken to serve, so that a data centre without a
/// steward goes on serving.
pub(crate) fn list_upstreams(
    configuration: &Configuration,
    fleets: &BTreeMap<DataCentreName, FleetView>,
) -> BTreeMap<UpstreamId, UpstreamEntry> {
    let mut entries = BTreeMap::new();
    for (data_centre, capacity) in &configuration.data_centres {
        for (name, upstream) in &capacity.upstreams {
            let entry = upstream_entry(data_centre, name, upstream, Availability::Serving);
            entries.insert((data_centre.clone(), name.clone()), entry);
        }
    }
    for (data_centre, view) in fleets {
        for (name, status) in &view.upstreams {
            let entry = upstream_entry(data_centre, name, &status.upstream, status.availability);
            entries.insert((data_centre.clone(), name.clone()), entry);
        }
    }
    entries
}

fn upstream_entry(
    data_centre: &DataCentreName,
    name: &UpstreamName,
    upstream: &Upstream,
    availability: Availability,
) -> UpstreamEntry {
    let (models, role) = match &upstream.kind {
        UpstreamKind::Engine { models, role, .. } => (models.clone(), Some(*role)),
        UpstreamKind::Service => (BTreeSet::new(), None),
    };
    UpstreamEntry {
        address: upstream.address,
        facts: UpstreamFacts {
            name: name.clone(),
            data_centre: data_centre.clone(),
            models,
            role,
            supply: upstream.supply,
            accepts_work: availability == Availability::Serving,
        },
    }
}
