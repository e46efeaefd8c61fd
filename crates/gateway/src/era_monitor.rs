//! Detects that the store was restored from a copy, and tells the parts that depend on
//! its revisions.

use crate::clock;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{EraChange, EraTracker, StoreEra};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::watch;

/// Who stated an era.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EraSource {
    /// A response of the store.
    Store,
    /// A message of a peer.
    Peer,
}

impl EraSource {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The latest known era of the store; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct EraMonitor {
    tracker: Rc<RefCell<EraTracker>>,
    restored_at: Rc<Cell<Option<Timestamp>>>,
    restores: Rc<Cell<u64>>,
    changes: Rc<watch::Sender<Option<StoreEra>>>,
}

impl EraMonitor {
    pub(crate) fn new() -> Self {
        let (changes, _) = watch::channel(None);
        Self {
            tracker: Rc::default(),
            restored_at: Rc::default(),
            restores: Rc::default(),
            changes: Rc::new(changes),
        }
    }

    /// Returns the latest known era; `None` before the first response, or if the store
    /// states none.
    pub(crate) fn latest(&self) -> Option<StoreEra> {
        self.tracker.borrow().latest()
    }

    /// Returns the time at which this process learnt of the latest restore; `None` if
    /// there was none since its start.
    pub(crate) fn restored_at(&self) -> Option<Timestamp> {
        self.restored_at.get()
    }

    /// Returns the number of restores since the start of this process.
    pub(crate) fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Records an era and tells waiting parts if it is a new one.
    pub(crate) fn record(&self, era: StoreEra, source: EraSource) -> EraChange {
        let change = self.tracker.borrow_mut().record(era);
        match change {
            EraChange::Restored(before) => {
                self.restored_at.set(Some(clock::now()));
                self.restores.set(self.restores.get() + 1);
                tracing::warn!(
                    era = era.0,
                    before = before.0,
                    source = source.name(),
                    "the store was restored from a copy"
                );
            }
            EraChange::First => tracing::info!(era = era.0, "era of the store"),
            EraChange::Unchanged | EraChange::Outdated => return change,
        }
        self.changes.send_replace(Some(era));
        change
    }

    /// Waits until the era is another one than `era`.
    pub(crate) async fn changed_from(&self, era: Option<StoreEra>) {
        let mut changes = self.changes.subscribe();
        // The sender is never dropped while `self` exists, so waiting can't fail.
        if changes.wait_for(|latest| *latest != era).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
