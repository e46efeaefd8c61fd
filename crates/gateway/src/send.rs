//! One attempt to run a request on one upstream.

use crate::announcements::record_announcements;
use crate::clock;
use crate::connection::{
    CONNECT_TIMEOUT, CallError, ConnectionTrace, Endpoint, PooledConnection, describe,
};
use crate::exchange::Exchange;
use crate::held::{HeldRequest, NoRoom};
use crate::in_flight::{AwaitedAnswer, UpstreamWork};
use crate::state::GatewayState;
use crate::upstream_health::{record_break, record_health, record_path};
use bytes::Bytes;
use http::response::Parts;
use http_body::Body;
use http_body_util::Limited;
use hyper::body::Incoming;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_adapter::upstream::{ResponseHead, UpstreamCall, UpstreamTask};
use lagoonlift_policy::dispatch::{
    ContactResult, PathSign, RequiredVersion, SuspectKey, UpstreamRecord, VersionDigest,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::borrow::Cow;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Largest body of an answer that is forwarded whole.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of a prefill's response, which holds the handle of the KV cache.
const MAX_HANDLE_BYTES: usize = 64 * 1024;

/// Largest body of a refusal that is read to reuse the connection.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;

/// Time for which the body of a refusal is read to reuse the connection.
const REFUSAL_READ_TIME: Duration = Duration::from_millis(50);

/// The part of an outgoing request that all its attempts share.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) request: CallerRequest,
    pub(crate) body: Bytes,
    /// Identifies the request if it comes again.
    pub(crate) key: SuspectKey,
    pub(crate) workspace: Option<String>,
    /// Urgency from 0 to 9; 0 is the most urgent.
    pub(crate) urgency: u8,
    /// What the host holds for the request.
    pub(crate) held: Rc<HeldRequest>,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamKey,
    pub(crate) task: UpstreamTask,
    /// Software version that the upstream must have.
    pub(crate) version: RequiredVersion,
    pub(crate) resume_after: Option<u64>,
    /// Prompt tokens that the upstream has to prefill.
    pub(crate) prefill_tokens: u64,
    /// Time until which the caller waits.
    pub(crate) caller_deadline: Timestamp,
    /// Time until which the head of the response is awaited.
    pub(crate) deadline: Timestamp,
    /// Set when the request may have reached the upstream, for a caller that drops the
    /// future of [`send`].
    pub(crate) is_sent: Rc<Cell<bool>>,
}

/// Outcome of an attempt.
pub(crate) enum SendOutcome {
    /// The upstream responded with any status, including 5xx; the body is still to be
    /// read.
    Responded(Box<UpstreamResponse>),
    /// Nothing was sent, because the upstream drains or holds off requests, or because the
    /// call can't be written as a request.
    Withheld(Cow<'static, str>),
    /// Nothing reached the upstream.
    NotSent(String),
    /// No connection opened in time, so nothing reached the upstream. The result says
    /// whether that shows anything about the path to it.
    NotOpened(String, ContactResult),
    /// The upstream states that it did not run the request.
    NotRun,
    /// The request was sent, and no valid response came.
    Lost(String),
    /// No response came in time.
    TimedOut,
}

/// Why the body of a response wasn't read whole.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// It wasn't complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// The connection broke, or the body is too large.
    #[error("{0}")]
    Truncated(String),
    /// The host had no room for it.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

/// The head of a response, and the connection on which its body arrives.
pub(crate) struct UpstreamResponse {
    pub(crate) parts: Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
    /// This host's work on the upstream; `None` if another host sent the request there.
    pub(crate) work: Option<UpstreamWork>,
    /// What the host holds for the request.
    pub(crate) held: Rc<HeldRequest>,
    /// Software version of the upstream when the request was sent, if it is known.
    pub(crate) version: Option<VersionDigest>,
}

impl UpstreamResponse {
    /// Returns the upstream; `None` if another host sent the request there.
    pub(crate) fn upstream(&self) -> Option<UpstreamKey> {
        self.work.as_ref().map(|work| work.key)
    }

    /// Reads the whole body of an answer and returns the connection to the pool. Fails if
    /// the body isn't complete at `deadline`.
    pub(crate) async fn read_body(self, deadline: Timestamp) -> Result<(Parts, Bytes), BodyError> {
        self.read_body_within(deadline, MAX_ANSWER_BYTES).await
    }

    /// Reads the body of a prefill's response in the same way.
    pub(crate) async fn read_handle(self, deadline: Timestamp) -> Result<Bytes, BodyError> {
        let (_, body) = self.read_body_within(deadline, MAX_HANDLE_BYTES).await?;
        Ok(body)
    }

