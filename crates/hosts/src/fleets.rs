//! The latest fleet view of each data centre.
//!
//! A view replaces an earlier one only by epoch and version, so views may
//! arrive in any order and over any path.

use crate::wire::FleetVersion;
use lagoonlift_types::{DataCentreName, Epoch, FleetView};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;

/// Holds the latest fleet view of each data centre.
#[derive(Debug, Default)]
pub struct FleetBoard {
    views: watch::Sender<Arc<BTreeMap<DataCentreName, FleetView>>>,
}

impl FleetBoard {
    /// Creates a board without views.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a view if it replaces the one held; returns whether it did.
    pub fn offer(&self, view: FleetView) -> bool {
        self.views.send_if_modified(|views| {
            let held = views.get(&view.data_centre);
            if held.is_some_and(|held| !view.replaces(held)) {
                return false;
            }
            Arc::make_mut(views).insert(view.data_centre.clone(), view);
            true
        })
    }

    /// Returns the views held.
    pub fn current(&self) -> Arc<BTreeMap<DataCentreName, FleetView>> {
        Arc::clone(&self.views.borrow())
    }

    /// Returns a receiver of the views held.
    pub fn subscribe(&self) -> watch::Receiver<Arc<BTreeMap<DataCentreName, FleetView>>> {
        self.views.subscribe()
    }

    /// Returns the versions of the views held.
    pub fn versions(&self) -> Vec<FleetVersion> {
        self.views.borrow().values().map(FleetVersion::of).collect()
    }

    /// Returns whether a view of this version would replace the one held.
    pub fn lacks(&self, version: &FleetVersion) -> bool {
        match self.views.borrow().get(&version.data_centre) {
            Some(held) => version.rank() > (held.epoch, held.version),
            None => true,
        }
    }
}

impl FleetVersion {
    /// Returns the version of a view.
    pub fn of(view: &FleetView) -> Self {
        Self {
            data_centre: view.data_centre.clone(),
            epoch: view.epoch,
            version: view.version,
        }
    }

    pub(crate) fn rank(&self) -> (Epoch, u64) {
        (self.epoch, self.version)
    }
}
