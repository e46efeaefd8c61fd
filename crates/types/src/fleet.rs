//! What a data centre's steward tells the entry processes about upstreams.
//!
//! The configuration says which upstreams there are meant to be; the fleet view
//! says which take work now: some are draining for a role change, some are
//! leaving, some were ordered since.

use crate::{DataCentreName, Epoch, Upstream, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The upstreams of one data centre as its steward sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Epoch of the steward that says so; a higher one replaces a lower one.
    pub epoch: Epoch,
    /// Rises with each change within an epoch.
    pub version: u64,
    /// Every upstream of the data centre, ordered ones included.
    pub upstreams: BTreeMap<UpstreamName, UpstreamStatus>,
}

/// One upstream as its data centre's steward sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its address, kind (with the role that it has now) and supply.
    pub upstream: Upstream,
    /// Whether it takes work.
    pub availability: Availability,
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// Takes new work.
    Serving,
    /// Finishes its streams before a change; takes no new work.
    Draining,
    /// Finishes its streams and goes; takes no new work.
    Leaving,
    /// Doesn't answer, or is in the middle of a change.
    Away,
}

impl FleetView {
    /// Returns whether this view replaces `other` of the same data centre.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.epoch, self.version) > (other.epoch, other.version)
    }
}
