//! Publishes this host's usage counts.
//!
//! Every host keeps one object in the store with its counts of the latest usage
//! windows, and the copies that it has to publish for its peers. After a write that
//! failed, or that found another revision than the known one, the counts are written
//! again soon.

use crate::clock;
use crate::state::GatewayState;
use crate::store_gate::StoreGate;
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{
    CountsByWindow, HOST_TTL, HostCounts, MIN_HOSTS_FOR_SHARED_READS, PublishedCounts, UsageCopy,
};
use rand::RngExt;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the objects with the hosts' counts.
const COUNTS_KIND: &str = "usage-counts";

/// Interval between two writes of a host's counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay between the end of a window and the write of its counts.
const WINDOW_END_DELAY: Duration = Duration::from_millis(200);

/// Polling interval for copies to publish, which is also the shortest time between two
/// publications for their sake.
const COPIES_INTERVAL: Duration = Duration::from_millis(1_000);

/// Range of the delay after a write that found another revision than the known one.
const OUTDATED_PAUSE: Range<Duration> = Duration::ZERO..Duration::from_millis(100);

/// Range of the delay after a write that failed.
const FAILED_PAUSE: Range<Duration> = Duration::from_millis(1_000)..Duration::from_millis(3_000);

/// Number of publications between two updates of the number of hosts and of the
/// peers' addresses.
const HOST_UPDATE_ROUNDS: u32 = 12;

/// Publishes this host's counts until the process ends. `started_unix_us`, the Unix
/// time of the process start in microseconds, distinguishes the incarnations of
/// the host in the stored counts.
pub(crate) async fn publish_counts(state: Rc<GatewayState>, started_unix_us: i64) {
    let name = state.settings.host.name.clone();
    let mut condition = WriteCondition::Absent;
    let mut earlier = BTreeMap::new();
    let mut rounds: u32 = 0;
    let mut is_final = false;
    loop {
        if !is_final {
            StoreGate::wait_until_open(&state).await;
        }
        let counts = own_counts(&state, started_unix_us, &earlier);
        let copies = counts.copies.clone();
        let result = state
            .store
            .write(COUNTS_KIND, &name, &counts, condition)
            .await;
        let is_written = result.is_ok();
        if is_written {
            state.usage_published_us.set(counts.unix_us);
        }
        if is_final {
            state.final_publication.complete();
        }
        let is_outdated = matches!(
            result,
            Err(StoreError::Conflict(_) | StoreError::NotFound | StoreError::Restored)
        );
        condition = match result {
            Ok(object) => WriteCondition::Unchanged(object.revision),
            Err(StoreError::Conflict(Some(current))) => {
                if let Some(recovered) = counts_of_earlier_starts(&state, &current, started_unix_us)
                {
                    earlier = recovered;
                    tracing::info!(
                        starts = earlier.len(),
                        "carried over usage counts of earlier starts"
                    );
                }
                WriteCondition::Unchanged(current.revision)
            }
            Err(StoreError::NotFound) => WriteCondition::Absent,
            Err(error) => {
                tracing::warn!(%error, "failed to publish usage counts");
                condition
            }
        };
        // The additional update after the second publication includes hosts that have
        // published for the first time since this host's first publication.
        if rounds.is_multiple_of(HOST_UPDATE_ROUNDS) || rounds == 1 {
            update_hosts(&state).await;
        }
        rounds += 1;
        let pause = match () {
            () if is_outdated => rand::rng().random_range(OUTDATED_PAUSE),
            () if is_written => publish_pause(&state),
            () => publish_pause(&state).min(rand::rng().random_range(FAILED_PAUSE)),
        };
        is_final = wait_for_publication(&state, pause, &copies).await;
    }
}

/// Waits for `pause`, until there are other copies to publish than `copies`, or until
/// the final publication of a process that stops is requested, which it returns.
async fn wait_for_publication(state: &GatewayState, pause: Duration, copies: &[UsageCopy]) -> bool {
    let end = clock::now() + pause;
    while clock::now() < end {
        let slice = clock::time_until(end).min(COPIES_INTERVAL);
        tokio::select! {
            () = sleep(slice) => {}
            () = state.final_publication.requested() => return true,
        }
        let is_changed = |due: Vec<UsageCopy>| due != copies;
        if is_changed(state.usage_copies.borrow().due(clock::now())) {
            return false;
        }
    }
    false
}

