//! The latest fleet view of each data centre.
//!
//! Views are ordered by epoch and then by version, and a view replaces only an
//! earlier one. Views may therefore arrive in any order and over any path. A
//! data centre has hundreds of upstreams and a change affects few of them, so a
//! process whose view was held here recently is sent only the changes since that
//! view.

use crate::wire::FleetVersion;
use lagoonlift_types::{DataCentreName, Epoch, FleetView, UpstreamName, UpstreamStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Maximum number of steps in the history of each data centre.
const MAX_STEPS: usize = 64;

/// The changes between two versions of one data centre's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDelta {
    /// The version that the changes start from.
    pub from: FleetVersion,
    /// The version that the changes lead to.
    pub to: FleetVersion,
    /// Changed upstreams with their new status, or `None` for a removed
    /// upstream.
    pub changes: Vec<(UpstreamName, Option<UpstreamStatus>)>,
}

/// Holds the latest fleet view of each data centre.
#[derive(Debug, Default)]
pub struct FleetViewStore {
    views: watch::Sender<Arc<BTreeMap<DataCentreName, FleetView>>>,
    steps: Mutex<BTreeMap<DataCentreName, VecDeque<FleetStep>>>,
}

/// The upstreams that differ between a view that was held here and the next
/// one.
#[derive(Debug)]
struct FleetStep {
    from: FleetVersion,
    names: Vec<UpstreamName>,
}

impl FleetViewStore {
    /// Creates a store without views.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a view if it replaces the current one. Returns whether it did.
    pub fn offer(&self, view: FleetView) -> bool {
        let mut steps = self.lock_steps();
        self.views.send_if_modified(|views| {
            let held = views.get(&view.data_centre);
            if held.is_some_and(|held| !view.replaces(held)) {
                return false;
            }
            if let Some(held) = held {
                record_step(
                    steps.entry(view.data_centre.clone()).or_default(),
                    held,
                    &view,
                );
            }
            Arc::make_mut(views).insert(view.data_centre.clone(), view);
            true
        })
    }

    /// Applies changes to the current view. Returns whether the changes started
    /// from that view and were stored.
    pub fn apply(&self, delta: FleetDelta) -> bool {
        let views = self.current();
        let held = views.get(&delta.from.data_centre);
        let Some(held) = held.filter(|held| FleetVersion::of(held) == delta.from) else {
            return false;
        };
        let mut view = held.clone();
        (view.epoch, view.version) = delta.to.rank();
        for (name, status) in delta.changes {
            match status {
                Some(status) => view.upstreams.insert(name, status),
                None => view.upstreams.remove(&name),
            };
        }
        self.offer(view)
    }

    /// Returns the changes since a version, if that version was held here
    /// recently.
    pub fn delta(&self, from: &FleetVersion) -> Option<FleetDelta> {
        let steps = self.lock_steps();
        let views = self.current();
        let view = views.get(&from.data_centre)?;
        let steps = steps.get(&from.data_centre)?;
        let start = steps.iter().position(|step| step.from == *from)?;
        let names: BTreeSet<&UpstreamName> =
            steps.range(start..).flat_map(|step| &step.names).collect();
        let change = |name: &UpstreamName| (name.clone(), view.upstreams.get(name).cloned());
        Some(FleetDelta {
            from: from.clone(),
            to: FleetVersion::of(view),
            changes: names.into_iter().map(change).collect(),
        })
    }

    /// Returns the current views.
    pub fn current(&self) -> Arc<BTreeMap<DataCentreName, FleetView>> {
        Arc::clone(&self.views.borrow())
    }

    /// Returns a receiver of the current views.
    pub fn subscribe(&self) -> watch::Receiver<Arc<BTreeMap<DataCentreName, FleetView>>> {
        self.views.subscribe()
    }

    /// Returns the versions of the current views.
    pub fn versions(&self) -> Vec<FleetVersion> {
        self.views.borrow().values().map(FleetVersion::of).collect()
    }

    /// Returns whether a view of this version is newer than the view held for its
    /// data centre, or no view is held for it.
    pub fn would_accept(&self, version: &FleetVersion) -> bool {
        match self.views.borrow().get(&version.data_centre) {
            Some(held) => version.rank() > (held.epoch, held.version),
            None => true,
        }
    }

    fn lock_steps(&self) -> MutexGuard<'_, BTreeMap<DataCentreName, VecDeque<FleetStep>>> {
        // A poisoned lock is safe to use, because no code between two writes to
        // the steps can panic.
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record_step(steps: &mut VecDeque<FleetStep>, from: &FleetView, to: &FleetView) {
    let differs = |name: &&UpstreamName| from.upstreams.get(*name) != to.upstreams.get(*name);
    let names: BTreeSet<&UpstreamName> = from.upstreams.keys().chain(to.upstreams.keys()).collect();
    steps.push_back(FleetStep {
        from: FleetVersion::of(from),
        names: names.into_iter().filter(differs).cloned().collect(),
    });
    if steps.len() > MAX_STEPS {
        steps.pop_front();
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
