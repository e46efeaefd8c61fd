//! The object that stores the last order to an engine.

use lagoonlift_types::{DataCentreName, Epoch, UpstreamName};
use lagoonlift_upstreams::{EngineChange, EngineOrder};
use serde::{Deserialize, Serialize};

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The engine executed the order.
    Done,
    /// The engine aborted or refused the order.
    Failed,
}

/// The last order to one engine, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Unique identifier of the order, which the engine uses to detect repeats.
    pub id: String,
    /// Epoch of the lease holder that wrote this record.
    pub epoch: Epoch,
    /// The ordered change.
    pub change: EngineChange,
    /// The result; `None` while the order is open.
    pub result: Option<OrderResult>,
}

impl OrderRecord {
    /// Returns the object key of an engine's last order.
    pub fn key(data_centre: &DataCentreName, upstream: &UpstreamName) -> String {
        format!("orders/{data_centre}/{upstream}")
    }

    /// Returns the order as sent to the engine.
    pub(crate) fn order(&self) -> EngineOrder {
        EngineOrder {
            id: self.id.clone(),
            fencing: self.epoch,
            change: self.change.clone(),
        }
    }
}
