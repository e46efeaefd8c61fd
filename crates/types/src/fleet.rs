//! The view of a data centre's upstreams that its steward publishes to the entry
//! processes.
//!
//! The configuration lists the upstreams that should exist. The fleet view says
//! which of them accept work at present: some are draining for a role change,
//! some are about to be removed, and some were ordered after the configuration
//! was accepted.

use crate::{DataCentreName, Epoch, Upstream, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The upstreams of one data centre as its steward sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Lease epoch of the steward that published the view. A view of a higher
    /// epoch replaces one of a lower epoch.
    pub epoch: Epoch,
    /// Version within the epoch; increases with each change.
    pub version: u64,
    /// All upstreams of the data centre, including ordered ones.
    pub upstreams: BTreeMap<UpstreamName, UpstreamStatus>,
}

/// One upstream as its data centre's steward sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its address, kind (with its current role) and supply.
    pub upstream: Upstream,
    /// Whether it accepts work.
    pub availability: Availability,
}

/// Whether an upstream accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// Accepts new work.
    Serving,
    /// Accepts no new work, and finishes its streams before a change such as that
    /// of its role.
    Draining,
    /// Accepts no new work, and is removed once its streams have finished.
    Leaving,
    /// Unreachable, or in the middle of a change.
    Away,
}

impl FleetView {
    /// Returns whether this view replaces `other` of the same data centre.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.epoch, self.version) > (other.epoch, other.version)
    }
}
