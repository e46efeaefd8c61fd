//! Finds what a stream goes on with that a caller takes up: the service and the software
//! version that have begun it.
//!
//! Both belong to the stream. A route may be split among services, or lead to another one
//! since, so the service isn't drawn again. It is known from the digest of service and version
//! that hosts tell each other of the stream; where nobody knows the stream, one service and
//! one version alone must be able to have begun it.

use crate::clock;
use crate::reply::Refusal;
use crate::state::GatewayState;
use crate::version_store;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    RefusalCause, RequiredVersion, Route, ServedVersions, StreamKey, VersionDigest, retry_after,
};
use rand::RngExt;
use std::time::Duration;
use tokio::time::timeout;

/// Time for which other hosts are asked for the version of a stream.
pub(crate) const LOOKUP_TIME: Duration = Duration::from_millis(150);

/// Interval between two questions about it.
const QUESTION_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which the records of the versions that have served, and the list, are read again.
const RECORD_READ_TIME: Duration = Duration::from_millis(300);

/// What a request has to go on with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamOrigin {
    /// Name of the service.
    pub(crate) service: String,
    /// Software version of its upstreams.
    pub(crate) version: RequiredVersion,
}

impl StreamOrigin {
    /// Returns the origin of a request that goes on with nothing and was given to `service`.
    pub(crate) fn undecided(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            version: RequiredVersion::Any,
        }
    }
}

/// A stream that a caller takes up.
pub(crate) struct ResumedStream<'a> {
    request: &'a CallerRequest,
    route: &'a Route,
    /// Key of the attempt that brought the first event, if the caller names it.
    key: Option<StreamKey>,
}

impl<'a> ResumedStream<'a> {
    /// Returns the stream that a request takes up; `None` if it takes up none. The route may
    /// have been resumable when the stream began.
    pub(crate) fn of_request(
        request: &'a CallerRequest,
        route: &'a Route,
        workspace: Option<&str>,
    ) -> Option<Self> {
        let attempt = request.resumed_attempt.as_deref();
        let is_resumption = attempt.is_some() || request.last_event_id.is_some();
        let is_resumed = route.retry_safety.is_stream() && is_resumption;
        is_resumed.then(|| Self {
            request,
            route,
            key: attempt.map(|attempt| StreamKey::new(workspace, attempt)),
        })
    }

    /// Returns the service and the version that have begun the stream. The error is the
    /// response if they can't be known, or may not go on with it: a stream that goes on
    /// elsewhere is worse than one that goes on later.
    pub(crate) async fn find_origin(
        &self,
        state: &GatewayState,
        deadline: Timestamp,
    ) -> Result<StreamOrigin, Refusal> {
        let told = match self.key {
            Some(key) => look_up(state, key).await,
            None => None,
        };
        let origin = match told {
            Some(version) => {
                let service = self.service_of(state, version);
                service.ok_or("no upstream of the stream's version is there")
            }
            None => {
                let proven = self.proven_origin(state).await;
                proven.ok_or("the version that began the stream is not known")
            }
        };
        let usable = origin.and_then(|origin| match self.route.may_use(&origin.service) {
            true => Ok(origin),
            false => Err("the service that began the stream is not on the route any more"),
        });
        usable.map_err(|reason| {
            let time_left = clock::time_until(deadline);
            let wait = retry_after(RefusalCause::NoUpstream, time_left, rand::rng().random());
            Refusal::new(reason, wait)
        })
    }

    /// Returns the service that has the version, or has had it.
    fn service_of(&self, state: &GatewayState, version: VersionDigest) -> Option<StreamOrigin> {
        let table = state.table.borrow();
        let served = state.served_versions.borrow();
        let listed = table.service_of(version);
        let service = listed.or_else(|| served.service_of(version));
        tracing::info!(
            request = self.request.id,
            service,
            "service of a resumed stream"
        );
        service.map(|service| StreamOrigin {
            service: service.to_owned(),
            version: RequiredVersion::Only(version),
        })
    }

    /// Returns the service and the version that alone can have begun a stream that a caller may
    /// still resume by this route. Unless several may have anyway, the records of the versions
    /// that have served and the list are read: another one may have joined while this host was
    /// out of step.
    async fn proven_origin(&self, state: &GatewayState) -> Option<StreamOrigin> {
        let may_be_proven = {
            let served = state.served_versions.borrow();
            let sole = self.sole_service(&served);
            let table = state.table.borrow();
            sole.is_some_and(|service| {
                served.may_have_sole_version(clock::now(), service)
                    && table.sole_version(service).is_some()
            })
        };
        if may_be_proven {
            version_store::refresh(state, RECORD_READ_TIME).await;
        }
        let served = state.served_versions.borrow();
        let sole = self.sole_service(&served);
        let listed = sole.and_then(|service| state.table.borrow().sole_version(service));
        let proven = sole
            .zip(listed)
            .and_then(|(service, listed)| served.sole_version(clock::now(), service, listed));
        let service = sole.unwrap_or_default();
        state
            .metrics
            .count_unknown_stream(service, proven.is_some());
        tracing::info!(
            request = self.request.id,
            route = self.route.name,
            sole_service = sole,
            has_sole_listed = listed.is_some(),
            is_proven = proven.is_some(),
            is_current = served.is_current(clock::now()),
            versions = %served.summary(clock::now(), service),
            "version of a resumed stream that no host knows"
        );
        let version = RequiredVersion::Only(proven?);
        Some(StreamOrigin {
            service: service.to_owned(),
            version,
        })
    }

    fn sole_service<'s>(&self, served: &'s ServedVersions) -> Option<&'s str> {
        let (host_name, path) = (&self.request.host, self.request.uri.path());
        served.sole_service(clock::now(), self.route, host_name, path)
    }
}

/// Returns the version at which a stream began, from this host or another one.
async fn look_up(state: &GatewayState, stream: StreamKey) -> Option<VersionDigest> {
    let end = clock::now() + LOOKUP_TIME;
    for round in 0.. {
        let known = state.stream_versions.borrow().find(clock::now(), stream);
        if is_certain(state, stream) || clock::now() >= end {
            return known;
        }
        if state.stream_versions.borrow_mut().record_question(stream) {
            state.doubt_asked.notify_waiters();
        }
        state.stream_versions.borrow_mut().ask(stream, round);
        state.stream_news.notify_one();
        let next_question = clock::now() + QUESTION_INTERVAL;
        while clock::now() < next_question {
            let heard = state.streams_heard.notified();
            if timeout(clock::time_until(next_question), heard)
                .await
                .is_err()
                || is_certain(state, stream)
            {
                break;
            }
        }
    }
    None
}

/// Returns whether the version of a stream is known here and isn't doubtful.
fn is_certain(state: &GatewayState, stream: StreamKey) -> bool {
    let versions = state.stream_versions.borrow();
    let known = versions.find(clock::now(), stream);
    known.is_some_and(|version| version != VersionDigest::DOUBTFUL)
}
