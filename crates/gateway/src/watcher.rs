//! Watches the configuration and the list of upstreams in the store.
//!
//! Each of the two is listed once and then watched from the revision of the list.
//! While the store is unavailable, one of the tasks probes it with a list, never with a
//! watch, on whose result the others wait; see `store_gate`.
//! After a watch that failed, or whose history the store no longer has, it is
//! listed again, which also shows removals that the watch missed. The same is done
//! after the store was restored from a copy, since its revisions went back; in a large
//! deployment, the hosts other than the store readers then wait for a random time, so
//! that they don't all list at once.

use crate::clock;
use crate::state::GatewayState;
use crate::store::WatchPosition;
use crate::store_gate::StoreGate;
use lagoonlift_adapter::listing::{
    CONFIG_KIND, CONFIG_NAME, UPSTREAM_KIND, decode_config, decode_upstream,
};
use lagoonlift_adapter::store::{
    ChangePage, ObjectChange, ReadConsistency, StoreError, StoreObject,
};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    EngineRole, ListChange, MIN_HOSTS_FOR_SHARED_READS, StoreStatus, UpstreamId,
};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Wait of a watch on the configuration. A watch returns changes at once; the
/// confirmation that the configuration is current comes from separate reads.
const CONFIG_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Range from which the age is drawn at which a read of the store renews the
/// confirmation, unless a peer has given a younger one. In milliseconds.
const CONFIRMATION_READ_MS: std::ops::Range<u64> = 1_100..1_600;

/// The same range for a store reader, which reads on behalf of many hosts.
const READER_CONFIRMATION_READ_MS: std::ops::Range<u64> = 600..900;

/// The same range for the other hosts, as shares of the time within which a changed
/// configuration has to be in force.
const NON_READER_AGE_SHARES: std::ops::Range<f64> = 0.5..0.65;

/// Age up to which a confirmation needs no renewal after the store was unavailable.
const FRESH_CONFIRMATION: Duration = Duration::from_millis(250);

/// Polling interval for the age of the confirmation.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wait of a watch on the upstreams. It is short because a connection that failed
/// without a reset is detected only when the wait is over.
const UPSTREAM_WATCH_WAIT: Duration = Duration::from_millis(2_200);

/// Wait of a linearizable watch for changes that are known to exist.
const CATCH_UP_WAIT: Duration = Duration::from_millis(50);

/// A watch that returns no changes in less than this time did not wait.
const MIN_WATCH_TIME: Duration = Duration::from_millis(40);

/// Polling interval for whether a stale watch is behind.
const BEHIND_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after changes of the upstreams, so that changes in quick succession are
/// read with one call.
const COALESCE_DELAY: Duration = Duration::from_millis(150);

/// The same delay with many hosts, each of which makes the call.
const MANY_HOSTS_COALESCE_DELAY: Duration = Duration::from_millis(700);

/// Longest delay before a failed call is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay in a large deployment before a host that isn't a store reader lists
/// again after a restore of the store.
const MAX_RELIST_DELAY: Duration = Duration::from_millis(1_500);

/// Watches the configuration until the process ends.
pub(crate) async fn follow_config(state: Rc<GatewayState>) {
    let mut position = None;
    loop {
        let pass = StoreGate::enter(&state).await;
        if pass.is_probe() {
            position = None;
        }
        let sent_at = clock::now();
        let result = match position {
            None => list_config(&state)
                .await
                .map(|next| (next, ReadConsistency::Linearizable)),
            Some(position) => watch_config(&state, position).await,
        };
        pass.record(&result);
        match result {
            Ok((next, read)) => {
                if read == ReadConsistency::Linearizable {
                    record_confirmation(&state, sent_at);
                }
                position = Some(next);
            }
            Err(error) => {
                position = None;
                record_failure(&state, "configuration", &error);
                back_off_after(&state, &error).await;
            }
        }
    }
}

