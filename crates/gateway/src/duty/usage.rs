//! Publishes this host's counts, and reports the sum of all hosts' counts.
//!
//! Every host keeps one object with its counts of the latest windows. The holder
//! of the lease adds them up, writes the sum down where the first write stays,
//! and only then reports it; a repeat, also by the next holder, reports what was
//! written.

use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{Endpoint, call};
use crate::host::Host;
use lagoonlift_adapter::duty::usage_request;
use lagoonlift_adapter::store::{ReadKind, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{
    HostCounts, MANY_HOSTS, SumPatience, UsageWindow, WindowCounts, sum_window,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the hosts' counts.
const COUNTS_KIND: &str = "usage-counts";
/// Kind of the sums that were or will be reported.
const REPORT_KIND: &str = "usage-reports";

/// Time between two writes of a host's counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after the end of a window at which its counts are written.
const WINDOW_END_DELAY: Duration = Duration::from_millis(200);

/// Time between two looks for windows to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// After the end of a window all living hosts have published within this time.
const SETTLE_DELAY_US: i64 = 2_000_000;

/// Part of the time until a report is due within which it is given up waiting
/// for hosts that don't publish.
const MAX_WAIT_SHARE: f64 = 0.75;

/// A host that hasn't published for this long isn't waited for, in microseconds.
const SILENT_HOST_US: i64 = 9_000_000;

/// Reports that are kept, for questions about the latest windows.
const KEPT_REPORTS: u64 = 120;

/// Time between two counts of the hosts.
const HOST_COUNT_ROUNDS: u32 = 12;

/// A window's sum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WindowReport {
    counts: WindowCounts,
}

/// Publishes this host's counts, for ever. `start_id` tells the starts of the
/// host apart.
pub(crate) async fn publish(host: Rc<Host>, start_id: i64) {
    let name = host.settings.host.name.clone();
    let mut condition = WriteCondition::Absent;
    let mut earlier = BTreeMap::new();
    let mut rounds: u32 = 0;
    loop {
        let counts = own_counts(&host, start_id, &earlier);
        let result = host
            .store
            .write(COUNTS_KIND, &name, &counts, condition)
            .await;
        condition = match result {
            Ok(object) => WriteCondition::Unchanged(object.revision),
            Err(StoreError::Conflict(Some(current))) => {
                if let Some(recovered) = counts_of_earlier_starts(&host, &current, start_id) {
                    earlier = recovered;
                    tracing::info!(
                        windows = earlier.len(),
                        "usage of an earlier start carried on"
                    );
                }
                WriteCondition::Unchanged(current.revision)
            }
            Err(StoreError::Missing) => WriteCondition::Absent,
            Err(error) => {
                tracing::warn!(%error, "usage counts were not published");
                condition
            }
        };
        if rounds.is_multiple_of(HOST_COUNT_ROUNDS) || rounds == 1 {
            count_hosts(&host).await;
        }
        rounds += 1;
        sleep(publish_pause(&host)).await;
    }
}

/// Returns the time to the next write. Among many hosts the counts of one weigh
/// little, and writing them once a window, right after its end, is enough.
fn publish_pause(host: &Host) -> Duration {
    if host.known_hosts() < MANY_HOSTS {
        return PUBLISH_INTERVAL;
    }
    let unix_us = host.wall.borrow().unix_us(clock::now());
    let usage = host.usage.borrow();
    let end_us = usage.end_of(usage.window_at(unix_us));
    let left = u64::try_from(end_us - unix_us).unwrap_or(0);
    Duration::from_micros(left) + WINDOW_END_DELAY
}

/// Returns the counts of earlier starts from what one of them had published;
/// `None` if this start published it.
fn counts_of_earlier_starts(
    host: &Host,
    current: &StoreObject,
    start_id: i64,
) -> Option<BTreeMap<u64, WindowCounts>> {
    match HostCounts::deserialize(&current.contents) {
        Ok(counts) if counts.start_id == start_id => None,
        Ok(counts) => {
            let unix_us = host.wall.borrow().unix_us(clock::now());
            let oldest = host.usage.borrow().oldest_kept(unix_us);
            Some(counts.carried_on(oldest))
        }
        Err(error) => {
            tracing::error!(object = current.name, %error, "usage counts can't be read");
            None
        }
    }
}

fn own_counts(host: &Host, start_id: i64, earlier: &BTreeMap<u64, WindowCounts>) -> HostCounts {
    let unix_us = host.wall.borrow().unix_us(clock::now());
    let mut usage = host.usage.borrow_mut();
    let oldest = usage.oldest_kept(unix_us);
    let recent = usage.recent(unix_us);
    let windows = recent
        .iter()
        .map(|(window, counts)| (window.0, counts.clone()));
    let is_kept = |(window, _): &(&u64, &WindowCounts)| **window >= oldest.0;
    let earlier = earlier.iter().filter(is_kept);
    HostCounts {
        start_id,
        unix_us,
        peer_address: host.settings.listen.peers,
        windows: windows.collect(),
        earlier: earlier
            .map(|(window, counts)| (*window, counts.clone()))
            .collect(),
    }
}

/// Takes in how many hosts there are and where they listen. A host missing from
/// an old list is there in the next.
async fn count_hosts(host: &Host) {
    let published = match list_counts(host, ReadKind::Stale).await {
        Ok(published) => published,
        Err(error) => {
            tracing::warn!(%error, "the hosts can't be counted");
            return;
        }
    };
    host.set_known_hosts(published.len());
    let peers = published.iter().filter_map(|counts| counts.peer_address);
    host.peers.borrow_mut().extend(peers);
}

async fn list_counts(host: &Host, read: ReadKind) -> Result<Vec<HostCounts>, StoreError> {
    let (objects, _) = host.store.list(COUNTS_KIND, read).await?;
    let mut published = Vec::new();
    for object in objects {
        match HostCounts::deserialize(&object.contents) {
            Ok(counts) => published.push(counts),
            Err(error) => {
                tracing::error!(object = object.name, %error, "usage counts can't be read");
            }
        }
    }
    Ok(published)
}

/// Reports windows while this host holds the lease, for ever.
pub(crate) async fn report(duties: Rc<Duties>) {
    let mut reported: Option<UsageWindow> = None;
    loop {
        sleep(REPORT_INTERVAL).await;
        if duties.holder().is_none() {
            continue;
        }
        // Another holder may have reported meanwhile; a repeat does no harm.
        let following = reported.map(|window| UsageWindow(window.0 + 1));
        let window = following.max(Some(first_window(&duties.host)));
        let window = window.unwrap_or(UsageWindow(0));
        if !is_settled(&duties.host, window) {
            continue;
        }
        match report_window(&duties, window).await {
            Ok(true) => reported = Some(window),
            Ok(false) => {}
            Err(error) => {
                tracing::warn!(window = window.0, %error, "usage was not reported");
            }
        }
    }
}

/// Returns the oldest window whose report may still be due.
fn first_window(host: &Host) -> UsageWindow {
    let due_us = host.settings.bounds.usage_due.as_micros() as i64;
    let unix_us = host.wall.borrow().unix_us(clock::now());
    let usage = host.usage.borrow();
    let oldest = usage.window_at(unix_us - due_us);
    UsageWindow(oldest.0.saturating_sub(1))
}

fn is_settled(host: &Host, window: UsageWindow) -> bool {
    let unix_us = host.wall.borrow().unix_us(clock::now());
    unix_us >= host.usage.borrow().end_of(window) + SETTLE_DELAY_US
}

/// Reports a window; `false` if it has to wait.
async fn report_window(duties: &Duties, window: UsageWindow) -> Result<bool, StoreError> {
    let host = &duties.host;
    let name = window.0.to_string();
    let written = host.store.read(REPORT_KIND, &name, ReadKind::Exact).await?;
    let counts = match written {
        Some(object) => parse_report(&object)?,
        None => match sum_counts(host, window).await? {
            Some(counts) => write_report(host, &name, counts).await?,
            None => return Ok(false),
        },
    };
    let Some(holder) = duties.holder() else {
        return Ok(false);
    };
    let request = usage_request(duties.address, &holder, window, &counts);
    let endpoint = Endpoint::Address(duties.address);
    let response = call(&host.pool, endpoint, duties.address, request, DUTY_TIMEOUT).await;
    let status = match response {
        Ok(response) => response.status,
        Err(error) => {
            tracing::warn!(window = window.0, %error, "the usage report was not answered");
            return Ok(false);
        }
    };
    tracing::info!(
        window = window.0,
        fencing_number = holder.fencing_number,
        requests = counts.values().sum::<u64>(),
        status = status.as_u16(),
        "usage reported"
    );
    remove_old_report(host, window).await;
    // A report that is refused as wrong stays wrong.
    let is_final = status.is_success() || status.is_client_error() && status.as_u16() != 429;
    Ok(is_final)
}

/// Removes the report of a window that nobody can report any more.
async fn remove_old_report(host: &Host, window: UsageWindow) {
    let name = window.0.saturating_sub(KEPT_REPORTS).to_string();
    match host.store.remove(REPORT_KIND, &name).await {
        Ok(()) | Err(StoreError::Missing) => {}
        Err(error) => tracing::warn!(name, %error, "an old usage report was not removed"),
    }
}

/// Adds all hosts' counts up; `None` while a host has yet to publish.
async fn sum_counts(host: &Host, window: UsageWindow) -> Result<Option<WindowCounts>, StoreError> {
    let published = list_counts(host, ReadKind::Exact).await?;
    let unix_us = host.wall.borrow().unix_us(clock::now());
    let end_us = host.usage.borrow().end_of(window);
    let due_us = host.settings.bounds.usage_due.as_micros() as f64;
    let limits = SumPatience {
        longest_us: (due_us * MAX_WAIT_SHARE) as i64,
        silent_us: SILENT_HOST_US,
    };
    Ok(sum_window(&published, window, end_us, unix_us, limits))
}

/// Writes a sum down; returns what is written, which may be another holder's.
async fn write_report(
    host: &Host,
    name: &str,
    counts: WindowCounts,
) -> Result<WindowCounts, StoreError> {
    let report = WindowReport { counts };
    let written = host
        .store
        .write(REPORT_KIND, name, &report, WriteCondition::Absent)
        .await;
    match written {
        Ok(_) => Ok(report.counts),
        Err(StoreError::Conflict(Some(current))) => parse_report(&current),
        Err(error) => Err(error),
    }
}

fn parse_report(object: &StoreObject) -> Result<WindowCounts, StoreError> {
    let report = WindowReport::deserialize(&object.contents);
    let report = report.map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok(report.counts)
}
