//! Polls engines for their load and detects connections that stopped
//! responding.
//!
//! Two bounds apply: each engine is polled at most once per
//! [`poll_interval`](crate::tuning::EntryTuning::poll_interval), and the process
//! polls at most [`MAX_POLLS_PER_SECOND`] times per second, so with many
//! upstreams each engine is polled less often. Plain services count as upstreams
//! and take a turn in which nothing is sent.

use crate::admission::{AdmissionActor, ListUpstreams};
use crate::context::EntryContext;
use crate::slot::notify;
use crate::upstream_handle::{UpstreamClient, UpstreamHandle};
use lagoonlift_policy::{EntryEvent, LoadReport, Timestamp, UpstreamKey};
use lagoonlift_upstreams::{ConnectionUse, EngineClient, EngineLoad, SendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xtra::Address;

/// Maximum number of polls per second of one process, including the turns of
/// plain services. A poll that is repeated after a timeout isn't counted.
const MAX_POLLS_PER_SECOND: u32 = 40;

/// Polls all engines in turn, until the task is aborted.
pub(crate) async fn poll_engines(context: Arc<EntryContext>, start: Instant) {
    loop {
        let upstream_handles = context
            .admission
            .send(ListUpstreams)
            .await
            .unwrap_or_default();
        let upstream_count = u32::try_from(upstream_handles.len().max(1)).unwrap_or(u32::MAX);
        let poll_interval = context.tuning.poll_interval;
        let spacing =
            (poll_interval / upstream_count).max(Duration::from_secs(1) / MAX_POLLS_PER_SECOND);
        if upstream_handles.is_empty() {
            sleep(spacing).await;
        }
        for (key, upstream_handle) in upstream_handles {
            let context = Arc::clone(&context);
            tokio::spawn(poll_engine(context, start, key, upstream_handle));
            sleep(spacing).await;
        }
    }
}

async fn poll_engine(
    context: Arc<EntryContext>,
    start: Instant,
    key: UpstreamKey,
    upstream_handle: Arc<UpstreamHandle>,
) {
    let UpstreamClient::Engine(client) = &upstream_handle.client else {
        return;
    };
    let Some(load) = fetch_load(&context, client).await else {
        return;
    };
    let measured_after_start = start
        .elapsed()
        .saturating_sub(Duration::from_millis(load.age_ms));
    report_load(&context.admission, key, measured_after_start, &load);
}

/// Polls over a pooled connection. If that times out, drops all idle connections
/// and polls once more over a fresh connection.
async fn fetch_load(context: &EntryContext, client: &EngineClient) -> Option<EngineLoad> {
    let poll_timeout = context.tuning.poll_timeout;
    match client.load(ConnectionUse::Pooled, poll_timeout).await {
        Ok(load) => Some(load),
        Err(SendError::Timeout(_)) => {
            client.connections().evict_idle();
            context.instruments.count_eviction();
            client.load(ConnectionUse::Fresh, poll_timeout).await.ok()
        }
        Err(_) => None,
    }
}

fn report_load(
    admission: &Address<AdmissionActor>,
    upstream: UpstreamKey,
    measured_after_start: Duration,
    load: &EngineLoad,
) {
    let event = EntryEvent::LoadReported {
        upstream,
        measured_at: Timestamp(measured_after_start.as_micros() as u64),
        report: LoadReport {
            prefill_backlog_tokens: load.prefill_backlog_tokens,
            active_streams: load.active_streams,
            kv_used: load.kv_used,
        },
    };
    notify(admission, event);
}
