//! Selection of the fleet versions that the next datagram carries.
//!
//! Listing all data centres in every datagram would take more space than the
//! rest of the datagram. A datagram lists the versions that changed recently
//! and one of all versions in rotation, for processes that missed the change.

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
    recent: BTreeMap<DataCentreName, RecentChange>,
    /// Index of the data centre that was listed last in the rotation.
    rotation_index: usize,
}

#[derive(Debug)]
struct RecentChange {
    version: FleetVersion,
    sends_left: u32,
}

impl FleetVersionGossip {
    /// Records which views changed since the last call.
    pub(crate) fn observe(&mut self, store: &FleetViewStore) {
        for version in store.versions() {
            let last_observed = self.recent.get(&version.data_centre);
            if last_observed.is_some_and(|recent| recent.version == version) {
                continue;
            }
            let recent = RecentChange {
                version: version.clone(),
                sends_left: SENDS_PER_CHANGE,
            };
            self.recent.insert(version.data_centre, recent);
        }
    }

    /// Returns the versions that the next datagram lists.
    pub(crate) fn select(&mut self, store: &FleetViewStore) -> Vec<FleetVersion> {
        let mut versions: Vec<FleetVersion> = Vec::with_capacity(MAX_VERSIONS_PER_DATAGRAM);
        let changed = self
            .recent
            .values_mut()
            .filter(|recent| recent.sends_left > 0);
        for recent in changed.take(MAX_VERSIONS_PER_DATAGRAM - 1) {
            recent.sends_left -= 1;
            versions.push(recent.version.clone());
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
