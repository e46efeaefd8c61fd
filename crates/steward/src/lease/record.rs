//! The object that names the lease holder.

use lagoonlift_types::{DataCentreName, Epoch, Incarnation, ProcessId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies one incarnation of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseIdentity {
    /// Host and role of the process.
    pub process: ProcessId,
    /// Number of the incarnation: Unix time of the process's start in milliseconds.
    pub incarnation: Incarnation,
    /// Random number that distinguishes incarnations with the same number.
    pub nonce: u64,
}

/// An earlier holder that may still have an order in flight.
///
/// It is resolved once it is taken to send no more orders of its epoch. Its process
/// may still run then, and may hold the lease in a later epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Predecessor {
    /// Epoch in which it held the lease.
    pub epoch: Epoch,
    /// Its process.
    pub identity: LeaseIdentity,
}

/// The lease of one data centre, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Incremented by each new holder.
    pub epoch: Epoch,
    /// The process that holds or last held the lease.
    pub identity: LeaseIdentity,
    /// Sequence number of this write among the holder's writes. It identifies a
    /// write whose response was lost.
    pub write: u64,
    /// Term of the lease in milliseconds. The holder's grant ends a safety margin before
    /// the term has passed since this write was sent.
    pub term_ms: u64,
    /// Whether the holder released the lease, with none of its orders in flight.
    pub released: bool,
    /// Earlier holders that aren't resolved.
    pub predecessors: Vec<Predecessor>,
}

impl LeaseRecord {
    /// Returns the object key of a data centre's lease.
    pub fn key(data_centre: &DataCentreName) -> String {
        format!("leases/{data_centre}")
    }

    /// Returns the term of the lease. The holder's grant is shorter by a safety margin.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }

    /// Returns the holders that aren't resolved when a successor takes over: the
    /// predecessors and, unless it released the lease, the holder itself.
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
