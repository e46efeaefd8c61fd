//! The records of the versions at which services have served, as objects in the store.
//!
//! Each process reads them when it starts, and when a stream is taken up that no host knows.
//! The store readers write them when a version
//! appears and when it has gone; the other hosts learn of a write from their peers.

use crate::clock;
use crate::state::GatewayState;
use crate::store_gate::StoreGate;
use crate::watcher::{list_upstreams, read_config};
use futures::future::try_join3;
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{ServingConfig, StreamLifetime, VersionRecord};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Kind of the objects.
const VERSIONS_KIND: &str = "served-versions";

/// Interval between two comparisons of the list with the records.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay before a write, so that the store readers don't all make it.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);

/// The same for the first record of all, which any host may write: none has heard yet
/// which hosts are store readers.
const MAX_FIRST_WRITE_DELAY: Duration = Duration::from_millis(400);

/// Time after the start in which a host learns which hosts are store readers.
const SELECTION_TIME: Duration = Duration::from_secs(1);

/// Longest time after the start for which a host isn't ready because records are missing.
/// Requests that need no record are worth more than the resumptions that do.
const MAX_READY_DELAY: Duration = Duration::from_millis(1_500);

/// Reads the records, and keeps them up to date until the process ends.
pub(crate) async fn maintain(state: Rc<GatewayState>) {
    while let Err(error) = load(&state).await {
        tracing::info!(%error, "failed to read the versions that have served");
        sleep(RETRY_DELAY).await;
    }
    loop {
        sleep(CHECK_INTERVAL).await;
        observe(&state);
        if outdated(&state).is_empty() {
            continue;
        }
        let longest = match state.served_versions.borrow().has_records() {
            true => MAX_WRITE_DELAY,
            false => MAX_FIRST_WRITE_DELAY,
        };
        let share: f64 = rand::rng().random();
        sleep(longest.mul_f64(share)).await;
        for service in outdated(&state) {
            if let Err(error) = sync(&state, &service).await {
                tracing::info!(%error, service, "failed to record the versions that have served");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether missing records don't keep this host from being ready.
pub(crate) fn is_ready(state: &GatewayState, now: Timestamp) -> bool {
    state.served_versions.borrow().has_records() || now.since(state.started_at) >= MAX_READY_DELAY
}

/// Records the versions that are listed now, and which upstreams have to wait because
/// theirs isn't in the record.
pub(crate) fn observe(state: &GatewayState) {
    let now = clock::now();
    let mut served = state.served_versions.borrow_mut();
    let mut table = state.table.borrow_mut();
    if let Some(era) = state.store.era().latest() {
        served.record_restored(era);
    }
    for (_, upstream) in table.iter() {
        let record = &upstream.record;
        served.record_listed(now, &record.service, record.version.as_ref());
    }
    served.expire(now);
    table.set_awaiting_record(|record| {
        served.is_held(now, &record.service, record.version.as_ref())
    });
}

/// Records to which services the routes of streams lead, and how long these will live as a
/// rule: callers wait as long as the timeout.
pub(crate) fn apply_config(state: &GatewayState, config: &ServingConfig) {
    let mut served = state.served_versions.borrow_mut();
    served.set_routes(clock::now(), config);
    let routes = config.routes().iter();
    for route in routes.filter(|route| route.retry_safety.is_resumable()) {
        let lifetime = StreamLifetime::covering(route.timeout);
        for weight in &route.services {
            served.expect_lifetime(&weight.service, lifetime);
        }
    }
}

/// Returns the services whose record this host has to write.
fn outdated(state: &GatewayState) -> Vec<String> {
    let now = clock::now();
    let served = state.served_versions.borrow();
    let is_selected = now.since(state.started_at) >= SELECTION_TIME || !served.has_records();
    match is_selected && state.is_store_reader() && state.store_gate.is_open() {
        true => served.outdated(now),
        false => Vec::new(),
    }
}

/// Reads the records, the list of upstreams and the configuration again if they aren't current,
/// and waits for that up to `limit`. Does nothing while the store doesn't respond. Requests that wait at the same
/// time share the calls.
pub(crate) async fn refresh(state: &GatewayState, limit: Duration) {
    let read = async {
        let _reading = state.reading_versions.lock().await;
        let as_of = clock::now();
        let is_current = state.served_versions.borrow().is_current(as_of);
        if !is_current && state.store_gate.is_open() {
            // A version whose record couldn't be written yet is on the list, and a route whose
            // record couldn't is in the configuration.
            let list = list_upstreams(state);
            try_join3(load(state), list, read_config(state)).await?;
            state.served_versions.borrow_mut().record_read(as_of);
        }
        Ok::<_, StoreError>(())
    };
    match timeout(limit, read).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::info!(%error, "failed to read the versions that have served"),
        Err(_) => tracing::info!("the versions that have served aren't read in time"),
    }
}

async fn load(state: &GatewayState) -> Result<(), StoreError> {
    StoreGate::wait_until_open(state).await;
    let read = ReadConsistency::Linearizable;
    let list = state.store.list(VERSIONS_KIND, read).await?;
    let count = list.objects.len();
    let records: Vec<(u64, VersionRecord)> = list
        .objects
        .into_iter()
        .filter_map(|object| Some((object.revision.0, decode(object)?)))
        .collect();
    state.served_versions.borrow_mut().load(
        clock::now(),
        unix_ms(state),
        list.position.era,
        &records,
        records.len() < count || !list.is_whole,
    );
    observe(state);
    tracing::info!(records = records.len(), "versions that have served read");
    Ok(())
}

/// Writes the record of a service if the store's one has to change.
async fn sync(state: &GatewayState, service: &str) -> Result<(), StoreError> {
    let name = object_name(service);
    let read = ReadConsistency::Linearizable;
    let object = state.store.read(VERSIONS_KIND, &name, read).await?;
    let condition = match &object {
        Some(object) => WriteCondition::Unchanged(object.revision),
        None => WriteCondition::Absent,
    };
    let revision = object.as_ref().map(|object| object.revision);
    let stored = object.and_then(decode);
    let era = state.store.era().latest();
    let record = {
        let (now, unix_ms) = (clock::now(), unix_ms(state));
        let mut served = state.served_versions.borrow_mut();
        if let (Some(revision), Some(stored)) = (revision, &stored) {
            served.record_stored(now, unix_ms, (era, revision.0), stored);
        }
        served.updated_record(now, unix_ms, era, service, stored.as_ref())
    };
    if let Some(record) = record {
        write(state, &name, &record, condition).await?;
    }
    observe(state);
    state.version_news.notify_one();
    Ok(())
}

async fn write(
    state: &GatewayState,
    name: &str,
    record: &VersionRecord,
    condition: WriteCondition,
) -> Result<(), StoreError> {
    let written = state
        .store
        .write(VERSIONS_KIND, name, record, condition)
        .await;
    let revision = match written {
        Ok(object) => object.revision,
        // Another host was first. Its record is read at the next check.
        Err(StoreError::Conflict(_)) => return Ok(()),
        Err(error) => return Err(error),
    };
    let mut served = state.served_versions.borrow_mut();
    let revision = (record.era, revision.0);
    served.record_stored(clock::now(), unix_ms(state), revision, record);
    tracing::info!(
        service = record.service,
        versions = %served.summary(clock::now(), &record.service),
        "versions that have served recorded"
    );
    Ok(())
}

fn decode(object: StoreObject) -> Option<VersionRecord> {
    match serde_json::from_value(object.contents) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(object = object.name, %error, "malformed record of versions");
            None
        }
    }
}

fn unix_ms(state: &GatewayState) -> i64 {
    state.wall_clock.borrow().unix_us(clock::now()) / 1_000
}

/// Returns the name of a service's object, which has letters, digits and hyphens only.
fn object_name(service: &str) -> String {
    let encoded = service.bytes().map(|byte| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => char::from(byte).to_string(),
        _ => format!("-{byte:02x}"),
    });
    encoded.collect()
}
