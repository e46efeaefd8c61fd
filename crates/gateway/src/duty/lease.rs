//! Keeps this process's side of the lease.

use super::Duties;
use crate::host::Host;
use lagoonlift_adapter::store::{
    ReadConsistency, Revision, StoreError, StoreObject, WriteCondition,
};
use lagoonlift_platform::Version;
use lagoonlift_steward::{
    BootTime, LeaseAction, LeaseCallFailure, LeaseConfig, LeaseEvent, LeaseIdentity, LeaseRecord,
    LeaseStateMachine, StoredLease,
};
use lagoonlift_types::{HostName, Incarnation, ProcessId, ProcessRole};
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the lease's object.
const LEASE_KIND: &str = "leases";
/// Name of the lease's object.
const LEASE_NAME: &str = "duties";

/// Shortest time between two looks at the clock.
const MIN_WAKE: Duration = Duration::from_millis(1);

/// Longest time between two looks at whether this host stands ready.
const MAX_WAKE: Duration = Duration::from_millis(500);

/// Keeps the lease, for ever.
pub(crate) async fn keep(duties: Rc<Duties>, start_id: i64) {
    let Some(identity) = identity(&duties.host, start_id) else {
        return;
    };
    let mut keeper = LeaseStateMachine::new(LeaseConfig {
        identity,
        term: duties.host.settings.bounds.lease_term,
    });
    let mut event = LeaseEvent::TimerFired;
    let mut was_candidate = true;
    loop {
        let action = match duties.host.is_stopping() {
            // The lease runs out; giving it up early would let it change hands
            // twice within its term.
            true => None,
            false => keeper.handle(BootTime::now(), event),
        };
        publish(&duties, &keeper);
        event = match action {
            Some(LeaseAction::Read) => {
                let is_holder = keeper.grant().is_some();
                LeaseEvent::ReadCompleted(read(&duties.host, is_holder).await)
            }
            Some(LeaseAction::Write { record, condition }) => {
                LeaseEvent::WriteCompleted(write(&duties.host, &record, condition).await)
            }
            None => {
                let wait = keeper.wake_at().since(BootTime::now());
                sleep(wait.clamp(MIN_WAKE, MAX_WAKE)).await;
                let host = &duties.host;
                let is_candidate = host
                    .store_readers
                    .borrow()
                    .is_lease_candidate(host.known_hosts());
                match is_candidate == was_candidate {
                    true => LeaseEvent::TimerFired,
                    false => {
                        was_candidate = is_candidate;
                        LeaseEvent::CandidateChanged(is_candidate)
                    }
                }
            }
        };
    }
}

fn identity(host: &Host, start_id: i64) -> Option<LeaseIdentity> {
    let name = match HostName::new(&host.settings.host.name) {
        Ok(name) => name,
        Err(error) => {
            tracing::error!(%error, "the host's name can't hold a lease");
            return None;
        }
    };
    Some(LeaseIdentity {
        process: ProcessId {
            host: name,
            role: ProcessRole::Steward,
        },
        incarnation: Incarnation(u64::try_from(start_id / 1_000).unwrap_or(0)),
        nonce: rand::random(),
    })
}

fn publish(duties: &Duties, keeper: &LeaseStateMachine) {
    let grant = keeper.grant();
    let before = duties.grant.replace(grant);
    let record = keeper.record();
    match (before, grant) {
        (None, Some(grant)) => {
            duties.host.metrics.set_lease(true);
            tracing::info!(epoch = grant.epoch.0, "lease held");
        }
        (Some(before), None) => {
            duties.host.metrics.set_lease(false);
            let holder = record.map(|record| record.identity.process.to_string());
            tracing::info!(epoch = before.epoch.0, holder, "lease no longer held");
        }
        _ => {}
    }
}

/// Reads the lease. Who doesn't hold it may see an old one: a takeover based on
/// it fails by its condition.
async fn read(host: &Host, is_holder: bool) -> Result<Option<Box<StoredLease>>, LeaseCallFailure> {
    let kind = match is_holder {
        true => ReadConsistency::Linearizable,
        false => ReadConsistency::Stale,
    };
    let object = host.store.read(LEASE_KIND, LEASE_NAME, kind).await;
    match object {
        Ok(object) => object.map(|object| stored_lease(&object)).transpose(),
        Err(error) => Err(call_failure(error)),
    }
}

async fn write(
    host: &Host,
    record: &LeaseRecord,
    condition: Option<Version>,
) -> Result<Version, LeaseCallFailure> {
    let condition = match condition {
        Some(version) => WriteCondition::Unchanged(Revision(version.0)),
        None => WriteCondition::Absent,
    };
    let written = host.store.write(LEASE_KIND, LEASE_NAME, record, condition);
    match written.await {
        Ok(object) => Ok(Version(object.revision.0)),
        Err(error) => Err(call_failure(error)),
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
        StoreError::Rejected(_) | StoreError::HistoryExpired => LeaseCallFailure::NotApplied,
        StoreError::NoResponse(_) | StoreError::Malformed(_) => LeaseCallFailure::OutcomeUnknown,
    }
}

/// Reads the record. A malformed one is nobody's: it is never taken over, and
/// never believed.
fn stored_lease(object: &StoreObject) -> Result<Box<StoredLease>, LeaseCallFailure> {
    match LeaseRecord::deserialize(&object.contents) {
        Ok(record) => Ok(Box::new(StoredLease {
            record,
            version: Version(object.revision.0),
        })),
        Err(error) => {
            tracing::error!(%error, "the lease is malformed");
            Err(LeaseCallFailure::OutcomeUnknown)
        }
    }
}
