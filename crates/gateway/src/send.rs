//! One send of a request to one upstream.

use crate::clock;
use crate::connection::{CallError, PeerKey, PooledConnection, describe};
use crate::host::{Host, UpstreamWork};
use bytes::Bytes;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_adapter::upstream::{ResponseHead, UpstreamCall, UpstreamTask};
use lagoonlift_policy::dispatch::UpstreamRecord;
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::rc::Rc;
use tokio::time::timeout;

/// Largest answer that is read whole, in bytes.
const MAX_WHOLE_BYTES: usize = 4 * 1024 * 1024;

/// What is sent, the same for all sends of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) request: CallerRequest,
    pub(crate) body: Bytes,
    pub(crate) workspace: Option<String>,
    pub(crate) urgency: u8,
}

/// One send.
#[derive(Clone, Debug)]
pub(crate) struct SendOrder {
    pub(crate) upstream: UpstreamKey,
    pub(crate) task: UpstreamTask,
    pub(crate) resume_after: Option<u64>,
    /// Prompt tokens that the upstream has to read for it.
    pub(crate) reading_tokens: u64,
    /// How long the caller waits.
    pub(crate) caller_until: Timestamp,
    /// How long this send is waited for.
    pub(crate) until: Timestamp,
}

/// How a send ended.
pub(crate) enum SendOutcome {
    /// An answer of the upstream; its body is still to be read.
    Answered(Box<Answer>),
    /// Nothing reached the upstream.
    NotSent(String),
    /// No connection opened in time, so nothing reached the upstream.
    NotOpened(String),
    /// The upstream states that it did not run the request.
    NotRun,
    /// The request was sent, and no sound answer came.
    Lost(String),
    /// No answer came in time.
    TimedOut,
}

/// The head of an answer, and the connection that its body comes on.
pub(crate) struct Answer {
    pub(crate) parts: Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
    pub(crate) work: UpstreamWork,
}

impl Answer {
    /// Reads the body whole and gives the connection back.
    pub(crate) async fn read_whole(self) -> Result<(Parts, Bytes), String> {
        let body = Limited::new(self.body, MAX_WHOLE_BYTES).collect().await;
        let body = body.map_err(|error| describe(error.as_ref()))?.to_bytes();
        if self.head.is_framed && !self.head.is_closing {
            self.connection.keep(self.head.idle_timeout);
        }
        Ok((self.parts, body))
    }
}