    async fn read_body_within(
        self,
        deadline: Timestamp,
        max_bytes: usize,
    ) -> Result<(Parts, Bytes), BodyError> {
        let Self {
            head,
            body,
            connection,
            held,
            ..
        } = self;
        let body = read_whole(body, &head, connection, &held, deadline, max_bytes).await?;
        Ok((self.parts, body))
    }

    /// Reads the body of a refusal in the background, which makes the connection reusable.
    /// A body that is long or late closes it.
    pub(crate) fn discard_body(self) {
        let Self {
            head,
            body,
            connection,
            held,
            ..
        } = self;
        if body.is_end_stream() && head.is_framed && !head.is_closing {
            return connection.return_to_pool(head.idle_timeout);
        }
        tokio::task::spawn_local(async move {
            let deadline = clock::now() + REFUSAL_READ_TIME;
            let read = read_whole(body, &head, connection, &held, deadline, MAX_REFUSAL_BYTES);
            if let Err(error) = read.await {
                tracing::debug!(
                    %error,
                    "connection closed: the body of a refusal was truncated, long or late"
                );
            }
        });
    }
}

/// Reads a body of up to `max_bytes` and returns the connection to the pool. Closes the
/// connection if the body isn't complete at `deadline`.
async fn read_whole(
    body: Incoming,
    head: &ResponseHead,
    connection: PooledConnection,
    held: &HeldRequest,
    deadline: Timestamp,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let body = held.collect(Limited::new(body, max_bytes));
    let body = timeout(clock::time_until(deadline), body)
        .await
        .map_err(|_| BodyError::TimedOut)?
        .map_err(|error| match error.downcast::<NoRoom>() {
            Ok(no_room) => BodyError::NoRoom(*no_room),
            Err(error) => BodyError::Truncated(describe(error.as_ref())),
        })?;
    if head.is_framed && !head.is_closing {
        connection.return_to_pool(head.idle_timeout);
    }
    Ok(body)
}

/// Sends a request and waits for the head of the response. Updates the recorded
/// health of the upstream from the outcome.
pub(crate) async fn send(
    state: &Rc<GatewayState>,
    outgoing: &OutgoingRequest,
    attempt: Attempt,
) -> SendOutcome {
    let record = {
        let table = state.table.borrow();
        table.get(attempt.upstream).map(|one| one.record.clone())
    };
    let Some(record) = record else {
        return SendOutcome::NotSent("the upstream is gone".to_owned());
    };
    let key = attempt.upstream;
    let task = task_name(&attempt.task);
    let started = clock::now();
    let limit = clock::time_until(attempt.deadline);
    let trace = Cell::new(ConnectionTrace::default());
    let exchange = exchange(state, outgoing, &record, attempt, &trace);
    let outcome = match timeout(limit, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => SendOutcome::TimedOut,
    };
    record_health(state, key, started, &outcome);
    state.metrics.count_send(&record.service, outcome.name());
    if !matches!(outcome, SendOutcome::Responded(_)) {
        tracing::info!(
            request = outgoing.request.id,
            content = %format_args!("{:x}", outgoing.key.id),
            upstream = record.id.0,
            task,
            outcome = outcome.name(),
            detail = outcome.detail(),
            connection = trace.get().number,
            earlier_requests = trace.get().earlier_requests,
            after_ms = clock::now().since(started).as_millis() as u64,
            "send failed"
        );
    }
    outcome
}

fn task_name(task: &UpstreamTask) -> &'static str {
    match task {
        UpstreamTask::Run => "run",
        UpstreamTask::Prefill { .. } => "read-prompt",
        UpstreamTask::DecodeFrom(_) => "run-from-memory",
    }
}

