//! The versions of streams as objects in the store, for the time after all hosts have ended.
//!
//! They are written while several versions of a service may have begun its streams. Each
//! process reads them once, when it starts.

use crate::clock;
use crate::peers::MAX_STREAM_NOTICES;
use crate::state::GatewayState;
use crate::store_gate::StoreGate;
use lagoonlift_adapter::store::{
    ReadConsistency, Revision, StoreError, StoreObject, WriteCondition,
};
use lagoonlift_policy::dispatch::{BatchWrite, StreamBatch, StreamNotice, archivists};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the objects.
const STREAMS_KIND: &str = "begun-streams";

/// Interval between two looks for streams to send or write.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after the start after which an archivist removes the objects of earlier processes, and
/// interval between two removals.
const REMOVAL_DELAY: Duration = Duration::from_secs(5);
const REMOVAL_INTERVAL: Duration = Duration::from_millis(200);

/// Reads what earlier processes have written, and removes what nobody needs any more.
pub(crate) async fn restore_at_start(state: Rc<GatewayState>) {
    loop {
        StoreGate::wait_until_open(&state).await;
        match restore(&state).await {
            Ok(outdated) => return remove(&state, outdated).await,
            Err(error) => tracing::info!(%error, "failed to read the streams that have begun"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the objects. Returns the names of those that are outdated.
async fn restore(state: &GatewayState) -> Result<Vec<String>, StoreError> {
    let read = ReadConsistency::Linearizable;
    let list = state.store.list(STREAMS_KIND, read).await?;
    let (now, unix_ms) = (clock::now(), unix_ms(state));
    let mut outdated = Vec::new();
    let mut streams = 0;
    for object in list.objects {
        let name = object.name.clone();
        let batch = decode(object).filter(|batch| !batch.is_outdated(unix_ms));
        let Some(batch) = batch else {
            outdated.push(name);
            continue;
        };
        let mut versions = state.stream_versions.borrow_mut();
        for notice in batch.notices(unix_ms) {
            versions.record_notice(now, notice);
            streams += 1;
        }
    }
    tracing::info!(
        streams,
        outdated = outdated.len(),
        "streams that have begun read"
    );
    Ok(outdated)
}

async fn remove(state: &GatewayState, names: Vec<String>) {
    sleep(REMOVAL_DELAY).await;
    if !is_first_archivist(state) {
        return;
    }
    for name in names {
        if let Err(error) = state.store.remove(STREAMS_KIND, &name).await {
            tracing::debug!(%error, name, "failed to remove streams that have ended");
        }
        sleep(REMOVAL_INTERVAL).await;
    }
}

/// Tells the archivists of streams, and writes them if this host is one, until the process
/// ends.
pub(crate) async fn maintain(state: Rc<GatewayState>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        update_divided(&state);
        send_untold(&state);
        if !state.store_gate.is_open() {
            continue;
        }
        let next = |now| state.stream_archive.borrow_mut().next_batch(now);
        while let Some(write) = next(clock::now()) {
            if let Err(error) = write_batch(&state, write).await {
                tracing::info!(%error, "failed to record streams that have begun");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Updates which services have streams of several versions. Streams that began here before a
/// second version appeared are added.
fn update_divided(state: &GatewayState) {
    let now = clock::now();
    let served = state.served_versions.borrow();
    let mut archive = state.stream_archive.borrow_mut();
    for service in served.services() {
        if archive.set_divided(service, served.is_divided(now, service)) {
            let versions = state.stream_versions.borrow();
            let begun = versions.begun_here(now);
            let begun: Vec<StreamNotice> = begun
                .filter(|notice| served.may_have_begun(service, notice.version))
                .collect();
            tracing::info!(
                service,
                streams = begun.len(),
                "streams of several versions: recorded in the store from now on"
            );
            begun.into_iter().for_each(|notice| archive.add(notice));
        }
    }
}

/// Passes the streams that began here on to the archivists.
fn send_untold(state: &GatewayState) {
    let untold = state.stream_archive.borrow_mut().take_untold();
    if untold.is_empty() {
        return;
    }
    let own = state.settings.listen.peers;
    let archivists = known_archivists(state);
    if archivists.is_empty() || own.is_some_and(|own| archivists.contains(&own)) {
        let mut archive = state.stream_archive.borrow_mut();
        untold
            .iter()
            .for_each(|notice| archive.record_unwritten(*notice));
    }
    let others = archivists.into_iter().filter(|one| Some(*one) != own);
    let mut messages = state.archive_messages.borrow_mut();
    for archivist in others {
        for notices in untold.chunks(MAX_STREAM_NOTICES) {
            messages.push((archivist, notices.to_vec()));
        }
    }
    drop(messages);
    state.stream_news.notify_one();
}

/// Returns the archivists as this host knows them; none if it knows no host that reads the
/// store.
fn known_archivists(state: &GatewayState) -> Vec<SocketAddr> {
    let own = state.settings.listen.peers;
    let is_reading = state.announced_store_status.get().is_reading_store;
    let readers = state.store_readers.borrow();
    archivists(readers.reader_addresses().chain(own.filter(|_| is_reading)))
}

fn is_first_archivist(state: &GatewayState) -> bool {
    let first = known_archivists(state).first().copied();
    first.is_none() || first == state.settings.listen.peers
}

async fn write_batch(state: &GatewayState, write: BatchWrite) -> Result<(), StoreError> {
    let name = format!("{:016x}-{}", state.incarnation_id, write.number);
    let condition = match write.replaced {
        Some(revision) => WriteCondition::Unchanged(Revision(revision)),
        None => WriteCondition::Absent,
    };
    let batch = StreamBatch::new(unix_ms(state), &write.notices);
    let written = state
        .store
        .write(STREAMS_KIND, &name, &batch, condition)
        .await;
    let mut archive = state.stream_archive.borrow_mut();
    match written {
        Ok(object) => {
            tracing::debug!(name, streams = write.notices.len(), "streams recorded");
            archive.record_written(clock::now(), &write, object.revision.0);
            Ok(())
        }
        Err(error) => {
            archive.record_failed(write);
            Err(error)
        }
    }
}

fn decode(object: StoreObject) -> Option<StreamBatch> {
    match serde_json::from_value(object.contents) {
        Ok(batch) => Some(batch),
        Err(error) => {
            tracing::warn!(object = object.name, %error, "malformed record of streams");
            None
        }
    }
}

fn unix_ms(state: &GatewayState) -> i64 {
    state.wall_clock.borrow().unix_us(clock::now()) / 1_000
}
