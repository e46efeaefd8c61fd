//! Publishes this host's usage counts and reports the sum over all hosts.
//!
//! Every host keeps one object in the store with its counts of the latest usage
//! windows. The lease holder adds them up and seals the sum: it stores the sum with
//! a write that succeeds only once per window. Only then does it report the sum. A
//! retry, also by a later lease holder, reports the stored sum.

use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{Endpoint, call};
use crate::state::GatewayState;
use lagoonlift_adapter::duty::usage_request;
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{
    HostCounts, MIN_HOSTS_FOR_SHARED_READS, SumTimeouts, UsageWindow, WindowCounts, sum_window,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the objects with the hosts' counts.
const COUNTS_KIND: &str = "usage-counts";
/// Kind of the objects with the sealed sums.
const SEALED_SUM_KIND: &str = "usage-reports";

/// Interval between two writes of a host's counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay between the end of a window and the write of its counts.
const WINDOW_END_DELAY: Duration = Duration::from_millis(200);

/// Polling interval for windows to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the end of a window within which all running hosts publish their
/// counts, in microseconds.
const SETTLE_DELAY_US: i64 = 2_000_000;

/// Share of the time until a report is due after which the sum no longer waits for
/// hosts that haven't published.
const MAX_WAIT_SHARE: f64 = 0.75;

/// Time without a publication after which the sum doesn't wait for a host, in
/// microseconds.
const SILENT_HOST_US: i64 = 9_000_000;

/// Number of sealed sums that stay in the store, so that the latest windows can be
/// inspected.
const KEPT_SUMS: u64 = 120;

/// Number of publications between two updates of the number of hosts and of the
/// peers' addresses.
const HOST_UPDATE_ROUNDS: u32 = 12;

/// The sum of a window as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SealedSum {
    counts: WindowCounts,
}

