//! Watches the list of upstreams.

use super::{back_off_after, pause_if_immediate, record_failure, watch_consistency};
use crate::clock;
use crate::state::GatewayState;
use crate::store::WatchPosition;
use crate::store_gate::StoreGate;
use crate::version_store;
use lagoonlift_adapter::listing::{UPSTREAM_KIND, decode_upstream};
use lagoonlift_adapter::store::{
    ChangePage, ObjectChange, ReadConsistency, StoreError, StoreObject,
};
use lagoonlift_policy::dispatch::{
    EngineRole, ListChange, MIN_HOSTS_FOR_SHARED_READS, StoreStatus, UpstreamId, UpstreamRecord,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Wait of a watch on the upstreams. It is short because a connection that failed
/// without a reset is detected only when the wait is over.
const UPSTREAM_WATCH_WAIT: Duration = Duration::from_millis(2_200);

/// Wait of a linearizable watch for changes that are known to exist.
const CATCH_UP_WAIT: Duration = Duration::from_millis(50);

/// Polling interval for whether a stale watch is behind.
const BEHIND_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after changes of the upstreams, so that changes in quick succession are
/// read with one call.
const COALESCE_DELAY: Duration = Duration::from_millis(150);

/// The same delay with many hosts, each of which makes the call.
const MANY_HOSTS_COALESCE_DELAY: Duration = Duration::from_millis(700);

/// Watches the list of upstreams until the process ends.
pub(crate) async fn follow_upstreams(state: Rc<GatewayState>) {
    let mut position = None;
    loop {
        let pass = StoreGate::enter(&state).await;
        if pass.is_probe() {
            position = None;
        }
        let result = match position {
            None => list_upstreams(&state).await,
            Some(position) => watch_upstreams(&state, position).await,
        };
        pass.record(&result);
        match result {
            Ok(next) => {
                record_store_available(&state, clock::now());
                let is_for_many = state.max_host_count() >= MIN_HOSTS_FOR_SHARED_READS;
                announce_reading(&state, is_for_many && state.is_store_reader());
                position = Some(next);
            }
            Err(error) => {
                position = None;
                announce_reading(&state, false);
                if error != StoreError::HistoryExpired {
                    state
                        .table
                        .borrow_mut()
                        .record_store_unavailable(clock::now());
                }
                record_failure(&state, "upstreams", &error);
                back_off_after(&state, &error).await;
            }
        }
    }
}

fn record_store_available(state: &GatewayState, now: Timestamp) {
    let available_since = state.store_readers.borrow().reader_since();
    let mut table = state.table.borrow_mut();
    table.record_store_available(now, available_since);
}

/// Reads the whole list and applies it.
pub(crate) async fn list_upstreams(state: &GatewayState) -> Result<WatchPosition, StoreError> {
    let started = clock::now();
    let (objects, position) = state
        .store
        .list(UPSTREAM_KIND, ReadConsistency::Linearizable)
        .await?;
    let now = clock::now();
    let records = objects.iter().filter_map(|object| {
        let record = decode_upstream(object);
        log_if_odd(object, record.as_ref());
        record
    });
    let records = records.collect();
    let removed = {
        record_store_available(state, now);
        let mut table = state.table.borrow_mut();
        let removed = table.apply_list(now, records);
        table.record_shown(started);
        removed
    };
    version_store::observe(state);
    state.close_idle_connections(&removed);
    announce_change(state, position);
    tracing::info!(
        upstreams = objects.len(),
        gone = removed.len(),
        "upstreams listed"
    );
    Ok(position)
}

async fn watch_upstreams(
    state: &GatewayState,
    position: WatchPosition,
) -> Result<WatchPosition, StoreError> {
    let started = clock::now();
    let mut read = watch_consistency(state);
    let mut as_of = None;
    let page = tokio::select! {
        page = state
            .store
            .watch(UPSTREAM_KIND, position, UPSTREAM_WATCH_WAIT, read) => page?,
        () = wait_until_behind(state, position) => {
            read = ReadConsistency::Linearizable;
            as_of = Some(clock::now());
            state.store.watch(UPSTREAM_KIND, position, CATCH_UP_WAIT, read).await?
        }
    };
    apply_changes(state, clock::now(), &page);
    if read == ReadConsistency::Linearizable {
        let mut table = state.table.borrow_mut();
        table.record_shown(as_of.unwrap_or(started));
    }
    let next = position.advanced_to(page.revision);
    if !page.changes.is_empty() {
        announce_change(state, next);
        state.update_changing_roles();
        sleep(match state.max_host_count() < MIN_HOSTS_FOR_SHARED_READS {
            true => COALESCE_DELAY,
            false => MANY_HOSTS_COALESCE_DELAY,
        })
        .await;
    }
    pause_if_immediate(started, &page).await;
    Ok(next)
}

/// Waits until a peer has announced changes that this host's stale watch should
/// have returned by now.
async fn wait_until_behind(state: &GatewayState, position: WatchPosition) {
    let (era, revision) = (position.era, position.revision.0);
    while state.is_store_reader()
        || !state
            .store_readers
            .borrow()
            .is_watch_behind(clock::now(), era, revision)
    {
        sleep(BEHIND_POLL_INTERVAL).await;
    }
    tracing::info!(revision, "the watch of the upstreams is behind");
}

/// Reads the entries of upstreams again whose versions are doubtful, and waits for that up to
/// `limit`. Does nothing while the store doesn't respond.
pub(crate) async fn confirm_versions(
    state: &Rc<GatewayState>,
    upstreams: &[UpstreamKey],
    limit: Duration,
) {
    if !state.store_gate.is_open() {
        return;
    }
    for key in upstreams {
        if state.confirming.borrow_mut().insert(*key) {
            spawn_local(confirm_version(Rc::clone(state), *key));
        }
    }
    let is_open = || {
        let confirming = state.confirming.borrow();
        upstreams.iter().any(|key| confirming.contains(key))
    };
    let all = async {
        while is_open() {
            state.confirmed.notified().await;
        }
    };
    if timeout(limit, all).await.is_err() {
        tracing::info!("the entries of upstreams with doubtful versions aren't read in time");
    }
}

async fn confirm_version(state: Rc<GatewayState>, key: UpstreamKey) {
    let id = {
        let table = state.table.borrow();
        table.get(key).map(|one| one.record.id.clone())
    };
    if let Some(id) = id {
        let as_of = clock::now();
        let read = ReadConsistency::Linearizable;
        let object = state.store.read(UPSTREAM_KIND, &id.0, read).await;
        match object {
            Ok(object) => {
                let mut table = state.table.borrow_mut();
                let record = object.as_ref().and_then(decode_upstream);
                let change = record.map_or(ListChange::Removed(id), ListChange::Present);
                let removed = table.apply(as_of, change);
                table.record_entry_shown(as_of, key);
                drop(table);
                state.close_idle_connections(removed.as_slice());
            }
            Err(error) => {
                record_failure(&state, "an upstream", &error);
            }
        }
    }
    state.confirming.borrow_mut().remove(&key);
    state.confirmed.notify_waiters();
}

/// Announces the latest change of the upstreams to the peers.
fn announce_change(state: &GatewayState, position: WatchPosition) {
    let status = state.announced_store_status.get();
    let latest = (status.era, status.upstream_revision).max((position.era, position.revision.0));
    state.announced_store_status.set(StoreStatus {
        era: latest.0,
        upstream_revision: latest.1,
        ..status
    });
}

/// Announces to the peers whether this host makes linearizable reads of the store
/// and gets responses.
fn announce_reading(state: &GatewayState, is_reading_store: bool) {
    let status = state.announced_store_status.get();
    state.announced_store_status.set(StoreStatus {
        is_reading_store,
        ..status
    });
}

fn apply_changes(state: &GatewayState, now: Timestamp, page: &ChangePage) {
    for change in &page.changes {
        let list_change = decode_change(change);
        log_change(change, &list_change);
        let removed = state.table.borrow_mut().apply(now, list_change);
        state.close_idle_connections(removed.as_slice());
    }
    version_store::observe(state);
}

fn log_change(change: &ObjectChange, list_change: &ListChange) {
    let record = match list_change {
        ListChange::Present(record) => Some(record),
        ListChange::Removed(_) => None,
    };
    if !change.is_removed {
        log_if_odd(&change.object, record);
    }
    tracing::info!(
        upstream = change.object.name,
        revision = change.object.revision.0,
        is_removed = change.is_removed,
        service = record.map(|record| record.service.as_str()),
        address = record.map(|record| record.address.to_string()),
        data_centre = record.map(|record| record.data_centre.as_str()),
        version = record.and_then(|record| record.version.as_ref().map(|one| one.0.as_str())),
        phase = record.map(|record| record.phase.name()),
        role = record.and_then(|record| record.role).map(EngineRole::name),
        is_spot = record.map(|record| record.is_spot),
        started_ms = record.and_then(|record| record.started_ms),
        order_count = record.and_then(|record| record.order_count),
        "upstream changed"
    );
}

/// Decodes a change. A record that is malformed or whose state is neither ready nor draining
/// names no upstream to use, like one that is removed.
fn decode_change(change: &ObjectChange) -> ListChange {
    let record = match change.is_removed {
        true => None,
        false => decode_upstream(&change.object),
    };
    match record {
        Some(record) => ListChange::Present(record),
        None => ListChange::Removed(UpstreamId(change.object.name.clone())),
    }
}

/// Logs a record that names no upstream though it is there.
fn log_if_odd(object: &StoreObject, record: Option<&UpstreamRecord>) {
    if record.is_none() {
        tracing::warn!(
            upstream = object.name,
            revision = object.revision.0,
            error = object.content_error,
            "the entry names no upstream to use"
        );
    }
}
