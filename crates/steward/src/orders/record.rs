//! The object that records an order.

use lagoonlift_types::{DataCentreName, Epoch, UpstreamName};
use lagoonlift_upstreams::{EngineChange, EngineOrder};
use serde::{Deserialize, Serialize};

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The engine carried it out.
    Done,
    /// The engine gave it up or refused it.
    Failed,
}

/// The last order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Identifies the order at the engine.
    pub id: String,
    /// Epoch of the holder that wrote or took over the order.
    pub epoch: Epoch,
    /// What it changes.
    pub change: EngineChange,
    /// How it ended; `None` while it is open.
    pub result: Option<OrderResult>,
}

impl OrderRecord {
    /// Returns the object key of an engine's last order.
    pub fn key(data_centre: &DataCentreName, upstream: &UpstreamName) -> String {
        format!("orders/{data_centre}/{upstream}")
    }

    /// Returns the order as it is sent.
    pub(crate) fn order(&self) -> EngineOrder {
        EngineOrder {
            id: self.id.clone(),
            fencing: self.epoch,
            change: self.change.clone(),
        }
    }
}
