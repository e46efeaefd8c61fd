//! The software version that a stream requires.

use super::RequestRun;
use crate::clock;
use crate::resumption::LOOKUP_TIME;
use crate::state::GatewayState;
use crate::watcher::confirm_entries;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    RequiredVersion, StreamKey, StreamLifetime, StreamNotice, VersionDigest,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Number of times that an entry is read to confirm the version that has begun a stream. The
/// stream itself may break meanwhile, which makes it doubtful again.
const CONFIRMATIONS: usize = 3;

/// Time after which the entry is read for a stream that nobody has taken up, and interval at
/// which it is looked whether the list has been shown.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(6);
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the first stream of a lifetime waits until the record covers it.
const COVERAGE_TIME: Duration = Duration::from_millis(500);

/// Polling interval of a new stream that waits for the record of its version.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl RequestRun {
    /// Waits until the record has a version of the service, if the request begins a stream that
    /// callers may resume.
    pub(crate) async fn prepare_stream(&self) {
        let is_resumable = self.admitted.route.retry_safety.is_resumable();
        if is_resumable && self.required_version == RequiredVersion::Any {
            self.wait_for_record().await;
        }
    }

    /// Waits for a bounded time while no upstream of the service has a version that is in the
    /// record.
    async fn wait_for_record(&self) {
        let service = &self.admitted.service;
        let is_waiting = || {
            let now = clock::now();
            let until = self.state.served_versions.borrow().waits_until(service);
            let has_time = until.is_some_and(|until| now < until.min(self.admitted.deadline));
            has_time && self.state.table.borrow().is_awaiting_record(service, now)
        };
        while is_waiting() {
            sleep(RECORD_POLL_INTERVAL).await;
        }
    }

    /// Waits until it is known of an upstream whether it has the required version, if none
    /// certainly has it.
    pub(super) async fn confirm_required_version(&self) {
        let RequiredVersion::Only(version) = self.required_version else {
            return;
        };
        let service = &self.admitted.service;
        let doubtful = {
            let table = self.state.table.borrow();
            match table.has_version(service, version) {
                true => Vec::new(),
                false => table.doubtful_of(service, version),
            }
        };
        if !doubtful.is_empty() {
            confirm_entries(&self.state, &doubtful, LOOKUP_TIME).await;
        }
    }

    /// Records that an upstream of `version` has sent an event of the stream, before the
    /// caller gets it. Only this version may go on with the stream.
    pub(crate) async fn record_event(&mut self, version: Option<VersionDigest>) {
        if self.has_recorded_version {
            return;
        }
        self.has_recorded_version = true;
        // Hosts that know nothing of the stream could take another version for its own.
        let version = version.or(Some(VersionDigest::DOUBTFUL));
        if version == Some(VersionDigest::DOUBTFUL) {
            self.confirm_later();
        }
        if self.required_version == RequiredVersion::Any {
            self.required_version = RequiredVersion::of_stream(version);
        }
        let is_resumable = self.admitted.route.retry_safety.is_resumable();
        let RequiredVersion::Only(version) = self.required_version else {
            return;
        };
        if is_resumable {
            let notice = self.notice_of(version);
            self.state
                .stream_versions
                .borrow_mut()
                .record_begin(clock::now(), notice);
            let is_covered = archive(&self.state, &self.admitted.service, notice);
            self.state.stream_news.notify_one();
            // The copies are sent before the caller gets the event.
            tokio::task::yield_now().await;
            if !is_covered {
                self.wait_until_covered(notice).await;
            }
        }
    }

    /// Waits for a bounded time until the record covers the lifetime of the first stream of a
    /// service that lives as long. If all hosts end before, others could take the stream for
    /// one that nobody can resume any more.
    async fn wait_until_covered(&self, notice: StreamNotice) {
        let until = clock::now() + COVERAGE_TIME;
        let service = &self.admitted.service;
        let is_covered = || {
            let served = self.state.served_versions.borrow();
            served.is_covered(service, notice.version, notice.lifetime)
        };
        while self.state.store_gate.is_open() && clock::now() < until && !is_covered() {
            sleep(RECORD_POLL_INTERVAL).await;
        }
    }

    /// Records the version of the stream once it is certain which one has begun it: the list
    /// has been shown since, or the entry is read because the stream is taken up.
    fn confirm_later(&self) {
        let begun_at = self.sent_to.as_ref().and_then(|(upstream, record)| {
            let version = record.version_digest()?;
            Some((*upstream, version))
        });
        let Some((upstream, version)) = begun_at else {
            return;
        };
        let notice = self.notice_of(version);
        let stream = notice.stream;
        let state = Rc::clone(&self.state);
        let admitted = Rc::clone(&self.admitted);
        tokio::task::spawn_local(async move {
            let until = clock::now() + CONFIRMATION_DELAY;
            while clock::now() < until
                && !is_proven(&state, upstream, version)
                && !state.stream_versions.borrow().is_asked(stream)
            {
                // The timeout is the polling interval for the list.
                let asked = timeout(CONFIRMATION_POLL_INTERVAL, state.doubt_asked.notified());
                asked.await.unwrap_or_default();
            }
            if is_confirmed(&state, upstream, version).await {
                let mut versions = state.stream_versions.borrow_mut();
                versions.record_begin(clock::now(), notice);
                drop(versions);
                archive(&state, &admitted.service, notice);
                state.stream_news.notify_one();
            }
        });
    }

    /// Returns what other hosts have to know of this request's stream, which `version` begins.
    fn notice_of(&self, version: VersionDigest) -> StreamNotice {
        let until = self.admitted.caller_deadline;
        StreamNotice {
            stream: self.stream_key(),
            version,
            lifetime: until.map_or(StreamLifetime::LONGEST, |until| {
                StreamLifetime::covering(clock::time_until(until))
            }),
        }
    }

    /// Returns the key of the stream that this request begins.
    fn stream_key(&self) -> StreamKey {
        let outgoing = &self.admitted.outgoing;
        StreamKey::new(outgoing.workspace.as_deref(), &outgoing.request.id)
    }
}

/// Returns whether the incarnation that has begun a stream certainly had `version`: the list
/// still shows it after all breaks of contact.
async fn is_confirmed(
    state: &Rc<GatewayState>,
    upstream: UpstreamKey,
    version: VersionDigest,
) -> bool {
    for _ in 0..CONFIRMATIONS {
        if is_proven(state, upstream, version) {
            return true;
        }
        confirm_entries(state, &[upstream], LOOKUP_TIME).await;
    }
    is_proven(state, upstream, version)
}

/// Returns whether the list has shown the upstream with `version` after all breaks of contact.
fn is_proven(state: &GatewayState, upstream: UpstreamKey, version: VersionDigest) -> bool {
    let table = state.table.borrow();
    let proven = table.get(upstream).map(|one| one.proven_version());
    proven == Some(Some(version))
}

/// Lets the version of a stream outlive all hosts if nothing else shows it then. Returns `false`
/// if hosts that don't know the stream could take it for one that nobody can resume.
fn archive(state: &GatewayState, service: &str, notice: StreamNotice) -> bool {
    let mut served = state.served_versions.borrow_mut();
    let is_covered = served.record_stream(service, notice.version, notice.lifetime);
    let mut archive = state.stream_archive.borrow_mut();
    let is_doubtful = notice.version == VersionDigest::DOUBTFUL;
    if !is_doubtful && (archive.is_divided(service) || !is_covered) {
        archive.add(notice);
    }
    is_covered || is_doubtful
}
