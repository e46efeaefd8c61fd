//! Selection of the fleet versions that the next datagram carries.
//!
//! Listing all data centres in every datagram would take more space than the
//! rest of the datagram. A datagram lists versions that changed recently. It also
//! lists the version of one further data centre, each data centre in turn, for
//! processes that missed a change.

use crate::fleets::FleetViewStore;
use crate::wire::FleetVersion;
use lagoonlift_types::DataCentreName;
use std::collections::BTreeMap;

/// Maximum number of versions in one datagram.
const MAX_VERSIONS_PER_DATAGRAM: usize = 4;
/// Number of datagrams that list a version after it changed.
const SENDS_PER_CHANGE: u32 = 24;

/// Tracks which versions changed recently and which is next in the rotation.
#[derive(Debug, Default)]
pub(crate) struct FleetVersionGossip {
    /// The version that was last observed for each data centre. Entries stay after
    /// their last send, so that an unchanged version isn't taken for a new one.
    observed: BTreeMap<DataCentreName, ObservedVersion>,
    /// Index of the data centre that was listed last in the rotation.
    rotation_index: usize,
}

/// A version and the number of datagrams that must still list it.
#[derive(Debug)]
struct ObservedVersion {
    version: FleetVersion,
    sends_left: u32,
}

impl FleetVersionGossip {
    /// Records which views changed since the last call.
    pub(crate) fn observe(&mut self, store: &FleetViewStore) {
        for version in store.versions() {
            let last_observed = self.observed.get(&version.data_centre);
            if last_observed.is_some_and(|observed| observed.version == version) {
                continue;
            }
            let observed = ObservedVersion {
                version: version.clone(),
                sends_left: SENDS_PER_CHANGE,
            };
            self.observed.insert(version.data_centre, observed);
        }
    }

    /// Returns the versions that the next datagram lists.
    pub(crate) fn select(&mut self, store: &FleetViewStore) -> Vec<FleetVersion> {
        let mut versions: Vec<FleetVersion> = Vec::with_capacity(MAX_VERSIONS_PER_DATAGRAM);
        let changed = self
            .observed
            .values_mut()
            .filter(|observed| observed.sends_left > 0);
        for observed in changed.take(MAX_VERSIONS_PER_DATAGRAM - 1) {
            observed.sends_left -= 1;
            versions.push(observed.version.clone());
        }
        let views = store.current();
        self.rotation_index = (self.rotation_index + 1) % views.len().max(1);
        let next_in_rotation = views
            .values()
            .nth(self.rotation_index)
            .map(FleetVersion::of);
        versions.extend(next_in_rotation.filter(|version| !versions.contains(version)));
        versions
    }
}
