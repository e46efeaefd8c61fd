//! Reports the usage of all hosts while this host holds the lease.
//!
//! The lease holder adds up the counts that the hosts have published and seals the sum:
//! it stores the sum with a write that succeeds only once per window. Only then does it
//! report the sum. A retry, also by a later lease holder, reports the stored sum. After
//! a restore of the store from a copy, every process stores the sums again that it
//! knows; see [`SealedSums`] for the windows of which nobody knows the sum.

use super::usage::list_counts;
use super::{DUTY_TIMEOUT, Duties};
use crate::clock;
use crate::connection::{CallLimits, Endpoint, call};
use crate::state::GatewayState;
use lagoonlift_adapter::duty::usage_request;
use lagoonlift_adapter::store::{ReadConsistency, StoreError, StoreObject, WriteCondition};
use lagoonlift_policy::dispatch::{
    SealedSums, StoreEra, SumSource, SumTimeouts, UsageWindow, WindowCounts, sum_window,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Kind of the objects with the sealed sums.
const SEALED_SUM_KIND: &str = "usage-reports";

/// Kind of the objects that state when an era of the store was first seen, by era.
const ERA_KIND: &str = "store-eras";

/// Polling interval for windows to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the end of a window within which all running hosts publish their
/// counts, in microseconds.
const SETTLE_DELAY_US: i64 = 2_000_000;

/// Share of the time until a report is due after which the sum no longer waits for
/// hosts that haven't published.
const MAX_WAIT_SHARE: f64 = 0.85;

/// Time without a publication after which the sum doesn't wait for a host, in
/// microseconds.
const SILENT_HOST_US: i64 = 14_000_000;

/// Number of sealed sums that stay in the store, so that the latest windows can be
/// inspected.
const KEPT_SUMS: u64 = 120;

/// The sum of a window as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SealedSum {
    counts: WindowCounts,
}

/// The start of an era as it is stored.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct EraRecord {
    /// Unix time in microseconds at which a lease holder learnt of the restore that
    /// began the era, or at which it started if it started in the era.
    seen_unix_us: i64,
}

/// Reports windows until the process ends; idles without the lease.
pub(crate) async fn report(duties: Rc<Duties>) {
    let mut reporter = UsageReporter::new(duties);
    loop {
        sleep(REPORT_INTERVAL).await;
        if let Err(error) = reporter.advance().await {
            tracing::warn!(%error, "failed to report usage");
        }
    }
}

/// What this process has reported, and the sums that it knows.
struct UsageReporter {
    duties: Rc<Duties>,
    reported: Option<UsageWindow>,
    sums: SealedSums,
    /// Restores of the store after which the known sums have been stored again.
    handled_restores: u64,
    /// Era for which the time of the restore is known.
    known_era: Option<StoreEra>,
}

impl UsageReporter {
    fn new(duties: Rc<Duties>) -> Self {
        Self {
            duties,
            reported: None,
            sums: SealedSums::new(),
            handled_restores: 0,
            known_era: None,
        }
    }

    /// Stores known sums again if the store was restored, and reports the next window if
    /// it is due and this host holds the lease.
    async fn advance(&mut self) -> Result<(), StoreError> {
        self.store_sums_again().await?;
        if self.duties.holder().is_none() {
            return Ok(());
        }
        self.learn_restore_time().await?;
        // Another lease holder may have reported this window in the meantime.
        // Reporting it again is harmless.
        let following = self.reported.map(|window| UsageWindow(window.0 + 1));
        let first = first_window(&self.duties.state);
        let window = following.map_or(first, |window| window.max(first));
        if is_settled(&self.duties.state, window) && self.report_window(window).await? {
            self.reported = Some(window);
        }
        Ok(())
    }

    /// After a restore, stores the sums again that may have been lost. The other
    /// processes do the same; a new lease holder reports nothing before its lease
    /// starts, which gives them the time.
    async fn store_sums_again(&mut self) -> Result<(), StoreError> {
        let state = &self.duties.state;
        let restores = state.store.era().restores();
        if restores == self.handled_restores {
            return Ok(());
        }
        for (window, counts) in self.sums.since(first_window(state)) {
            let sealed = seal_sum(state, window, counts.clone()).await?;
            let is_same = sealed == counts;
            tracing::info!(window = window.0, is_same, "usage sum stored again");
        }
        self.handled_restores = restores;
        Ok(())
    }

