//! Sends requests by way of another host, if this one can't reach upstreams that others reach.
//!
//! The other host handles the request as one of its own callers': with its route, key, limits
//! and placement. It passes it to no third host. What it answers is classified like the
//! response of an upstream: a refusal proves that the request has not run, and a lost answer
//! proves nothing.

use crate::announcements::record_announcements;
use crate::clock;
use crate::connection::{CallError, Endpoint};
use crate::exchange::Exchange;
use crate::run::RequestRun;
use crate::send::UpstreamResponse;
use crate::state::GatewayState;
use bytes::Bytes;
use http::header::{InvalidHeaderValue, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use lagoonlift_adapter::upstream::ResponseHead;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{SoftwareVersion, UpstreamRecord, VersionDigest};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Header of a request that another host has sent here, with [`HopTerms`].
const TERMS: HeaderName = HeaderName::from_static("lagoonlift-terms");

/// Header of such a request: the time for which the caller still waits, in milliseconds, which
/// may be longer than the first host does.
const CALLER_WAIT: HeaderName = HeaderName::from_static("lagoonlift-caller-wait-ms");

/// Header of the response to it: the identifier of the upstream.
const UPSTREAM: HeaderName = HeaderName::from_static("lagoonlift-upstream");

/// Header of the response to it: the software version of the upstream.
const VERSION: HeaderName = HeaderName::from_static("lagoonlift-version");

/// Header of a refusal of the host: it has sent the request nowhere, and another one may.
const DECLINED: HeaderName = HeaderName::from_static("lagoonlift-declined");

/// Time to open a connection to another host.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// Part of the caller's remaining time that this host keeps for its own answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// What another host has to keep to when it handles a request of this one's caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopTerms {
    /// Version of the configuration by which the request was admitted.
    pub(crate) config: u64,
    /// Name of the service.
    pub(crate) service: String,
    /// Number of upstreams that may run the request.
    pub(crate) runs: u32,
    /// Whether the first send is a retry.
    pub(crate) is_retry: bool,
    /// Time for which the caller still waits; `None` if it isn't known.
    pub(crate) caller_wait: Option<Duration>,
}

impl HopTerms {
    /// Adds the terms to the head of a request for another host.
    fn add_to(&self, headers: &mut HeaderMap) -> Result<(), InvalidHeaderValue> {
        let Self {
            config,
            service,
            runs,
            is_retry,
            caller_wait,
        } = self;
        let retry = u8::from(*is_retry);
        let text = format!("{config} {runs} {retry} {service}");
        headers.insert(TERMS, HeaderValue::from_bytes(text.as_bytes())?);
        if let Some(wait) = caller_wait {
            headers.insert(CALLER_WAIT, HeaderValue::from(wait.as_millis() as u64));
        }
        Ok(())
    }

    /// Removes the terms from the head of a request that came from another host.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(TERMS)?;
        let wait_ms = take_text(headers, &CALLER_WAIT).and_then(|text| text.parse().ok());
        let mut fields = std::str::from_utf8(value.as_bytes()).ok()?.splitn(4, ' ');
        Some(Self {
            config: fields.next()?.parse().ok()?,
            runs: fields.next()?.parse().ok()?,
            is_retry: fields.next()? == "1",
            service: fields.next()?.to_owned(),
            caller_wait: wait_ms.map(Duration::from_millis),
        })
    }
}

/// Outcome of a send by way of another host.
pub(crate) enum HopOutcome {
    /// An upstream's response came back; its body is still to be read.
    Responded(Box<UpstreamResponse>),
    /// The host states that the request has not run. The time is its `Retry-After`.
    NotRun(Option<Duration>),
    /// Nothing was sent to an upstream: the host couldn't be reached, or declined.
    NotSent(String),
    /// The request may have run.
    Lost(String),
    /// No response came in time.
    TimedOut,
}