/// Returns the time to the next write. With many hosts, the counts of one host are
/// a small part of the sum, so one write per window, right after its end, suffices.
fn publish_pause(state: &GatewayState) -> Duration {
    if state.max_host_count() < MIN_HOSTS_FOR_SHARED_READS {
        return PUBLISH_INTERVAL;
    }
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    let usage = state.usage.borrow();
    let end_us = usage.end_of(usage.window_at(unix_us));
    let left = u64::try_from(end_us - unix_us).unwrap_or(0);
    Duration::from_micros(left) + WINDOW_END_DELAY
}

/// Returns the counts of earlier process starts from the published object, or
/// `None` if this start wrote the object or it can't be decoded.
fn counts_of_earlier_starts(
    state: &GatewayState,
    current: &StoreObject,
    started_unix_us: i64,
) -> Option<BTreeMap<i64, CountsByWindow>> {
    match HostCounts::deserialize(&current.contents) {
        Ok(counts) if counts.start_id == started_unix_us => None,
        Ok(counts) => {
            let unix_us = state.wall_clock.borrow().unix_us(clock::now());
            let oldest = state.usage.borrow().oldest_retained(unix_us);
            Some(counts.carry_over(oldest))
        }
        Err(error) => {
            tracing::error!(object = current.name, %error, "malformed usage counts");
            None
        }
    }
}

fn own_counts(
    state: &GatewayState,
    started_unix_us: i64,
    earlier: &BTreeMap<i64, CountsByWindow>,
) -> HostCounts {
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    let mut usage = state.usage.borrow_mut();
    let oldest = usage.oldest_retained(unix_us);
    let recent = usage.recent(unix_us);
    let windows = recent
        .iter()
        .map(|(window, counts)| (window.0, counts.clone()));
    let mut incarnations = earlier.clone();
    for windows in incarnations.values_mut() {
        windows.retain(|window, _| *window >= oldest.0);
    }
    let mut copies = state.usage_copies.borrow_mut();
    copies.expire(oldest);
    HostCounts {
        start_id: started_unix_us,
        unix_us,
        peer_address: state.settings.listen.peers,
        windows: windows.collect(),
        incarnations,
        copies: copies.due(clock::now()),
    }
}

/// Updates the number of hosts and adds the addresses of new peers. The list comes from
/// a stale read; a host that is missing from it appears in a later one.
async fn update_hosts(state: &GatewayState) {
    let published = match list_counts(state, ReadConsistency::Stale).await {
        Ok(published) => published,
        Err(error) => {
            tracing::warn!(%error, "failed to list the hosts");
            return;
        }
    };
    state.record_host_count(published.len());
    let now = clock::now();
    let unix_us = state.wall_clock.borrow().unix_us(now);
    let ttl_us = HOST_TTL.as_micros() as u64;
    let is_live = |one: &&PublishedCounts| unix_us.abs_diff(one.counts.unix_us) < ttl_us;
    let live: Vec<&PublishedCounts> = published.iter().filter(is_live).collect();
    let addresses = live.iter().filter_map(|one| one.counts.peer_address);
    state
        .roster
        .borrow_mut()
        .record_list(now, live.len(), addresses);
}

pub(super) async fn list_counts(
    state: &GatewayState,
    read: ReadConsistency,
) -> Result<Vec<PublishedCounts>, StoreError> {
    let list = state.store.list(COUNTS_KIND, read).await?;
    if !list.is_whole {
        // A sum without the counts of a host would be too low.
        let detail = "the counts of a host may be missing from the list".to_owned();
        return Err(StoreError::Malformed(detail));
    }
    let mut published = Vec::new();
    for object in list.objects {
        match HostCounts::deserialize(&object.contents) {
            Ok(counts) => published.push(PublishedCounts {
                host: object.name,
                counts,
            }),
            Err(error) => {
                tracing::error!(object = object.name, %error, "malformed usage counts");
            }
        }
    }
    Ok(published)
}