    /// Determines when the store was restored to its current era, once per era.
    async fn learn_restore_time(&mut self) -> Result<(), StoreError> {
        let state = &self.duties.state;
        let era = state.store.era().latest();
        let Some(era) = era.filter(|_| era != self.known_era) else {
            return Ok(());
        };
        let record = era_record(state, era).await?;
        self.sums.set_restore_time(Some(record.seen_unix_us));
        self.known_era = Some(era);
        Ok(())
    }

    /// Reports a window. Returns `false` if the report must be attempted again later.
    async fn report_window(&mut self, window: UsageWindow) -> Result<bool, StoreError> {
        let Some(counts) = self.stored_sum(window).await? else {
            return Ok(self.is_lost(window));
        };
        self.sums.record(window, &counts);
        let state = &self.duties.state;
        let Some(holder) = self.duties.holder() else {
            return Ok(false);
        };
        let address = self.duties.address;
        let request = usage_request(address, &holder, window, &counts);
        let endpoint = Endpoint::Address(address);
        let limits = CallLimits::control(DUTY_TIMEOUT);
        let response = call(&state.pool, endpoint, address, request, limits).await;
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

    /// Returns the stored sum of a window, which is stored first if it isn't there.
    /// Returns `None` if it may have been lost, or while the counts of a host are
    /// outstanding.
    async fn stored_sum(&self, window: UsageWindow) -> Result<Option<WindowCounts>, StoreError> {
        let state = &self.duties.state;
        let stored = state
            .store
            .read(
                SEALED_SUM_KIND,
                &window.0.to_string(),
                ReadConsistency::Linearizable,
            )
            .await?;
        if let Some(object) = stored {
            return Ok(Some(parse_contents::<SealedSum>(&object)?.counts));
        }
        let counts = match self.source_of(window) {
            SumSource::Known(counts) => Some(counts),
            SumSource::HostCounts => sum_counts(state, window).await?,
            SumSource::Lost => None,
        };
        match counts {
            Some(counts) => seal_sum(state, window, counts).await.map(Some),
            None => Ok(None),
        }
    }

    fn source_of(&self, window: UsageWindow) -> SumSource {
        let end_us = self.duties.state.usage.borrow().end_of(window);
        self.sums.source_of(window, end_us)
    }

    /// Returns whether the sum of a window that isn't stored may have been reported and
    /// lost, and logs it.
    fn is_lost(&self, window: UsageWindow) -> bool {
        let is_lost = self.source_of(window) == SumSource::Lost;
        if is_lost {
            tracing::warn!(
                window = window.0,
                "usage not reported: a report may have been lost with a restore of the store"
            );
        }
        is_lost
    }
}

/// Returns the stored record of an era. The first lease holder in the era writes it. If
/// that holder started in the era, windows that ended before its start aren't summed: it
/// can't know whether a restore preceded it, and in a new deployment nothing was served
/// before.
async fn era_record(state: &GatewayState, era: StoreEra) -> Result<EraRecord, StoreError> {
    let seen_at = state.store.era().restored_at().unwrap_or(state.started_at);
    let record = EraRecord {
        seen_unix_us: state.wall_clock.borrow().unix_us(seen_at),
    };
    let name = era.0.to_string();
    let written = state
        .store
        .write(ERA_KIND, &name, &record, WriteCondition::Absent)
        .await;
    match written {
        Ok(_) => Ok(record),
        Err(StoreError::Conflict(Some(current))) => parse_contents(&current),
        Err(error) => Err(error),
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
    window: UsageWindow,
    counts: WindowCounts,
) -> Result<WindowCounts, StoreError> {
    let sum = SealedSum { counts };
    let name = window.0.to_string();
    let written = state
        .store
        .write(SEALED_SUM_KIND, &name, &sum, WriteCondition::Absent)
        .await;
    match written {
        Ok(_) => Ok(sum.counts),
        Err(StoreError::Conflict(Some(current))) => {
            Ok(parse_contents::<SealedSum>(&current)?.counts)
        }
        Err(error) => Err(error),
    }
}

fn parse_contents<T: for<'de> Deserialize<'de>>(object: &StoreObject) -> Result<T, StoreError> {
    T::deserialize(&object.contents).map_err(|error| StoreError::Malformed(error.to_string()))
}