/// Reads the configuration when its confirmation is old or a peer has a newer
/// version, until the process ends.
pub(crate) async fn renew_confirmation(state: Rc<GatewayState>) {
    loop {
        wait_until_renewal_due(&state).await;
        let pass = StoreGate::enter(&state).await;
        let age = state.confirmation().age(clock::now());
        if !pass.is_probe() && age.is_some_and(|age| age < FRESH_CONFIRMATION) {
            // Another task has read the configuration while this one waited.
            continue;
        }
        let sent_at = clock::now();
        let result = list_config(&state).await;
        pass.record(&result);
        match result {
            Ok(_) => {
                if !record_confirmation(&state, sent_at) {
                    sleep(MAX_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                record_failure(&state, "proof", &error);
                back_off_after(&state, &error).await;
            }
        }
    }
}

/// Records a linearizable read of the configuration that was sent at `sent_at`. Returns
/// whether it confirms the version in force.
fn record_confirmation(state: &GatewayState, sent_at: Timestamp) -> bool {
    let mut freshness = state.freshness.borrow_mut();
    let is_confirmed = freshness.record_linearizable_read(sent_at);
    if !is_confirmed {
        tracing::warn!("the store returned an older configuration than a known one");
    }
    is_confirmed
}

/// Draws the age at which this host reads the store to renew the confirmation.
fn confirmation_read_age(state: &GatewayState) -> Duration {
    let mut rng = rand::rng();
    let read_ms = match state.is_store_reader() {
        _ if state.max_host_count() < MIN_HOSTS_FOR_SHARED_READS => CONFIRMATION_READ_MS,
        true => READER_CONFIRMATION_READ_MS,
        false => {
            let share = rng.random_range(NON_READER_AGE_SHARES);
            return state.settings.bounds.configuration.mul_f64(share);
        }
    };
    Duration::from_millis(rng.random_range(read_ms))
}

/// Waits until the confirmation is old or a peer has a newer configuration.
async fn wait_until_renewal_due(state: &GatewayState) {
    let limit = confirmation_read_age(state);
    loop {
        if timeout(CONFIRMATION_POLL_INTERVAL, state.config_outdated.notified())
            .await
            .is_ok()
        {
            return;
        }
        let age = state.confirmation().age(clock::now());
        if age.is_none_or(|age| age > limit) {
            return;
        }
    }
}

async fn list_config(state: &GatewayState) -> Result<WatchPosition, StoreError> {
    let (objects, position) = state
        .store
        .list(CONFIG_KIND, ReadConsistency::Linearizable)
        .await?;
    if !objects.iter().any(|object| object.name == CONFIG_NAME) {
        state.freshness.borrow_mut().record_absence();
    }
    for object in &objects {
        apply_config(state, object);
    }
    Ok(position)
}

/// Waits for changes of the configuration. A stale watch may return them late; the
/// linearizable reads that renew the confirmation bound that delay.
async fn watch_config(
    state: &GatewayState,
    position: WatchPosition,
) -> Result<(WatchPosition, ReadConsistency), StoreError> {
    let read = watch_consistency(state);
    let started = clock::now();
    let page = state
        .store
        .watch(CONFIG_KIND, position, CONFIG_WATCH_WAIT, read)
        .await?;
    pause_if_immediate(started, &page).await;
    for change in page.changes.iter().filter(|change| !change.is_removed) {
        apply_config(state, &change.object);
    }
    Ok((position.advanced_to(page.revision), read))
}

/// Returns the read consistency of this host's watches: linearizable on a store
/// reader, stale on other hosts.
fn watch_consistency(state: &GatewayState) -> ReadConsistency {
    match state.is_store_reader() {
        true => ReadConsistency::Linearizable,
        false => ReadConsistency::Stale,
    }
}

/// Puts a configuration into force if it is newer than the current one.
fn apply_config(state: &GatewayState, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let config = match decode_config(&object.contents) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(revision = object.revision.0, %error, "malformed configuration");
            return;
        }
    };
    if !state.freshness.borrow_mut().accept(config.version()) {
        return;
    }
    tracing::info!(
        version = config.version().0,
        revision = object.revision.0,
        routes = config.routes().len(),
        "configuration in force"
    );
    *state.config.borrow_mut() = Some(Rc::new(config));
}

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
                state
                    .table
                    .borrow_mut()
                    .record_store_available(clock::now());
                let is_for_many = state.max_host_count() >= MIN_HOSTS_FOR_SHARED_READS;
                announce_reading(&state, is_for_many && state.is_store_reader());
                position = Some(next);
            }
            Err(error) => {
                position = None;
                announce_reading(&state, false);
                if error != StoreError::HistoryExpired {
                    state.table.borrow_mut().record_store_unavailable();
                }
                record_failure(&state, "upstreams", &error);
                back_off_after(&state, &error).await;
            }
        }
    }
}

