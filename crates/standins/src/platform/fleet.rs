//! The fleet list: hosts and upstreams that are live or leaving. It can be frozen to
//! give callers stale data.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The entry of a host or an upstream in the fleet list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEntry {
    /// Data centre of the host or upstream.
    pub data_centre: String,
    /// Whether the host or upstream is leaving the fleet.
    pub is_leaving: bool,
    /// Details of an upstream that was delivered for an order.
    pub ordered: Option<OrderedEngine>,
}

/// An engine that was delivered for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderedEngine {
    /// Identifier of the order.
    pub order: String,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Models that the engine serves.
    pub models: Vec<String>,
    /// Whether the provider can reclaim the engine; otherwise it is reserved.
    pub is_reclaimable: bool,
}

impl FleetEntry {
    /// Creates the entry of a live host or upstream.
    pub fn live(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            is_leaving: false,
            ordered: None,
        }
    }

    /// Creates the entry of a host or upstream that is leaving.
    pub fn leaving(data_centre: &str) -> Self {
        Self {
            is_leaving: true,
            ..Self::live(data_centre)
        }
    }

    /// Marks the upstream as delivered for an order.
    #[must_use]
    pub fn with_ordered(mut self, ordered: OrderedEngine) -> Self {
        self.ordered = Some(ordered);
        self
    }

    fn to_json(&self, name: &str) -> Value {
        let state = if self.is_leaving { "leaving" } else { "live" };
        let mut entry = json!({
            "name": name,
            "data_centre": self.data_centre,
            "state": state,
        });
        if let Some(engine) = &self.ordered {
            let supply = if engine.is_reclaimable {
                "reclaimable"
            } else {
                "reserved"
            };
            entry["ordered"] = json!({
                "order": engine.order,
                "address": engine.address.to_string(),
                "models": engine.models,
                "supply": supply,
            });
        }
        entry
    }
}

/// The fleet list.
#[derive(Debug, Default)]
pub(crate) struct FleetState {
    hosts: BTreeMap<String, FleetEntry>,
    upstreams: BTreeMap<String, FleetEntry>,
    /// The list that callers read while it is frozen.
    frozen: Option<Value>,
}

impl FleetState {
    pub(crate) fn set_host(&mut self, name: &str, entry: FleetEntry) {
        self.hosts.insert(name.to_owned(), entry);
    }

    pub(crate) fn remove_host(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    pub(crate) fn set_upstream(&mut self, name: &str, entry: FleetEntry) {
        self.upstreams.insert(name.to_owned(), entry);
    }

    pub(crate) fn remove_upstream(&mut self, name: &str) {
        self.upstreams.remove(name);
    }

    pub(crate) fn set_frozen(&mut self, is_frozen: bool) {
        self.frozen = None;
        if is_frozen {
            self.frozen = Some(self.visible());
        }
    }

    /// Returns the list that callers read.
    pub(crate) fn visible(&self) -> Value {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        json!({
            "hosts": entries(&self.hosts),
            "upstreams": entries(&self.upstreams),
        })
    }
}

fn entries(entries: &BTreeMap<String, FleetEntry>) -> Vec<Value> {
    entries
        .iter()
        .map(|(name, entry)| entry.to_json(name))
        .collect()
}