impl HopOutcome {
    fn name(&self) -> &'static str {
        match self {
            Self::Responded(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::NotSent(_) => "not-sent",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Sends a request to the host at `host` and waits for the head of the response until
/// `deadline`.
pub(crate) async fn send(
    run: &RequestRun,
    host: SocketAddr,
    terms: &HopTerms,
    resume_after: Option<u64>,
    deadline: Timestamp,
) -> HopOutcome {
    let outgoing = &run.admitted.outgoing;
    let time_left = clock::time_until(deadline).saturating_sub(ANSWER_MARGIN);
    let body = outgoing.body.clone();
    let mut request = outgoing
        .request
        .encode_for_host(body, time_left, resume_after);
    let started = clock::now();
    let outcome = match terms.add_to(request.headers_mut()) {
        Ok(()) => {
            let exchange = exchange(run, host, request);
            let outcome = timeout(clock::time_until(deadline), exchange).await;
            outcome.unwrap_or(HopOutcome::TimedOut)
        }
        // Without its terms the other host would take the request for one of its own callers.
        Err(error) => HopOutcome::NotSent(format!("the terms can't be written: {error}")),
    };
    run.state.metrics.count_hop(outcome.name());
    if !matches!(outcome, HopOutcome::Responded(_)) {
        let detail = match &outcome {
            HopOutcome::NotSent(detail) | HopOutcome::Lost(detail) => detail,
            _ => "",
        };
        tracing::info!(
            request = outgoing.request.id,
            %host,
            outcome = outcome.name(),
            detail,
            after_ms = clock::now().since(started).as_millis() as u64,
            "send by way of another host failed"
        );
    }
    outcome
}

async fn exchange(run: &RequestRun, host: SocketAddr, request: Request<Bytes>) -> HopOutcome {
    let outgoing = &run.admitted.outgoing;
    let pool = &run.state.pool;
    let expected = Exchange::of_request(&outgoing.request.id);
    let taken = pool.take(Endpoint::Address(host), host, expected, OPEN_TIMEOUT);
    let mut connection = match taken.await {
        Ok(connection) => connection,
        Err(error) => return HopOutcome::NotSent(error.to_string()),
    };
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(CallError::NotSent(detail) | CallError::NotOpened(detail)) => {
            return HopOutcome::NotSent(detail);
        }
        Err(CallError::Lost(detail)) => return HopOutcome::Lost(detail),
    };
    let (mut parts, body) = response.into_parts();
    let head = ResponseHead::decode(&parts);
    if head.request_id.as_ref() != Some(&outgoing.request.id) {
        return HopOutcome::Lost("answer to another request".to_owned());
    }
    let record = take_text(&mut parts.headers, &UPSTREAM).and_then(|id| find(&run.state, &id));
    let version = take_text(&mut parts.headers, &VERSION).map(SoftwareVersion);
    let version = version.map(|version| VersionDigest::new(&run.admitted.service, &version));
    let is_declined = parts.headers.contains_key(DECLINED);
    if let Some(record) = record.filter(|_| head.has_signature) {
        // This host passes the announcements on to its caller.
        record_announcements(&run.state, &record, &head, clock::now());
    }
    let retry_after = parts.headers.get(RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let response = Box::new(UpstreamResponse {
        parts,
        head,
        body,
        connection,
        work: None,
        held: Rc::clone(&outgoing.held),
        version,
    });
    match response.head.status {
        _ if response.head.has_signature => HopOutcome::Responded(response),
        _ if is_declined => {
            response.discard_body();
            HopOutcome::NotSent("the other host declined".to_owned())
        }
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            HopOutcome::Lost("the other host had no answer".to_owned())
        }
        // A host that answers in this way has sent the request nowhere, or its upstreams
        // have stated that it has not run.
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT => {
            response.discard_body();
            let seconds = retry_after.and_then(|wait| Duration::try_from_secs_f64(wait).ok());
            HopOutcome::NotRun(seconds)
        }
        status if status.is_client_error() => {
            response.discard_body();
            HopOutcome::NotSent(format!("the other host answered {status}"))
        }
        _ => HopOutcome::Lost("an answer without a signature".to_owned()),
    }
}

fn find(state: &GatewayState, id: &str) -> Option<UpstreamRecord> {
    let table = state.table.borrow();
    let mut upstreams = table.iter();
    let (_, found) = upstreams.find(|(_, one)| one.record.id.0 == id)?;
    Some(found.record.clone())
}

fn take_text(headers: &mut HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.remove(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Adds what another host has to know of the upstream to the head of a response.
pub(crate) fn describe_upstream(
    headers: &mut HeaderMap,
    upstream: Option<&str>,
    version: Option<&str>,
) {
    for (name, text) in [(UPSTREAM, upstream), (VERSION, version)] {
        let value = text.and_then(|text| HeaderValue::from_str(text).ok());
        if let Some(value) = value {
            headers.insert(name, value);
        }
    }
}

/// Marks a refusal as one of a host that has sent the request nowhere.
pub(crate) fn mark_declined(headers: &mut HeaderMap) {
    headers.insert(DECLINED, HeaderValue::from_static("1"));
}
