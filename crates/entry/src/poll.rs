//! Asks engines for their load, and finds connections that went silent.
//!
//! The number of polls a second is bounded, not the interval: with more
//! engines, each is asked less often.

use crate::admission::{AdmissionActor, ListLinks};
use crate::context::EntryContext;
use crate::link::{UpstreamClient, UpstreamLink};
use crate::slot::notify;
use lagoonlift_policy::{EntryEvent, LoadReport, Timestamp, UpstreamKey};
use lagoonlift_upstreams::{ConnectionUse, EngineClient, EngineLoad, SendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xtra::Address;

/// Most polls of one process in a second.
const POLLS_PER_SECOND: u32 = 40;

/// Polls all engines in turn until the process ends.
pub(crate) async fn poll_engines(context: Arc<EntryContext>, start: Instant) {
    loop {
        let links = context.admission.send(ListLinks).await.unwrap_or_default();
        let engines = u32::try_from(links.len().max(1)).unwrap_or(u32::MAX);
        let round = context.tuning.poll_interval;
        let pause = (round / engines).max(Duration::from_secs(1) / POLLS_PER_SECOND);
        if links.is_empty() {
            sleep(pause).await;
        }
        for (key, link) in links {
            let context = Arc::clone(&context);
            tokio::spawn(poll_engine(context, start, key, link));
            sleep(pause).await;
        }
    }
}

async fn poll_engine(
    context: Arc<EntryContext>,
    start: Instant,
    key: UpstreamKey,
    link: Arc<UpstreamLink>,
) {
    let UpstreamClient::Engine(client) = &link.client else {
        return;
    };
    let Some(load) = ask(&context, client).await else {
        return;
    };
    let measured = start
        .elapsed()
        .saturating_sub(Duration::from_millis(load.age_ms));
    report(&context.admission, key, measured, &load);
}

/// Asks on a pooled connection; when that is silent, the whole pool is dropped.
async fn ask(context: &EntryContext, client: &EngineClient) -> Option<EngineLoad> {
    let limit = context.tuning.poll_limit;
    match client.load(ConnectionUse::Pooled, limit).await {
        Ok(load) => Some(load),
        Err(SendError::Silent(_)) => {
            client.connections().evict();
            context.instruments.count_eviction();
            client.load(ConnectionUse::Fresh, limit).await.ok()
        }
        Err(_) => None,
    }
}

fn report(
    admission: &Address<AdmissionActor>,
    upstream: UpstreamKey,
    measured: Duration,
    load: &EngineLoad,
) {
    let event = EntryEvent::LoadReported {
        upstream,
        measured_at: Timestamp(measured.as_micros() as u64),
        report: LoadReport {
            prefill_backlog_tokens: load.prefill_backlog_tokens,
            active_streams: load.active_streams,
            kv_used: load.kv_used,
        },
    };
    notify(admission, event);
}
