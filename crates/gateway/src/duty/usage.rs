//! Publishes this host's counts, and reports the sum of all hosts' counts.
//!
//! Every host keeps one object with its counts of the latest windows. The holder
//! of the lease adds them up, writes the sum down where the first write stays,
//! and only then reports it; a repeat, also by the next holder, reports what was
//! written.

use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{PeerKey, call};
use crate::host::Host;
use lagoonlift_adapter::duty::usage_request;
use lagoonlift_adapter::store::{ReadKind, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{UsageWindow, WindowCounts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the hosts' counts.
const COUNT_KIND: &str = "usage-counts";
/// Kind of the sums that were or will be reported.
const REPORT_KIND: &str = "usage-reports";

/// Time between two writes of a host's counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two looks for windows to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// After the end of a window all living hosts have published within this time.
const SETTLE_US: i64 = 2_000_000;

/// Part of the time until a report is due within which it is given up waiting
/// for hosts that don't publish.
const PATIENCE_SHARE: f64 = 0.6;

/// A host that hasn't published for this long isn't waited for, in microseconds.
const DEAD_AFTER_US: i64 = 8_000_000;

/// Time between two counts of the hosts.
const CENSUS_INTERVAL: u32 = 12;

/// What a host publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PublishedCounts {
    /// Unix time of the host at the write, in microseconds.
    unix_us: i64,
    /// Counts by window number and workspace.
    windows: BTreeMap<u64, WindowCounts>,
}

/// A window's sum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WindowReport {
    counts: WindowCounts,
}

/// Publishes this host's counts, for ever. `start_id` tells the starts of the
/// host apart.
pub(crate) async fn publish(host: Rc<Host>, start_id: i64) {
    let name = format!("{}.{start_id}", host.settings.host.name);
    let mut condition = WriteCondition::Absent;
    let mut rounds: u32 = 0;
    loop {
        let counts = own_counts(&host);
        let result = host
            .store
            .write(COUNT_KIND, &name, &counts, condition)
            .await;
        condition = match result {
            Ok(object) => WriteCondition::Unchanged(object.revision),
            Err(StoreError::Conflict(Some(current))) => WriteCondition::Unchanged(current.revision),
            Err(StoreError::Missing) => WriteCondition::Absent,
            Err(error) => {
                tracing::warn!(%error, "usage counts were not published");
                condition
            }
        };
        if rounds.is_multiple_of(CENSUS_INTERVAL) {
            count_hosts(&host).await;
        }
        rounds += 1;
        sleep(PUBLISH_INTERVAL).await;
    }
}

fn own_counts(host: &Host) -> PublishedCounts {
    let unix_us = host.wall.borrow().unix_us(clock::now());
    let mut usage = host.usage.borrow_mut();
    let recent = usage.recent(unix_us);
    let windows = recent
        .iter()
        .map(|(window, counts)| (window.0, counts.clone()));
    PublishedCounts {
        unix_us,
        windows: windows.collect(),
    }
}

/// Takes in how many hosts there are and what their clocks say.
async fn count_hosts(host: &Host) {
    let published = match list_counts(host).await {
        Ok(published) => published,
        Err(error) => {
            tracing::warn!(%error, "the hosts can't be counted");
            return;
        }
    };
    let now = clock::now();
    let mut clocks: Vec<i64> = published.iter().map(|(_, counts)| counts.unix_us).collect();
    host.set_known_hosts(clocks.len());
    if host.wall.borrow_mut().agree(now, &mut clocks) {
        tracing::warn!("the time of day was set by the other hosts' clocks");
    }
}

async fn list_counts(host: &Host) -> Result<Vec<(StoreObject, PublishedCounts)>, StoreError> {
    let (objects, _) = host.store.list(COUNT_KIND, ReadKind::Exact).await?;
    let mut published = Vec::new();
    for object in objects {
        match PublishedCounts::deserialize(&object.contents) {
            Ok(counts) => published.push((object, counts)),
            Err(error) => {
                tracing::error!(object = object.name, %error, "usage counts can't be read");
            }
        }
    }
    Ok(published)
}

/// Reports windows while this host holds the lease, for ever.
pub(crate) async fn report(duties: Rc<Duties>) {
    let mut next: Option<UsageWindow> = None;
    loop {
        sleep(REPORT_INTERVAL).await;
        if duties.holder().is_none() {
            next = None;
            continue;
        }
        let window = *next.get_or_insert_with(|| first_window(&duties.host));
        if !is_settled(&duties.host, window) {
            continue;
        }
        match report_window(&duties, window).await {
            Ok(true) => next = Some(UsageWindow(window.0 + 1)),
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
    unix_us >= host.usage.borrow().end_of(window) + SETTLE_US
}

/// Reports a window; `false` if it has to wait.
async fn report_window(duties: &Duties, window: UsageWindow) -> Result<bool, StoreError> {
    let host = &duties.host;
    let name = window.0.to_string();
    let written = host.store.read(REPORT_KIND, &name, ReadKind::Exact).await?;
    let counts = match written {
        Some(object) => parse_report(&object)?,
        None => match sum_window(host, window).await? {
            Some(counts) => write_report(host, &name, counts).await?,
            None => return Ok(false),
        },
    };
    let Some(holder) = duties.holder() else {
        return Ok(false);
    };
    let request = usage_request(duties.address, &holder, window, &counts);
    let peer = PeerKey::Address(duties.address);
    let answer = call(&host.pool, peer, duties.address, request, DUTY_TIMEOUT).await;
    let status = match answer {
        Ok(answer) => answer.status,
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
    // A report that is refused as wrong stays wrong.
    let is_final = status.is_success() || status.is_client_error() && status.as_u16() != 429;
    Ok(is_final)
}

/// Adds all hosts' counts up; `None` while a living host has yet to publish.
async fn sum_window(host: &Host, window: UsageWindow) -> Result<Option<WindowCounts>, StoreError> {
    let published = list_counts(host).await?;
    let unix_us = host.wall.borrow().unix_us(clock::now());
    let end_us = host.usage.borrow().end_of(window);
    let is_behind = |counts: &PublishedCounts| {
        counts.unix_us < end_us && counts.unix_us + DEAD_AFTER_US > unix_us
    };
    let due_us = host.settings.bounds.usage_due.as_micros() as f64;
    let patience_us = (due_us * PATIENCE_SHARE) as i64;
    let must_wait = published.iter().any(|(_, counts)| is_behind(counts));
    if must_wait && unix_us < end_us + patience_us {
        return Ok(None);
    }
    let mut sum = WindowCounts::new();
    for (_, counts) in &published {
        for (workspace, count) in counts.windows.get(&window.0).into_iter().flatten() {
            *sum.entry(workspace.clone()).or_default() += count;
        }
    }
    Ok(Some(sum))
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
