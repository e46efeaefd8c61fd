//! Detects crashes of upstreams, and tells the quarantine which requests were on them.
//!
//! A request whose connection ends early may be the only one: upstreams also reset single
//! connections. An upstream has crashed if it refuses new connections right afterwards, so
//! one connection attempt decides for all requests that ended at about the same time.
//!
//! The request must not be retried, nor its failure be returned to the caller, who retries
//! it as well, before the crash is known here and at the peers: it may be the cause, and
//! would crash the next upstream. Both therefore wait for the end of the check.

use crate::clock;
use crate::connection::refuses_connections;
use crate::host_paths;
use crate::state::GatewayState;
use crate::upstream_health::record_path;
use lagoonlift_policy::dispatch::{
    BreakFacts, CrashId, OpenBreak, PathSign, ServiceVersion, SuspectKey, SuspectKind,
    UpstreamRecord,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Delays before the first and the second connection attempt. A process that ends closes
/// its other sockets in the meantime.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(13)];

/// Time for the notices of a crash to reach the peers, and theirs to arrive.
const NOTICE_DELAY: Duration = Duration::from_millis(10);

/// Time in which the other checks that began at the same time find out what they look for.
const SETTLE_TIME: Duration = Duration::from_millis(3);

/// Longest time for which a retry waits for the check.
const MAX_CHECK_TIME: Duration = Duration::from_millis(60);

/// Largest number of requests that one log line names.
const MAX_LOGGED_REQUESTS: usize = 8;

/// Open checks by upstream.
#[derive(Debug, Default)]
pub(crate) struct CrashMonitor {
    checks: HashMap<UpstreamKey, OpenCheck>,
}

/// The check of one upstream.
#[derive(Debug)]
struct OpenCheck {
    /// The suspects of each request that ended early on the upstream.
    requests: Vec<Vec<SuspectKey>>,
    has_ended: watch::Sender<bool>,
}

/// A check that a request waits for.
#[derive(Debug)]
pub(crate) struct CrashCheck(watch::Receiver<bool>);

impl CrashCheck {
    /// Waits until the check has ended.
    pub(crate) async fn ended(mut self) {
        let ended = self.0.wait_for(|has_ended| *has_ended);
        if timeout(MAX_CHECK_TIME, ended).await.is_err() {
            tracing::debug!("the check for a crash takes long, the request goes on");
        }
    }
}

/// Records that the connection of a request with `suspects` ended early, when its upstream
/// with the entry `record` had begun the response or was about to.
pub(crate) fn record_interruption(
    state: &Rc<GatewayState>,
    upstream: UpstreamKey,
    record: &UpstreamRecord,
    suspects: &[SuspectKey],
) -> CrashCheck {
    let mut monitor = state.crash_monitor.borrow_mut();
    let check = monitor.checks.entry(upstream).or_insert_with(|| {
        spawn_local(check(Rc::clone(state), upstream, record.clone()));
        OpenCheck {
            requests: Vec::new(),
            has_ended: watch::Sender::new(false),
        }
    });
    check.requests.push(suspects.to_vec());
    CrashCheck(check.has_ended.subscribe())
}

/// Checks whether an upstream has crashed, and records the crash if so. If this host may be cut
/// off, the crash is kept open until it is known to be one.
async fn check(state: Rc<GatewayState>, upstream: UpstreamKey, record: UpstreamRecord) {
    let broke_at = clock::now();
    let is_gone = has_crashed(record.address).await;
    let mut may_be_cut_off = false;
    if is_gone {
        record_path(&state, upstream, PathSign::Failed);
        sleep(SETTLE_TIME).await;
        // Upstreams that are gone at the same time may have a common cause.
        may_be_cut_off = host_paths::have_common_cause(&state, &record.service);
    }
    let has_crashed = is_gone && !may_be_cut_off;
    let check = state.crash_monitor.borrow_mut().checks.remove(&upstream);
    let Some(check) = check else {
        return;
    };
    tracing::info!(
        upstream = record.id.0,
        requests = check.requests.len(),
        contents = content_ids(&check.requests),
        has_crashed,
        may_be_cut_off,
        "requests ended early on an upstream"
    );
    let (crash, origin) = (CrashId::new(&record), ServiceVersion::of(&record));
    if may_be_cut_off {
        let one = OpenBreak::new(broke_at, upstream, &record, check.requests);
        if let Some(dropped) = state.open_breaks.borrow_mut().open(one) {
            tracing::warn!(
                service = dropped.service,
                "too many open breaks: one dropped"
            );
        }
        host_paths::probe(&state, &record.service);
    } else if has_crashed {
        record_crash(&state, broke_at, crash, origin, &check.requests);
        state.crash_news.notify_one();
        sleep(NOTICE_DELAY).await;
    }
    check.has_ended.send_replace(true);
}

/// Records the crashes among the open breaks of which it is known by now what they were.
fn decide_breaks(state: &GatewayState) {
    if state.open_breaks.borrow().is_empty() {
        return;
    }
    let decided = {
        let table = state.table.borrow();
        let quarantine = state.crash_quarantine.borrow();
        let facts = |one: &OpenBreak| BreakFacts {
            is_listed: table.get(one.upstream).is_some(),
            is_known_crash: quarantine.knows_crash(one.crash),
        };
        let paths = state.host_paths.borrow();
        let mut breaks = state.open_breaks.borrow_mut();
        breaks.decide(clock::now(), &paths, facts)
    };
    for (one, verdict) in decided {
        tracing::info!(
            service = one.service,
            requests = one.requests.len(),
            contents = content_ids(&one.requests),
            verdict = verdict.name(),
            has_crashed = verdict.is_crash(),
            age_ms = clock::now().since(one.at).as_millis() as u64,
            "decided what a break of contact to an upstream was"
        );
        if verdict.is_crash() {
            record_crash(state, one.at, one.crash, one.origin, &one.requests);
            state.crash_news.notify_one();
        }
    }
}

/// Returns whether nothing accepts connections at `address` any more.
async fn has_crashed(address: SocketAddr) -> bool {
    for delay in PROBE_DELAYS {
        sleep(delay).await;
        if refuses_connections(address).await {
            return true;
        }
    }
    false
}

fn record_crash(
    state: &GatewayState,
    at: Timestamp,
    crash: CrashId,
    origin: ServiceVersion,
    requests: &[Vec<SuspectKey>],
) {
    let now = clock::now();
    let mut quarantine = state.crash_quarantine.borrow_mut();
    for suspects in requests {
        quarantine.record_past_crash(now, at, crash, origin, suspects);
    }
}

/// Returns the identifiers of the requests' contents, for the log.
fn content_ids(requests: &[Vec<SuspectKey>]) -> String {
    let keys = requests.iter().flatten();
    let ids = keys.filter(|key| key.kind == SuspectKind::Request);
    let ids: Vec<String> = ids
        .take(MAX_LOGGED_REQUESTS)
        .map(|key| format!("{:x}", key.id))
        .collect();
    ids.join(",")
}

/// Quarantines the suspects that must have caused the known crashes, and logs them.
pub(crate) fn decide(state: &GatewayState) {
    decide_breaks(state);
    let now = clock::now();
    let mut quarantine = state.crash_quarantine.borrow_mut();
    for found in quarantine.decide(now) {
        tracing::warn!(
            kind = found.key.kind.name(),
            content = %format_args!("{:x}", found.key.id),
            crashed_services = ?found.scope.crashed_services(),
            sound_services = ?found.scope.sound_services(),
            crashes = found.crashes,
            episodes = found.episodes,
            source = found.source.name(),
            age_ms = found.age.as_millis() as u64,
            "in quarantine: its requests crash upstreams"
        );
    }
}
