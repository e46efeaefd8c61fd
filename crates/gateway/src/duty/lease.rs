//! Acquires and renews the lease for the duties.
//!
//! The name of the lease object holds the era of the store. After a restore from a copy
//! a new object is used, so that neither the restored record nor a write from before
//! the restore, which may still arrive, has any effect.

use super::Duties;
use crate::state::GatewayState;
use lagoonlift_adapter::store::{
    ReadConsistency, Revision, StoreError, StoreObject, WriteCondition,
};
use lagoonlift_platform::Version;
use lagoonlift_policy::dispatch::StoreEra;
use lagoonlift_steward::{
    BootTime, LeaseAction, LeaseCallFailure, LeaseConfig, LeaseEvent, LeaseIdentity, LeaseRecord,
    LeaseStateMachine, StoredLease,
};
use lagoonlift_types::{Epoch, HostName, Incarnation, ProcessId, ProcessRole};
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the lease object in the store.
const LEASE_KIND: &str = "leases";
/// Name of the lease object in a store without eras, and the start of its name in one
/// with eras.
const LEASE_NAME: &str = "duties";

/// Shortest sleep between two steps of the lease state machine.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Longest sleep, after which this host checks again whether it is a candidate
/// for the lease.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Acquires and renews the lease until the process ends. `started_unix_us` is the Unix
/// time of the process start in microseconds.
pub(crate) async fn maintain(duties: Rc<Duties>, started_unix_us: i64) {
    let Some(identity) = identity(&duties.state, started_unix_us) else {
        return;
    };
    let mut machine = LeaseStateMachine::new(LeaseConfig {
        identity,
        term: duties.state.settings.bounds.lease_term,
    });
    let mut event = LeaseEvent::TimerFired;
    // Whether the machine was told that this host is a candidate.
    let mut told_candidate = Some(true);
    let mut era = None;
    loop {
        let latest = duties.state.store.era().latest();
        if latest != era {
            // The outcome of a call from before the restore doesn't count. Whether this
            // host is a candidate is told again, since that event is replaced too.
            era = latest;
            told_candidate = None;
            let floor = latest.map_or(0, StoreEra::fencing_floor);
            event = LeaseEvent::StoreRestored {
                epoch_floor: Epoch(floor),
            };
        }
        let action = match duties.state.is_stopping() {
            // The lease is left to expire. Releasing it early would allow two
            // changes of the holder within one term.
            true => None,
            false => machine.handle(BootTime::now(), event),
        };
        apply_grant(&duties, &machine, era);
        event = match action {
            Some(LeaseAction::Read) => {
                let is_holder = machine.grant().is_some();
                LeaseEvent::ReadCompleted(read(&duties.state, era, is_holder).await)
            }
            Some(LeaseAction::Write { record, condition }) => {
                LeaseEvent::WriteCompleted(write(&duties.state, era, &record, condition).await)
            }
            None => {
                let wait = machine.wake_at().since(BootTime::now());
                tokio::select! {
                    () = sleep(wait.clamp(MIN_SLEEP, MAX_SLEEP)) => {}
                    () = duties.state.store.era().changed_from(era) => {}
                }
                let state = &duties.state;
                let is_candidate = state
                    .store_readers
                    .borrow()
                    .is_lease_candidate(state.max_host_count());
                match told_candidate == Some(is_candidate) {
                    true => LeaseEvent::TimerFired,
                    false => {
                        told_candidate = Some(is_candidate);
                        LeaseEvent::CandidateChanged(is_candidate)
                    }
                }
            }
        };
    }
}

fn identity(state: &GatewayState, started_unix_us: i64) -> Option<LeaseIdentity> {
    let name = match HostName::new(&state.settings.host.name) {
        Ok(name) => name,
        Err(error) => {
            tracing::error!(%error, "the host name is not valid for a lease holder");
            return None;
        }
    };
    Some(LeaseIdentity {
        process: ProcessId {
            host: name,
            role: ProcessRole::Steward,
        },
        incarnation: Incarnation(u64::try_from(started_unix_us / 1_000).unwrap_or(0)),
        nonce: rand::random(),
    })
}

