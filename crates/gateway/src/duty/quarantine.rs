//! Stores the suspects in quarantine while this host holds the lease.

use super::Duties;
use crate::clock;
use crate::quarantine_store::{StoredSuspect, remove, restore, store};
use lagoonlift_adapter::store::StoreError;
use lagoonlift_policy::dispatch::QuarantinedSuspect;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two comparisons with the store.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// What the store contains, as far as the lease holder knows.
struct KnownObjects {
    suspects: Vec<StoredSuspect>,
    /// Restores of the store before the objects were read.
    restores: u64,
}

/// Keeps the store's objects in line with the quarantine until the process ends; idles
/// without the lease.
pub(super) async fn sync(duties: Rc<Duties>) {
    let mut known: Option<KnownObjects> = None;
    loop {
        sleep(SYNC_INTERVAL).await;
        let restores = duties.state.store.era().restores();
        let is_outdated = known.as_ref().is_some_and(|one| one.restores != restores);
        if duties.holder().is_none() || is_outdated {
            known = None;
        }
        if duties.holder().is_none() {
            continue;
        }
        if let Err(error) = sync_once(&duties, &mut known, restores).await {
            tracing::info!(%error, "failed to bring the quarantines in the store up to date");
        }
    }
}

async fn sync_once(
    duties: &Duties,
    known: &mut Option<KnownObjects>,
    restores: u64,
) -> Result<(), StoreError> {
    let state = &duties.state;
    let known = match known {
        Some(known) => known,
        None => known.insert(KnownObjects {
            suspects: restore(state).await?,
            restores,
        }),
    };
    let active: Vec<QuarantinedSuspect> = {
        let quarantine = state.crash_quarantine.borrow();
        quarantine.active(clock::now()).collect()
    };
    let active_objects: Vec<StoredSuspect> = active
        .iter()
        .map(|suspect| StoredSuspect::new(suspect.key))
        .collect();
    for (suspect, object) in active.iter().zip(&active_objects) {
        if !known.suspects.contains(object) {
            store(state, suspect).await?;
            known.suspects.push(object.clone());
        }
    }
    // Also the objects of an earlier release, whose suspects have others by now.
    while let Some(index) = known
        .suspects
        .iter()
        .position(|known| !active_objects.contains(known))
    {
        remove(state, &known.suspects[index].object).await?;
        known.suspects.swap_remove(index);
    }
    Ok(())
}
