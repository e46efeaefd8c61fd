//! Watches the list of upstreams.

use super::odd_entries::shown_name;
use super::{back_off_after, pause_if_immediate, record_failure, watch_consistency};
use crate::clock;
use crate::state::GatewayState;
use crate::store::{ObjectList, WatchPosition};
use crate::store_gate::StoreGate;
use crate::version_store;
use lagoonlift_adapter::listing::{UPSTREAM_KIND, decode_upstream};
use lagoonlift_adapter::store::{ChangePage, ObjectChange, ReadConsistency, StoreError};
use lagoonlift_policy::dispatch::{
    EngineRole, ListChange, MIN_HOSTS_FOR_SHARED_READS, StoreStatus, UpstreamId, UpstreamRecord,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::ops::RangeInclusive;
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

/// Range of the delay before the list is read again when a part of it couldn't be read. The
/// delay doubles each time.
const RELIST_DELAYS: RangeInclusive<Duration> = Duration::from_secs(5)..=Duration::from_secs(80);

/// Longest wait until the entries are read of upstreams that a list doesn't show.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(1);

/// Largest number of these entries that are read after one list.
const MAX_UNSEEN_READS: usize = 50;

/// When to read the list again of which a part couldn't be read.
#[derive(Default)]
struct Relisting {
    due: Option<Timestamp>,
    delay: Duration,
}

impl Relisting {
    fn is_due(&self, now: Timestamp) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Records that the list was read.
    fn record_list(&mut self, now: Timestamp, is_whole: bool) {
        let (shortest, longest) = RELIST_DELAYS.into_inner();
        self.delay = match is_whole {
            true => Duration::ZERO,
            false => (self.delay * 2).clamp(shortest, longest),
        };
        self.due = (!is_whole).then(|| now + self.delay);
    }
}

/// Watches the list of upstreams until the process ends.
pub(crate) async fn follow_upstreams(state: Rc<GatewayState>) {
    let mut position = None;
    let mut relisting = Relisting::default();
    loop {
        let pass = StoreGate::enter(&state).await;
        if pass.is_probe() || relisting.is_due(clock::now()) {
            position = None;
        }
        let result = match position {
            None => match list_upstreams(&state).await {
                Ok(listed) => {
                    relisting.record_list(clock::now(), listed.is_whole);
                    let unseen = listed.unseen.len().min(MAX_UNSEEN_READS);
                    confirm_entries(&state, &listed.unseen[..unseen], CONFIRMATION_LIMIT).await;
                    Ok(listed.position)
                }
                Err(error) => Err(error),
            },
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

/// What a list of the upstreams has shown.
pub(crate) struct ListedUpstreams {
    position: WatchPosition,
    is_whole: bool,
    /// Known upstreams that a list which isn't whole doesn't show. They may have left.
    unseen: Vec<UpstreamKey>,
}

/// Reads the whole list and applies it.
pub(crate) async fn list_upstreams(state: &GatewayState) -> Result<ListedUpstreams, StoreError> {
    let started = clock::now();
    let ObjectList {
        objects,
        position,
        is_whole,
    } = state
        .store
        .list(UPSTREAM_KIND, ReadConsistency::Linearizable)
        .await?;
    let now = clock::now();
    let records = objects.iter().filter_map(|object| {
        let record = decode_upstream(object);
        if record.is_none() {
            state.odd_entries.borrow_mut().log(object);
        }
        record
    });
    let records: Vec<UpstreamRecord> = records.collect();
    let (removed, unseen) = {
        record_store_available(state, now);
        let mut table = state.table.borrow_mut();
        match is_whole {
            true => {
                let removed = table.apply_list(now, records);
                table.record_shown(started);
                (removed, Vec::new())
            }
            false => {
                let unseen = table.missing_from(&records);
                (table.apply_partial_list(now, records), unseen)
            }
        }
    };
    version_store::observe(state);
    state.close_idle_connections(&removed);
    announce_change(state, position);
    tracing::info!(
        upstreams = objects.len(),
        gone = removed.len(),
        is_whole,
        "upstreams listed"
    );
    Ok(ListedUpstreams {
        position,
        is_whole,
        unseen,
    })
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

/// Reads the entries of upstreams one by one, whose versions are doubtful or that a list doesn't
/// show, and waits for that up to `limit`. Does nothing while the store doesn't respond.
pub(crate) async fn confirm_entries(
    state: &Rc<GatewayState>,
    upstreams: &[UpstreamKey],
    limit: Duration,
) {
    if !state.store_gate.is_open() {
        return;
    }
    for key in upstreams {
        if state.confirming.borrow_mut().insert(*key) {
            spawn_local(confirm_entry(Rc::clone(state), *key));
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
        tracing::info!("the entries of upstreams that are doubtful aren't read in time");
    }
}

async fn confirm_entry(state: Rc<GatewayState>, key: UpstreamKey) {
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
        log_change(state, change, &list_change);
        let removed = state.table.borrow_mut().apply(now, list_change);
        state.close_idle_connections(removed.as_slice());
    }
    version_store::observe(state);
}

fn log_change(state: &GatewayState, change: &ObjectChange, list_change: &ListChange) {
    let record = match list_change {
        ListChange::Present(record) => Some(record),
        ListChange::Removed(_) => None,
    };
    if record.is_none() && !change.is_removed {
        state.odd_entries.borrow_mut().log(&change.object);
    }
    tracing::info!(
        upstream = shown_name(&change.object.name),
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
