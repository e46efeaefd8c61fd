//! Follows the configuration and the list of upstreams in the store.
//!
//! Each of the two is listed once and then watched from the list's revision on.
//! A watch that finds its history gone, or fails, is followed by a new list,
//! which also shows what was removed meanwhile.

use crate::clock;
use crate::host::{Host, MANY_HOSTS};
use lagoonlift_adapter::listing::{
    CONFIG_KIND, CONFIG_NAME, UPSTREAM_KIND, decode_config, decode_upstream,
};
use lagoonlift_adapter::store::{
    ChangePage, ObjectChange, ReadKind, Revision, StoreError, StoreObject,
};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{ListChange, UpstreamId};
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

/// Time between two looks at the proof.
const PROOF_LOOK: Duration = Duration::from_millis(100);

/// Wait of a watch on the upstreams. A connection that has silently failed shows
/// only when the wait is over.
const UPSTREAM_WAIT: Duration = Duration::from_millis(2_200);

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
            None => list_config(&host).await,
            Some(revision) => watch_config(&host, revision).await,
        };
        match result {
            Ok(next) => {
                host.proof.borrow_mut().renew(sent_at);
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
        let limit = Duration::from_millis(rand::rng().random_range(PROOF_READ_MS));
        wait_for_age(&host, limit).await;
        let sent_at = clock::now();
        match list_config(&host).await {
            Ok(_) => host.proof.borrow_mut().renew(sent_at),
            Err(error) => {
                note_failure(&host, "proof", &error);
                pause_after(&error).await;
            }
        }
    }
}

/// Waits until the proof is older than `limit` or there are news.
async fn wait_for_age(host: &Host, limit: Duration) {
    loop {
        if timeout(PROOF_LOOK, host.config_news.notified())
            .await
            .is_ok()
        {
            return;
        }
        let age = host.proof.borrow().age(clock::now());
        if age.is_none_or(|age| age > limit) {
            return;
        }
    }
}

async fn list_config(host: &Host) -> Result<Revision, StoreError> {
    let (objects, revision) = host.store.list(CONFIG_KIND, ReadKind::Exact).await?;
    for object in &objects {
        apply_config(host, object);
    }
    Ok(revision)
}

async fn watch_config(host: &Host, revision: Revision) -> Result<Revision, StoreError> {
    let page = host.store.watch(CONFIG_KIND, revision, CONFIG_WAIT).await?;
    for change in page.changes.iter().filter(|change| !change.is_removed) {
        apply_config(host, &change.object);
    }
    Ok(page.revision)
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
    let current = host.config().map(|config| config.version());
    if current.is_some_and(|current| current >= config.version()) {
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
                host.table.borrow_mut().note_store_back(clock::now());
                revision = Some(next);
            }
            Err(error) => {
                revision = None;
                if error != StoreError::HistoryGone {
                    host.table.borrow_mut().note_store_away();
                }
                note_failure(&host, "upstreams", &error);
                pause_after(&error).await;
            }
        }
    }
}

async fn list_upstreams(host: &Host) -> Result<Revision, StoreError> {
    let (objects, revision) = host.store.list(UPSTREAM_KIND, ReadKind::Exact).await?;
    let now = clock::now();
    let records = objects.iter().filter_map(decode_upstream).collect();
    let gone = {
        let mut table = host.table.borrow_mut();
        table.note_store_back(now);
        table.apply_list(now, records)
    };
    host.forget_upstreams(&gone);
    tracing::info!(
        upstreams = objects.len(),
        gone = gone.len(),
        "upstreams listed"
    );
    Ok(revision)
}

async fn watch_upstreams(host: &Host, revision: Revision) -> Result<Revision, StoreError> {
    let page = host
        .store
        .watch(UPSTREAM_KIND, revision, UPSTREAM_WAIT)
        .await?;
    apply_changes(host, clock::now(), &page);
    if !page.changes.is_empty() {
        host.plan_roles();
        sleep(match host.known_hosts() < MANY_HOSTS {
            true => COALESCE_PAUSE,
            false => LONG_COALESCE_PAUSE,
        })
        .await;
    }
    Ok(page.revision)
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
        StoreError::HistoryGone => return,
        _ => RETRY_PAUSE,
    };
    let share: f64 = rand::rng().random_range(0.4..1.0);
    sleep(longest.mul_f64(share)).await;
}