async fn list_upstreams(state: &GatewayState) -> Result<WatchPosition, StoreError> {
    let (objects, position) = state
        .store
        .list(UPSTREAM_KIND, ReadConsistency::Linearizable)
        .await?;
    let now = clock::now();
    let records = objects.iter().filter_map(decode_upstream).collect();
    let removed = {
        let mut table = state.table.borrow_mut();
        table.record_store_available(now);
        table.apply_list(now, records)
    };
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
    let page = tokio::select! {
        page = state
            .store
            .watch(UPSTREAM_KIND, position, UPSTREAM_WATCH_WAIT, watch_consistency(state)) => page?,
        () = wait_until_behind(state, position) => {
            let read = ReadConsistency::Linearizable;
            state.store.watch(UPSTREAM_KIND, position, CATCH_UP_WAIT, read).await?
        }
    };
    apply_changes(state, clock::now(), &page);
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

/// Sleeps after a watch that returned no changes without waiting, so that a store
/// that responds at once isn't polled in a busy loop.
async fn pause_if_immediate(started: Timestamp, page: &ChangePage) {
    if page.changes.is_empty() && clock::now().since(started) < MIN_WATCH_TIME {
        sleep(MAX_RETRY_DELAY).await;
    }
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
        let Some(list_change) = decode_change(change) else {
            continue;
        };
        log_change(change, &list_change);
        let removed = state.table.borrow_mut().apply(now, list_change);
        state.close_idle_connections(removed.as_slice());
    }
}

fn log_change(change: &ObjectChange, list_change: &ListChange) {
    let record = match list_change {
        ListChange::Present(record) => Some(record),
        ListChange::Removed(_) => None,
    };
    tracing::info!(
        upstream = change.object.name,
        revision = change.object.revision.0,
        is_removed = change.is_removed,
        service = record.map(|record| record.service.as_str()),
        address = record.map(|record| record.address.to_string()),
        data_centre = record.map(|record| record.data_centre.as_str()),
        phase = record.map(|record| record.phase.name()),
        role = record.and_then(|record| record.role).map(EngineRole::name),
        is_spot = record.map(|record| record.is_spot),
        started_ms = record.and_then(|record| record.started_ms),
        order_count = record.and_then(|record| record.order_count),
        "upstream changed"
    );
}

/// Decodes a change. Returns `None`, which leaves the upstream unchanged, for a
/// record that is malformed or whose state is neither ready nor draining.
fn decode_change(change: &ObjectChange) -> Option<ListChange> {
    match change.is_removed {
        true => Some(ListChange::Removed(UpstreamId(change.object.name.clone()))),
        false => decode_upstream(&change.object).map(ListChange::Present),
    }
}

fn record_failure(state: &GatewayState, subject: &'static str, error: &StoreError) {
    state.metrics.count_store_failure();
    tracing::warn!(subject, %error, "the store gave no answer");
}

async fn back_off_after(state: &GatewayState, error: &StoreError) {
    let is_for_others = state.max_host_count() >= MIN_HOSTS_FOR_SHARED_READS;
    let longest = match error {
        StoreError::HistoryExpired => return,
        // The gate delays the next call.
        StoreError::NoResponse(_) | StoreError::UnexpectedStatus(_) => return,
        StoreError::Restored if state.is_store_reader() => return,
        StoreError::Restored if is_for_others => MAX_RELIST_DELAY,
        _ => MAX_RETRY_DELAY,
    };
    let share: f64 = rand::rng().random_range(0.4..1.0);
    sleep(longest.mul_f64(share)).await;
}
