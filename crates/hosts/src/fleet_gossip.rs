//! Which fleet versions ride along with the next datagram.
//!
//! Listing all data centres in every datagram would cost more than everything
//! else in it. Those that changed lately are listed, and of the rest one at a
//! time, in turn, for processes that missed the change.

use crate::fleets::FleetViewStore;
use crate::wire::FleetVersion;
use lagoonlift_types::DataCentreName;
use std::collections::BTreeMap;

/// Versions listed at most in one datagram.
const MAX_VERSIONS_PER_DATAGRAM: usize = 4;
/// Datagrams that list a version after it changed.
const SENDS_PER_CHANGE: u32 = 24;

/// Remembers what was listed.
#[derive(Debug, Default)]
pub(crate) struct FleetVersionGossip {
    recent: BTreeMap<DataCentreName, RecentChange>,
    /// Position of the data centre that was listed in turn last.
    rotation_index: usize,
}

#[derive(Debug)]
struct RecentChange {
    version: FleetVersion,
    sends_left: u32,
}

impl FleetVersionGossip {
    /// Notes which views changed since the last call.
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

    /// Returns what the next datagram lists.
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
