//! The object that names the holder.

use lagoonlift_types::{DataCentreName, Epoch, Incarnation, ProcessId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One start of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseIdentity {
    /// The process.
    pub process: ProcessId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Random; tells apart starts that share an incarnation.
    pub nonce: u64,
}

/// An earlier holder that may still be in the middle of sending an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Predecessor {
    /// Its epoch.
    pub epoch: Epoch,
    /// Who it was.
    pub identity: LeaseIdentity,
}

/// The lease of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Rises by one with each new holder.
    pub epoch: Epoch,
    /// The holder.
    pub identity: LeaseIdentity,
    /// Number of the write among those of its holder; tells a lost answer's
    /// write from others.
    pub write: u64,
    /// How long the holder may act after it sent this write, in milliseconds.
    pub term_ms: u64,
    /// Whether the holder gave the lease up, with nothing of its own under way.
    pub released: bool,
    /// Holders before that haven't confirmed that they stopped.
    pub predecessors: Vec<Predecessor>,
}

impl LeaseRecord {
    /// Returns the object key of a data centre's lease.
    pub fn key(data_centre: &DataCentreName) -> String {
        format!("leases/{data_centre}")
    }

    /// Returns the term.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns the holders that a successor has to reckon with.
    pub(crate) fn unconfirmed(&self) -> Vec<Predecessor> {
        let mut predecessors = self.predecessors.clone();
        if !self.released {
            predecessors.push(Predecessor {
                epoch: self.epoch,
                identity: self.identity.clone(),
            });
        }
        predecessors
    }
}
