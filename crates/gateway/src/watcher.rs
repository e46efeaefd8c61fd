//! Follows the configuration and the list of upstreams in the store.
//!
//! Each of the two is listed once and then watched from the list's revision on.
//! A watch that finds its history gone, or fails, is followed by a new list,
//! which also shows what was removed meanwhile.

use crate::clock;
use crate::host::Host;
use lagoonlift_adapter::listing::{
    CONFIG_KIND, CONFIG_NAME, UPSTREAM_KIND, decode_config, decode_upstream,
};
use lagoonlift_adapter::store::{
    ChangePage, ObjectChange, ReadConsistency, Revision, StoreError, StoreObject,
};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    ListChange, MIN_HOSTS_FOR_SHARED_READS, StoreStatus, UpstreamId,
};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Wait of a watch on the configuration. It brings changes at once; the proof of
/// being current comes from reads in between.
const CONFIG_WAIT: Duration = Duration::from_secs(10);

/// Ages between which the proof is renewed by a read of the store, if no other
/// host has given a younger one.
const PROOF_READ_MS: std::ops::Range<u64> = 1_100..1_600;

/// The same on a host that reads for many others.
const READER_PROOF_MS: std::ops::Range<u64> = 600..900;

/// The same on a host that is read for, as shares of the time within which a
/// change has to be in force.
const READ_FOR_SHARES: std::ops::Range<f64> = 0.5..0.65;

/// Time between two looks at the proof.
const PROOF_LOOK: Duration = Duration::from_millis(100);

/// Wait of a watch on the upstreams. A connection that has silently failed shows
/// only when the wait is over.
const UPSTREAM_WAIT: Duration = Duration::from_millis(2_200);

/// Wait of an exact watch for changes that are known to be there.
const CATCH_UP_WAIT: Duration = Duration::from_millis(50);

/// A watch that ends without changes before this time did not wait.
const SHORTEST_WATCH: Duration = Duration::from_millis(40);

/// Time between two looks at whether a stale watch is behind.
const BEHIND_LOOK: Duration = Duration::from_millis(100);

/// Pause after changes of the upstreams, so that those that come together cost
/// one call.
const COALESCE_PAUSE: Duration = Duration::from_millis(150);

/// The same among many hosts, where each call is made many times over.
const LONG_COALESCE_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause before a failed call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Hears of changes of the configuration, for ever.
pub(crate) async fn follow_config(host: Rc<Host>) {
    let mut revision = None;
    loop {
        let sent_at = clock::now();
        let result = match revision {
            None => list_config(&host)
                .await
                .map(|next| (next, ReadConsistency::Linearizable)),
            Some(revision) => watch_config(&host, revision).await,
        };
        match result {
            Ok((next, read)) => {
                if read == ReadConsistency::Linearizable {
                    host.currency.borrow_mut().record_linearizable_read(sent_at);
                }
                revision = Some(next);
            }
            Err(error) => {
                revision = None;
                note_failure(&host, "configuration", &error);
                pause_after(&error).await;
            }
        }
    }
}

/// Reads the configuration while no younger proof is at hand, and when another
/// host has a newer one, for ever.
pub(crate) async fn keep_proof(host: Rc<Host>) {
    loop {
        wait_for_age(&host).await;
        let sent_at = clock::now();
        match list_config(&host).await {
            Ok(_) => host.currency.borrow_mut().record_linearizable_read(sent_at),
            Err(error) => {
                note_failure(&host, "proof", &error);
                pause_after(&error).await;
            }
        }
    }
}

/// Draws the age at which this host reads the store to renew the proof.
fn proof_read_age(host: &Host) -> Duration {
    let mut rng = rand::rng();
    let read_ms = match host.is_store_reader() {
        _ if host.known_hosts() < MIN_HOSTS_FOR_SHARED_READS => PROOF_READ_MS,
        true => READER_PROOF_MS,
        false => {
            let share = rng.random_range(READ_FOR_SHARES);
            return host.settings.bounds.configuration.mul_f64(share);
        }
    };
    Duration::from_millis(rng.random_range(read_ms))
}

/// Waits until the proof is old or there are news.
async fn wait_for_age(host: &Host) {
    let limit = proof_read_age(host);
    loop {
        if timeout(PROOF_LOOK, host.config_news.notified())
            .await
            .is_ok()
        {
            return;
        }
        let age = host.proof().age(clock::now());
        if age.is_none_or(|age| age > limit) {
            return;
        }
    }
}

async fn list_config(host: &Host) -> Result<Revision, StoreError> {
    let (objects, revision) = host
        .store
        .list(CONFIG_KIND, ReadConsistency::Linearizable)
        .await?;
    for object in &objects {
        apply_config(host, object);
    }
    Ok(revision)
}

/// Waits for changes; a stale watch may bring them late, and the proof's exact
/// reads bring them then.
async fn watch_config(
    host: &Host,
    revision: Revision,
) -> Result<(Revision, ReadConsistency), StoreError> {
    let read = watch_kind(host);
    let started = clock::now();
    let page = host
        .store
        .watch(CONFIG_KIND, revision, CONFIG_WAIT, read)
        .await?;
    slow_down(started, &page).await;
    for change in page.changes.iter().filter(|change| !change.is_removed) {
        apply_config(host, &change.object);
    }
    // A stale copy may be older than what is known already.
    Ok((page.revision.max(revision), read))
}

/// Returns how this host watches.
fn watch_kind(host: &Host) -> ReadConsistency {
    match host.is_store_reader() {
        true => ReadConsistency::Linearizable,
        false => ReadConsistency::Stale,
    }
}