async fn exchange(
    state: &Rc<GatewayState>,
    outgoing: &OutgoingRequest,
    record: &UpstreamRecord,
    attempt: Attempt,
    trace: &Cell<ConnectionTrace>,
) -> SendOutcome {
    state
        .table
        .borrow_mut()
        .record_send(clock::now(), attempt.upstream);
    let work = UpstreamWork::new(state, attempt.upstream, attempt.prefill_tokens);
    let endpoint = Endpoint::Upstream(attempt.upstream);
    let open_limit = clock::time_until(attempt.deadline);
    let expected = Exchange::of_request(&outgoing.request.id);
    let had_connection = state.pool.has_connection(attempt.upstream);
    let taken = state
        .pool
        .take(endpoint, record.address, expected, open_limit);
    let taken = taken.await;
    if !had_connection && taken.is_ok() {
        let mut table = state.table.borrow_mut();
        table.record_first_connection(clock::now(), attempt.upstream);
    }
    for key in state.pool.take_closed_early() {
        record_break(state, key);
    }
    let mut connection = match taken {
        Ok(connection) => connection,
        Err(CallError::NotOpened(detail)) if open_limit < CONNECT_TIMEOUT => {
            return SendOutcome::NotOpened(detail, ContactResult::Silent);
        }
        Err(CallError::NotOpened(detail)) => {
            record_path(state, attempt.upstream, PathSign::Failed);
            return SendOutcome::NotOpened(detail, ContactResult::NotOpened);
        }
        Err(error) => {
            record_path(state, attempt.upstream, PathSign::Failed);
            return SendOutcome::NotSent(error.to_string());
        }
    };
    let call = UpstreamCall {
        request: &outgoing.request,
        body: outgoing.body.clone(),
        upstream: record,
        task: attempt.task,
        time_left: clock::time_until(attempt.caller_deadline),
        workspace: outgoing.workspace.as_deref(),
        urgency: outgoing.urgency,
        resume_after: attempt.resume_after,
    };
    let request = match call.encode() {
        Ok(request) => request,
        Err(error) => return SendOutcome::Withheld(error.to_string().into()),
    };
    if let Err(reason) = begin_request(state, attempt.upstream, attempt.version) {
        return SendOutcome::Withheld(reason.into());
    }
    attempt.is_sent.set(true);
    trace.set(connection.trace());
    let sent_at = clock::now();
    let answer = AwaitedAnswer::new(state, attempt.upstream);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(CallError::NotSent(detail) | CallError::NotOpened(detail)) => {
            return SendOutcome::NotSent(detail);
        }
        Err(CallError::Lost(detail)) => return SendOutcome::Lost(detail),
    };
    answer.end();
    let (parts, body) = response.into_parts();
    let head = ResponseHead::decode(&parts);
    record_announcements(state, record, &head, sent_at);
    let upstream_response = Box::new(UpstreamResponse {
        parts,
        head,
        body,
        connection,
        work: Some(work),
        held: Rc::clone(&outgoing.held),
        version: proven_version(state, attempt.upstream, record),
    });
    classify(&outgoing.request.id, upstream_response)
}

/// Returns the version of the upstream that has just answered, if it is certain.
fn proven_version(
    state: &GatewayState,
    upstream: UpstreamKey,
    record: &UpstreamRecord,
) -> Option<VersionDigest> {
    let table = state.table.borrow();
    let listed = table.get(upstream)?.proven_version();
    listed.filter(|listed| record.version_digest() == Some(*listed))
}

/// Counts a request that is about to be sent. The error says why the upstream takes none; it
/// may have announced that while the connection was opened, or other requests may have used
/// up this host's share of its rate.
fn begin_request(
    state: &GatewayState,
    upstream: UpstreamKey,
    version: RequiredVersion,
) -> Result<(), &'static str> {
    let mut table = state.table.borrow_mut();
    let now = clock::now();
    match table.get(upstream) {
        Some(one) if !version.is_met_by(one) => return Err("its version has become doubtful"),
        Some(one) if one.accepts_requests(now) => {}
        Some(_) | None => return Err("the upstream drains or holds off requests"),
    }
    match table.take_rate_share(now, upstream) {
        true => Ok(()),
        false => Err("this host's share of the upstream's rate is used up"),
    }
}

/// Classifies a response: as a response to this attempt, as a statement that the upstream
/// has not run it, or as invalid. Only the identifier shows that the response belongs to the
/// attempt, as no earlier one on the connection had the same.
fn classify(request_id: &str, response: Box<UpstreamResponse>) -> SendOutcome {
    let head = response.head.clone();
    match &head.request_id {
        Some(id) if id != request_id => SendOutcome::Lost("answer to another request".to_owned()),
        None => SendOutcome::Lost("answer without an identifier".to_owned()),
        Some(_) if head.has_not_run => {
            response.discard_body();
            SendOutcome::NotRun
        }
        _ if head.is_encoded => SendOutcome::Lost("answer in an encoding".to_owned()),
        _ => SendOutcome::Responded(response),
    }
}

impl SendOutcome {
    /// Returns the name for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Responded(_) => "answered",
            Self::Withheld(_) => "withheld",
            Self::NotSent(_) => "not-sent",
            Self::NotOpened(..) => "not-opened",
            Self::NotRun => "not-run",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    fn detail(&self) -> &str {
        match self {
            Self::Withheld(detail) => detail,
            Self::NotSent(detail) | Self::NotOpened(detail, _) | Self::Lost(detail) => detail,
            Self::Responded(_) | Self::NotRun | Self::TimedOut => "",
        }
    }
}