/// Publishes this host's counts until the process ends. `started_unix_us`, the Unix
/// time of the process start in microseconds, distinguishes the incarnations of
/// the host in the stored counts.
pub(crate) async fn publish_counts(state: Rc<GatewayState>, started_unix_us: i64) {
    let name = state.settings.host.name.clone();
    let mut condition = WriteCondition::Absent;
    let mut earlier = BTreeMap::new();
    let mut rounds: u32 = 0;
    loop {
        let counts = own_counts(&state, started_unix_us, &earlier);
        let result = state
            .store
            .write(COUNTS_KIND, &name, &counts, condition)
            .await;
        condition = match result {
            Ok(object) => WriteCondition::Unchanged(object.revision),
            Err(StoreError::Conflict(Some(current))) => {
                if let Some(recovered) = counts_of_earlier_starts(&state, &current, started_unix_us)
                {
                    earlier = recovered;
                    tracing::info!(
                        windows = earlier.len(),
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
        sleep(publish_pause(&state)).await;
    }
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
) -> Option<BTreeMap<u64, WindowCounts>> {
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
    earlier: &BTreeMap<u64, WindowCounts>,
) -> HostCounts {
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    let mut usage = state.usage.borrow_mut();
    let oldest = usage.oldest_retained(unix_us);
    let recent = usage.recent(unix_us);
    let windows = recent
        .iter()
        .map(|(window, counts)| (window.0, counts.clone()));
    let is_kept = |(window, _): &(&u64, &WindowCounts)| **window >= oldest.0;
    let earlier = earlier.iter().filter(is_kept);
    HostCounts {
        start_id: started_unix_us,
        unix_us,
        peer_address: state.settings.listen.peers,
        windows: windows.collect(),
        earlier: earlier
            .map(|(window, counts)| (*window, counts.clone()))
            .collect(),
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
    let peers = published.iter().filter_map(|counts| counts.peer_address);
    state.peers.borrow_mut().extend(peers);
}

async fn list_counts(
    state: &GatewayState,
    read: ReadConsistency,
) -> Result<Vec<HostCounts>, StoreError> {
    let (objects, _) = state.store.list(COUNTS_KIND, read).await?;
    let mut published = Vec::new();
    for object in objects {
        match HostCounts::deserialize(&object.contents) {
            Ok(counts) => published.push(counts),
            Err(error) => {
                tracing::error!(object = object.name, %error, "malformed usage counts");
            }
        }
    }
    Ok(published)
}

/// Reports windows while this host holds the lease, until the process ends.
pub(crate) async fn report(duties: Rc<Duties>) {
    let mut reported: Option<UsageWindow> = None;
    loop {
        sleep(REPORT_INTERVAL).await;
        if duties.holder().is_none() {
            continue;
        }
        // Another lease holder may have reported this window in the meantime.
        // Reporting it again is harmless.
        let following = reported.map(|window| UsageWindow(window.0 + 1));
        let window = following.max(Some(first_window(&duties.state)));
        let window = window.unwrap_or(UsageWindow(0));
        if !is_settled(&duties.state, window) {
            continue;
        }
        match report_window(&duties, window).await {
            Ok(true) => reported = Some(window),
            Ok(false) => {}
            Err(error) => {
                tracing::warn!(window = window.0, %error, "failed to report usage");
            }
        }
    }
}

/// Returns the oldest window whose report may still be outstanding.
fn first_window(state: &GatewayState) -> UsageWindow {
    let due_us = state.settings.bounds.usage_due.as_micros() as i64;
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    let usage = state.usage.borrow();
    let oldest = usage.window_at(unix_us - due_us);
    UsageWindow(oldest.0.saturating_sub(1))
}

fn is_settled(state: &GatewayState, window: UsageWindow) -> bool {
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    unix_us >= state.usage.borrow().end_of(window) + SETTLE_DELAY_US
}

/// Reports a window. Returns `false` if the report must be attempted again later.
async fn report_window(duties: &Duties, window: UsageWindow) -> Result<bool, StoreError> {
    let state = &duties.state;
    let name = window.0.to_string();
    let stored = state
        .store
        .read(SEALED_SUM_KIND, &name, ReadConsistency::Linearizable)
        .await?;
    let counts = match stored {
        Some(object) => parse_sum(&object)?,
        None => match sum_counts(state, window).await? {
            Some(counts) => seal_sum(state, &name, counts).await?,
            None => return Ok(false),
        },
    };
    let Some(holder) = duties.holder() else {
        return Ok(false);
    };
    let request = usage_request(duties.address, &holder, window, &counts);
    let endpoint = Endpoint::Address(duties.address);
    let response = call(&state.pool, endpoint, duties.address, request, DUTY_TIMEOUT).await;
    let status = match response {
        Ok(response) => response.status,
        Err(error) => {
            tracing::warn!(window = window.0, %error, "no response to the usage report");
            return Ok(false);
        }
    };
    // Logged also if the platform refused the report; `status` tells.
    tracing::info!(
        window = window.0,
        fencing_number = holder.fencing_token,
        requests = counts.values().sum::<u64>(),
        status = status.as_u16(),
        "usage report got a response"
    );
    remove_old_sum(state, window).await;
    // A report that is rejected as invalid would be rejected again, so it isn't
    // retried. 429 is retried.
    let is_final = status.is_success() || status.is_client_error() && status.as_u16() != 429;
    Ok(is_final)
}

/// Removes the stored sum of a window that is too old to be reported again.
async fn remove_old_sum(state: &GatewayState, window: UsageWindow) {
    let name = window.0.saturating_sub(KEPT_SUMS).to_string();
    match state.store.remove(SEALED_SUM_KIND, &name).await {
        Ok(()) | Err(StoreError::NotFound) => {}
        Err(error) => tracing::warn!(name, %error, "failed to remove an old sum of usage"),
    }
}

/// Adds up the counts of all hosts. Returns `None` while the counts of a host are
/// outstanding.
async fn sum_counts(
    state: &GatewayState,
    window: UsageWindow,
) -> Result<Option<WindowCounts>, StoreError> {
    let published = list_counts(state, ReadConsistency::Linearizable).await?;
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    let end_us = state.usage.borrow().end_of(window);
    let due_us = state.settings.bounds.usage_due.as_micros() as f64;
    let limits = SumTimeouts {
        max_wait_us: (due_us * MAX_WAIT_SHARE) as i64,
        silent_host_us: SILENT_HOST_US,
    };
    Ok(sum_window(&published, window, end_us, unix_us, limits))
}

/// Seals the sum of a window. Returns the stored sum, which another lease holder
/// may have written.
async fn seal_sum(
    state: &GatewayState,
    name: &str,
    counts: WindowCounts,
) -> Result<WindowCounts, StoreError> {
    let sum = SealedSum { counts };
    let written = state
        .store
        .write(SEALED_SUM_KIND, name, &sum, WriteCondition::Absent)
        .await;
    match written {
        Ok(_) => Ok(sum.counts),
        Err(StoreError::Conflict(Some(current))) => parse_sum(&current),
        Err(error) => Err(error),
    }
}

fn parse_sum(object: &StoreObject) -> Result<WindowCounts, StoreError> {
    let sum = SealedSum::deserialize(&object.contents);
    let sum = sum.map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok(sum.counts)
}
