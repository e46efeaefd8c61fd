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
const MAX_LISTED: usize = 4;
/// Datagrams that list a version after it changed.
const REPEATS: u32 = 24;

/// Remembers what was listed.
#[derive(Debug, Default)]
pub(crate) struct FleetNews {
    recent: BTreeMap<DataCentreName, Recent>,
    /// Position of the data centre that was listed in turn last.
    turn: usize,
}

#[derive(Debug)]
struct Recent {
    version: FleetVersion,
    listings_left: u32,
}

impl FleetNews {
    /// Notes which views changed since the last call.
    pub(crate) fn notice(&mut self, board: &FleetViewStore) {
        for version in board.versions() {
            let known = self.recent.get(&version.data_centre);
            if known.is_some_and(|recent| recent.version == version) {
                continue;
            }
            let recent = Recent {
                version: version.clone(),
                listings_left: REPEATS,
            };
            self.recent.insert(version.data_centre, recent);
        }
    }

    /// Returns what the next datagram lists.
    pub(crate) fn pick(&mut self, board: &FleetViewStore) -> Vec<FleetVersion> {
        let mut listed: Vec<FleetVersion> = Vec::with_capacity(MAX_LISTED);
        let fresh = self
            .recent
            .values_mut()
            .filter(|recent| recent.listings_left > 0);
        for recent in fresh.take(MAX_LISTED - 1) {
            recent.listings_left -= 1;
            listed.push(recent.version.clone());
        }
        let views = board.current();
        self.turn = (self.turn + 1) % views.len().max(1);
        let in_turn = views.values().nth(self.turn).map(FleetVersion::of);
        listed.extend(in_turn.filter(|version| !listed.contains(version)));
        listed
    }
}