/// Puts a configuration into force if it is newer than the one in hand.
fn apply_config(host: &Host, object: &StoreObject) {
    if object.name != CONFIG_NAME {
        return;
    }
    let config = match decode_config(&object.contents) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(revision = object.revision.0, %error, "configuration refused");
            return;
        }
    };
    if !host.currency.borrow_mut().accept(config.version()) {
        return;
    }
    tracing::info!(
        version = config.version().0,
        revision = object.revision.0,
        routes = config.routes().len(),
        "configuration in force"
    );
    *host.config.borrow_mut() = Some(Rc::new(config));
}

/// Keeps the list of upstreams up to date, for ever.
pub(crate) async fn follow_upstreams(host: Rc<Host>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => list_upstreams(&host).await,
            Some(revision) => watch_upstreams(&host, revision).await,
        };
        match result {
            Ok(next) => {
                host.table.borrow_mut().record_store_available(clock::now());
                let is_for_many = host.known_hosts() >= MIN_HOSTS_FOR_SHARED_READS;
                set_reading(&host, is_for_many && host.is_store_reader());
                revision = Some(next);
            }
            Err(error) => {
                revision = None;
                set_reading(&host, false);
                if error != StoreError::HistoryExpired {
                    host.table.borrow_mut().record_store_unavailable();
                }
                note_failure(&host, "upstreams", &error);
                pause_after(&error).await;
            }
        }
    }
}

async fn list_upstreams(host: &Host) -> Result<Revision, StoreError> {
    let (objects, revision) = host
        .store
        .list(UPSTREAM_KIND, ReadConsistency::Linearizable)
        .await?;
    let now = clock::now();
    let records = objects.iter().filter_map(decode_upstream).collect();
    let gone = {
        let mut table = host.table.borrow_mut();
        table.record_store_available(now);
        table.apply_list(now, records)
    };
    host.forget_upstreams(&gone);
    note_change(host, revision);
    tracing::info!(
        upstreams = objects.len(),
        gone = gone.len(),
        "upstreams listed"
    );
    Ok(revision)
}

async fn watch_upstreams(host: &Host, revision: Revision) -> Result<Revision, StoreError> {
    let started = clock::now();
    let page = tokio::select! {
        page = host.store.watch(UPSTREAM_KIND, revision, UPSTREAM_WAIT, watch_kind(host)) => page?,
        () = is_behind(host, revision) => {
            let read = ReadConsistency::Linearizable;
            host.store.watch(UPSTREAM_KIND, revision, CATCH_UP_WAIT, read).await?
        }
    };
    apply_changes(host, clock::now(), &page);
    if !page.changes.is_empty() {
        note_change(host, page.revision);
        host.plan_roles();
        sleep(match host.known_hosts() < MIN_HOSTS_FOR_SHARED_READS {
            true => COALESCE_PAUSE,
            false => LONG_COALESCE_PAUSE,
        })
        .await;
    }
    slow_down(started, &page).await;
    Ok(page.revision.max(revision))
}

/// Pauses after a watch that brought nothing and didn't wait, so that a store
/// that answers at once isn't asked without end.
async fn slow_down(started: Timestamp, page: &ChangePage) {
    if page.changes.is_empty() && clock::now().since(started) < SHORTEST_WATCH {
        sleep(RETRY_PAUSE).await;
    }
}

/// Waits until another host knows of changes that a stale watch should have
/// brought by now.
async fn is_behind(host: &Host, revision: Revision) {
    while host.is_store_reader()
        || !host
            .store_readers
            .borrow()
            .is_watch_behind(clock::now(), revision.0)
    {
        sleep(BEHIND_LOOK).await;
    }
    tracing::info!(
        revision = revision.0,
        "the watch of the upstreams is behind"
    );
}

/// Tells other hosts of the latest change of the upstreams.
fn note_change(host: &Host, revision: Revision) {
    let news = host.store_news.get();
    host.store_news.set(StoreStatus {
        upstream_revision: news.upstream_revision.max(revision.0),
        ..news
    });
}

/// Tells other hosts whether this one reads the store exactly and is answered.
fn set_reading(host: &Host, is_reading_store: bool) {
    let news = host.store_news.get();
    host.store_news.set(StoreStatus {
        is_reading_store,
        ..news
    });
}

fn apply_changes(host: &Host, now: Timestamp, page: &ChangePage) {
    for change in &page.changes {
        let Some(list_change) = decode_change(change) else {
            continue;
        };
        tracing::info!(
            upstream = change.object.name,
            revision = change.object.revision.0,
            change = ?list_change,
            "upstream changed"
        );
        let gone = host.table.borrow_mut().apply(now, list_change);
        host.forget_upstreams(gone.as_slice());
    }
}

/// Returns what a change means; `None` for an entry that can't be read, which
/// says nothing about the upstream.
fn decode_change(change: &ObjectChange) -> Option<ListChange> {
    match change.is_removed {
        true => Some(ListChange::Removed(UpstreamId(change.object.name.clone()))),
        false => decode_upstream(&change.object).map(ListChange::Present),
    }
}

fn note_failure(host: &Host, subject: &'static str, error: &StoreError) {
    host.metrics.count_store_failure();
    tracing::warn!(subject, %error, "the store gave no answer");
}

async fn pause_after(error: &StoreError) {
    let longest = match error {
        StoreError::HistoryExpired => return,
        _ => RETRY_PAUSE,
    };
    let share: f64 = rand::rng().random_range(0.4..1.0);
    sleep(longest.mul_f64(share)).await;
}