/// Sends a request and waits for the head of the answer. What it shows of the
/// upstream's health is noted.
pub(crate) async fn send(host: &Rc<Host>, outgoing: &Outgoing, order: SendOrder) -> SendOutcome {
    let record = {
        let table = host.table.borrow();
        table.get(order.upstream).map(|one| one.record.clone())
    };
    let Some(record) = record else {
        return SendOutcome::NotSent("the upstream is gone".to_owned());
    };
    let key = order.upstream;
    let task = task_name(&order.task);
    let started = clock::now();
    let limit = clock::time_until(order.until);
    let exchange = exchange(host, outgoing, &record, order);
    let outcome = match timeout(limit, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => SendOutcome::TimedOut,
    };
    note_health(host, key, started, &outcome);
    host.metrics.count_send(&record.service, outcome.name());
    if !matches!(outcome, SendOutcome::Answered(_)) {
        tracing::info!(
            request = outgoing.request.id,
            upstream = record.id.0,
            task,
            outcome = outcome.name(),
            detail = outcome.detail(),
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
    host: &Rc<Host>,
    outgoing: &Outgoing,
    record: &UpstreamRecord,
    order: SendOrder,
) -> SendOutcome {
    host.table
        .borrow_mut()
        .record_send(clock::now(), order.upstream);
    let work = UpstreamWork::new(host, order.upstream, order.reading_tokens);
    let peer = PeerKey::Upstream(order.upstream);
    let open_limit = clock::time_until(order.until);
    let mut connection = match host.pool.take(peer, record.address, open_limit).await {
        Ok(connection) => connection,
        Err(CallError::NotOpened(detail)) => return SendOutcome::NotOpened(detail),
        Err(error) => return SendOutcome::NotSent(error.to_string()),
    };
    if !may_still_send(host, order.upstream) {
        return SendOutcome::NotSent("the upstream is leaving".to_owned());
    }
    let call = UpstreamCall {
        request: &outgoing.request,
        body: outgoing.body.clone(),
        upstream: record,
        task: order.task,
        time_left: clock::time_until(order.caller_until),
        workspace: outgoing.workspace.as_deref(),
        urgency: outgoing.urgency,
        resume_after: order.resume_after,
    };
    let response = match connection.send(call.encode()).await {
        Ok(response) => response,
        Err(CallError::NotSent(detail) | CallError::NotOpened(detail)) => {
            return SendOutcome::NotSent(detail);
        }
        Err(CallError::Lost(detail)) => return SendOutcome::Lost(detail),
    };
    let (parts, body) = response.into_parts();
    let head = ResponseHead::decode(&parts);
    let answer = Box::new(Answer {
        parts,
        head,
        body,
        connection,
        work,
    });
    judge(&outgoing.request.id, answer).await
}

/// Opening a connection takes time, in which the upstream may have left.
fn may_still_send(host: &Host, upstream: UpstreamKey) -> bool {
    let table = host.table.borrow();
    let phase = table.get(upstream).map(|one| one.record.phase);
    phase == Some(lagoonlift_policy::dispatch::UpstreamPhase::Serving)
}

/// Decides whether an answer is one to this request.
async fn judge(request_id: &str, answer: Box<Answer>) -> SendOutcome {
    let head = answer.head.clone();
    match &head.request_id {
        Some(id) if id != request_id => SendOutcome::Lost("answer to another request".to_owned()),
        _ if head.has_not_run => {
            // The body of a refusal is of no use, but the connection is.
            if let Err(detail) = answer.read_whole().await {
                tracing::debug!(detail, "refusal of an upstream broke off");
            }
            SendOutcome::NotRun
        }
        _ if head.is_encoded => SendOutcome::Lost("answer in an encoding".to_owned()),
        _ => SendOutcome::Answered(answer),
    }
}

fn note_health(host: &Host, key: UpstreamKey, started: Timestamp, outcome: &SendOutcome) {
    let now = clock::now();
    let mut table = host.table.borrow_mut();
    let Some(upstream) = table.get_mut(key) else {
        return;
    };
    match outcome {
        SendOutcome::Answered(answer) if answer.head.status.is_server_error() => {
            upstream.record_failure(now, false);
        }
        SendOutcome::Answered(_) => upstream.record_response(now.since(started)),
        SendOutcome::NotSent(_) | SendOutcome::NotOpened(_) => upstream.record_failure(now, true),
        SendOutcome::NotRun => upstream.record_refusal(now),
        SendOutcome::Lost(_) | SendOutcome::TimedOut => upstream.record_failure(now, false),
    }
    let data_centre = upstream.record.data_centre.clone();
    let came_back = match outcome {
        SendOutcome::Answered(_) | SendOutcome::NotRun => true,
        SendOutcome::NotOpened(_) | SendOutcome::TimedOut => false,
        // A connection that breaks shows neither.
        SendOutcome::NotSent(_) | SendOutcome::Lost(_) => return,
    };
    match table.record_contact(now, key, came_back) {
        true if came_back => tracing::info!(data_centre, "a data centre answers again"),
        true => tracing::warn!(data_centre, "a data centre is cut off from this host"),
        false => {}
    }
}

impl SendOutcome {
    /// Name for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent(_) => "not-sent",
            Self::NotOpened(_) => "not-opened",
            Self::NotRun => "not-run",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    fn detail(&self) -> &str {
        match self {
            Self::NotSent(detail) | Self::NotOpened(detail) | Self::Lost(detail) => detail,
            Self::Answered(_) | Self::NotRun | Self::TimedOut => "",
        }
    }
}
