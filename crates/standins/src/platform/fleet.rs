//! The list of live and leaving hosts and upstreams, which may lag.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the list says of a host or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEntry {
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// What an upstream is that was delivered for an order.
    pub ordered: Option<OrderedEngine>,
}

/// An upstream that was delivered for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderedEngine {
    /// The order.
    pub order: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Whether it may be reclaimed.
    pub is_reclaimable: bool,
}

impl FleetEntry {
    /// Creates the entry of a host or upstream that stays.
    pub fn live(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            is_leaving: false,
            ordered: None,
        }
    }

    /// Creates the entry of a host or upstream that leaves.
    pub fn leaving(data_centre: &str) -> Self {
        Self {
            is_leaving: true,
            ..Self::live(data_centre)
        }
    }

    /// Says what the upstream is.
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
    /// What callers see while the list is frozen.
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

    pub(crate) fn set_frozen(&mut self, frozen: bool) {
        self.frozen = None;
        if frozen {
            self.frozen = Some(self.visible());
        }
    }

    /// Returns what callers see.
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
