//! Quarantines as objects in the store.
//!
//! Hosts tell each other of quarantines, but when all processes are killed at once nobody
//! is left who knows. Each suspect in quarantine is therefore an object. The lease holder
//! creates and removes them; every process reads them when it starts.
//!
//! An object also counts the probes of its suspect. A host that wants to send one raises
//! the count on the condition that the object is unchanged, so that no two hosts send the
//! same probe. Without the store there are no probes.

use crate::clock;
use crate::state::GatewayState;
use crate::store_gate::StoreGate;
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{
    ProbeHistory, QuarantineScope, QuarantinedSuspect, RestoredQuarantine, SuspectAtService,
    SuspectKey, SuspectKind, UNKNOWN_SERVICE,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the objects.
const QUARANTINE_KIND: &str = "quarantined-blocks";

/// Delay between two attempts to read the objects at the start.
const START_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between two attempts of a host to claim a probe. Callers may send a
/// quarantined request many times a second.
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// Contents of an object. Earlier releases have an object for each service of a suspect, with a
/// name of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredQuarantine {
    /// The suspect and a service whose upstreams crashed.
    key: SuspectAtService,
    /// Unix time of the decision, in milliseconds.
    decided_ms: i64,
    /// Number of probes.
    #[serde(default)]
    probes: u32,
    /// Unix time of the latest probe, in milliseconds.
    #[serde(default)]
    probed_ms: Option<i64>,
    /// Hashes of the names of further services whose upstreams crashed.
    #[serde(default)]
    further_crashed: Vec<u32>,
    /// Hashes of the names of services at which the quarantine isn't in force.
    #[serde(default)]
    sound: Vec<u32>,
}

/// A quarantine that the store contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredSuspect {
    pub(crate) key: SuspectKey,
    pub(crate) object: String,
}

impl StoredSuspect {
    /// Returns the suspect with the name that its object has in this release.
    pub(crate) fn new(key: SuspectKey) -> Self {
        let object = object_name(key);
        Self { key, object }
    }
}

impl StoredQuarantine {
    fn restored(&self, unix_ms: i64) -> RestoredQuarantine {
        let age = |at_ms: i64| {
            Duration::from_millis(u64::try_from(unix_ms.saturating_sub(at_ms)).unwrap_or(0))
        };
        let probes = ProbeHistory {
            count: self.probes,
            latest_age: self.probed_ms.map(age),
            other_age: None,
        };
        let mut crashed = vec![self.key.service];
        crashed.extend(&self.further_crashed);
        RestoredQuarantine::new(age(self.decided_ms))
            .with_probes(probes)
            .with_scope(QuarantineScope::from_services(&crashed, &self.sound))
    }
}

/// Reads the quarantines at the start of the process.
pub(crate) async fn restore_at_start(state: Rc<GatewayState>) {
    loop {
        StoreGate::wait_until_open(&state).await;
        match restore(&state).await {
            Ok(suspects) => {
                tracing::info!(suspects = suspects.len(), "quarantines read");
                state.has_read_quarantines.set(true);
                return;
            }
            Err(error) => tracing::debug!(%error, "failed to read the quarantines"),
        }
        sleep(START_READ_INTERVAL).await;
    }
}

/// Reads the quarantines and puts them into force; returns them. One that can't be
/// listed is put into force again by the crashes that it causes.
pub(crate) async fn restore(state: &GatewayState) -> Result<Vec<StoredSuspect>, StoreError> {
    let list = state
        .store
        .list(QUARANTINE_KIND, ReadConsistency::Linearizable)
        .await?;
    let now = clock::now();
    let unix_ms = unix_ms(state);
    let mut suspects = Vec::new();
    for object in list.objects {
        let name = object.name.clone();
        if let Some(stored) = decode(object) {
            let key = stored.key.key();
            let mut quarantine = state.crash_quarantine.borrow_mut();
            quarantine.restore(now, key, stored.restored(unix_ms));
            suspects.push(StoredSuspect { key, object: name });
        }
    }
    Ok(suspects)
}

