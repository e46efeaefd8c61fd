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

mod config;
mod odd_entries;
mod upstreams;

pub(crate) use config::{follow_config, read_config, renew_confirmation};
pub(crate) use odd_entries::OddEntries;
pub(crate) use upstreams::{confirm_entries, follow_upstreams, list_upstreams};

use crate::clock;
use crate::state::GatewayState;
use lagoonlift_adapter::store::{ChangePage, ReadConsistency, StoreError};
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::MIN_HOSTS_FOR_SHARED_READS;
use rand::RngExt;
use std::time::Duration;
use tokio::time::sleep;

/// A watch that returns no changes in less than this time did not wait.
const MIN_WATCH_TIME: Duration = Duration::from_millis(40);

/// Longest delay before a failed call is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay in a large deployment before a host that isn't a store reader lists
/// again after a restore of the store.
const MAX_RELIST_DELAY: Duration = Duration::from_millis(1_500);

/// Returns the read consistency of this host's watches: linearizable on a store
/// reader, stale on other hosts.
fn watch_consistency(state: &GatewayState) -> ReadConsistency {
    match state.is_store_reader() {
        true => ReadConsistency::Linearizable,
        false => ReadConsistency::Stale,
    }
}

/// Sleeps after a watch that returned no changes without waiting, so that a store
/// that responds at once isn't polled in a busy loop.
async fn pause_if_immediate(started: Timestamp, page: &ChangePage) {
    if page.changes.is_empty() && clock::now().since(started) < MIN_WATCH_TIME {
        sleep(MAX_RETRY_DELAY).await;
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