/// Makes the current grant available to the duties, and logs when the lease is gained
/// or lost.
fn apply_grant(duties: &Duties, machine: &LeaseStateMachine, era: Option<StoreEra>) {
    let grant = machine.grant();
    duties.grant_era.set(era);
    let before = duties.grant.replace(grant);
    let record = machine.record();
    match (before, grant) {
        (None, Some(grant)) => {
            duties.state.metrics.set_lease_held(true);
            // The epoch is the fencing token of the duties' calls.
            tracing::info!(epoch = grant.epoch.0, "lease held");
        }
        (Some(before), None) => {
            duties.state.metrics.set_lease_held(false);
            let holder = record.map(|record| record.identity.process.to_string());
            tracing::info!(epoch = before.epoch.0, holder, "lease no longer held");
        }
        _ => {}
    }
}

/// Reads the lease. A host that doesn't hold it makes a stale read: a takeover
/// based on an outdated lease fails because its write is conditional.
async fn read(
    state: &GatewayState,
    era: Option<StoreEra>,
    is_holder: bool,
) -> Result<Option<Box<StoredLease>>, LeaseCallFailure> {
    let consistency = match is_holder {
        true => ReadConsistency::Linearizable,
        false => ReadConsistency::Stale,
    };
    let name = lease_name(era);
    let object = state.store.read(LEASE_KIND, &name, consistency).await;
    match object {
        Ok(object) => object.map(|object| stored_lease(&object)).transpose(),
        Err(error) => Err(call_failure(error)),
    }
}

/// Writes the lease. The version of the lease is the store's revision of its object.
async fn write(
    state: &GatewayState,
    era: Option<StoreEra>,
    record: &LeaseRecord,
    condition: Option<Version>,
) -> Result<Version, LeaseCallFailure> {
    let condition = match condition {
        Some(version) => WriteCondition::Unchanged(Revision(version.0)),
        None => WriteCondition::Absent,
    };
    let name = lease_name(era);
    let written = state.store.write(LEASE_KIND, &name, record, condition);
    match written.await {
        Ok(object) => Ok(Version(object.revision.0)),
        Err(error) => Err(call_failure(error)),
    }
}

/// Returns the name of the lease object in an era.
fn lease_name(era: Option<StoreEra>) -> String {
    match era {
        None => LEASE_NAME.to_owned(),
        Some(era) => format!("{LEASE_NAME}-{}", era.0),
    }
}

fn call_failure(error: StoreError) -> LeaseCallFailure {
    match error {
        StoreError::Conflict(current) => match current.map(|object| stored_lease(&object)) {
            Some(Ok(lease)) => LeaseCallFailure::Conflict(Some(lease)),
            Some(Err(failure)) => failure,
            None => LeaseCallFailure::Conflict(None),
        },
        StoreError::NotFound => LeaseCallFailure::Conflict(None),
        StoreError::UnexpectedStatus(_)
        | StoreError::HistoryExpired
        | StoreError::NotSendable(_) => LeaseCallFailure::NotApplied,
        StoreError::NoResponse(_) | StoreError::Malformed(_) | StoreError::Restored => {
            LeaseCallFailure::OutcomeUnknown
        }
    }
}

/// Decodes the lease record. A malformed record counts as a lost call, so this
/// host neither acts on it nor takes the lease over.
fn stored_lease(object: &StoreObject) -> Result<Box<StoredLease>, LeaseCallFailure> {
    match LeaseRecord::deserialize(&object.contents) {
        Ok(record) => Ok(Box::new(StoredLease {
            record,
            version: Version(object.revision.0),
        })),
        Err(error) => {
            tracing::error!(%error, "malformed lease record");
            Err(LeaseCallFailure::OutcomeUnknown)
        }
    }
}