/// Claims the next probe of a quarantined suspect; returns whether this host may send it.
pub(crate) async fn claim_probe(state: &GatewayState, key: SuspectKey) -> bool {
    let now = clock::now();
    let claimed_at = state.probe_claimed_at.get();
    let is_soon = claimed_at.is_some_and(|at| now.since(at) < CLAIM_INTERVAL);
    if is_soon || !state.store_gate.is_open() {
        return false;
    }
    state.probe_claimed_at.set(Some(now));
    match try_claim_probe(state, key).await {
        Ok(is_claimed) => is_claimed,
        Err(error) => {
            tracing::info!(%error, content = %format_args!("{:x}", key.id), "probe not claimed");
            false
        }
    }
}

async fn try_claim_probe(state: &GatewayState, key: SuspectKey) -> Result<bool, StoreError> {
    let name = object_name(key);
    let read = ReadConsistency::Linearizable;
    let Some(object) = state.store.read(QUARANTINE_KIND, &name, read).await? else {
        return Ok(false);
    };
    let revision = object.revision;
    let Some(stored) = decode(object) else {
        return Ok(false);
    };
    let unix_ms = unix_ms(state);
    if !is_probe_due(state, key, stored.restored(unix_ms)) {
        return Ok(false);
    }
    let claimed = StoredQuarantine {
        probes: stored.probes + 1,
        probed_ms: Some(unix_ms),
        ..stored
    };
    let condition = WriteCondition::Unchanged(revision);
    let written = state
        .store
        .write(QUARANTINE_KIND, &name, &claimed, condition)
        .await;
    match written {
        Ok(_) => {
            let mut quarantine = state.crash_quarantine.borrow_mut();
            quarantine.record_probe(clock::now(), key);
            state.crash_news.notify_one();
            Ok(true)
        }
        Err(StoreError::Conflict(_)) => Ok(false),
        Err(error) => Err(error),
    }
}

/// Returns whether a probe is due after the ones that the store contains.
fn is_probe_due(state: &GatewayState, key: SuspectKey, stored: RestoredQuarantine) -> bool {
    let now = clock::now();
    let mut quarantine = state.crash_quarantine.borrow_mut();
    quarantine.restore(now, key, stored);
    let found = quarantine.find_anywhere(now, key);
    let time = found.and_then(|found| found.time_until_probe());
    time.is_some_and(|time| time.is_zero())
}

fn unix_ms(state: &GatewayState) -> i64 {
    state.wall_clock.borrow().unix_us(clock::now()) / 1_000
}

fn decode(object: StoreObject) -> Option<StoredQuarantine> {
    match serde_json::from_value(object.contents) {
        Ok(stored) => Some(stored),
        Err(error) => {
            tracing::warn!(object = object.name, %error, "malformed quarantine");
            None
        }
    }
}

/// Stores a suspect in quarantine, unless it is stored.
pub(crate) async fn store(
    state: &GatewayState,
    suspect: &QuarantinedSuspect,
) -> Result<(), StoreError> {
    let unix_ms = unix_ms(state);
    let before = |age: Duration| unix_ms - age.as_millis() as i64;
    let crashed = suspect.scope.crashed_services();
    let (first, further) = crashed.split_first().unwrap_or((&UNKNOWN_SERVICE, &[]));
    let stored = StoredQuarantine {
        key: SuspectAtService::new(suspect.key, *first),
        decided_ms: before(suspect.age),
        probes: suspect.probes.count,
        probed_ms: suspect.probes.latest_age.map(before),
        further_crashed: further.to_vec(),
        sound: suspect.scope.sound_services().to_vec(),
    };
    let name = object_name(suspect.key);
    let written = state
        .store
        .write(QUARANTINE_KIND, &name, &stored, WriteCondition::Absent)
        .await;
    match written {
        Ok(_) | Err(StoreError::Conflict(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Removes the object with this name. Its quarantine has ended, or has another object.
pub(crate) async fn remove(state: &GatewayState, object: &str) -> Result<(), StoreError> {
    match state.store.remove(QUARANTINE_KIND, object).await {
        Ok(()) | Err(StoreError::NotFound) => Ok(()),
        Err(error) => Err(error),
    }
}

fn object_name(key: SuspectKey) -> String {
    match key.kind {
        SuspectKind::Block => format!("{:016x}", key.id),
        SuspectKind::Request => format!("r-{:016x}", key.id),
    }
}
