//! Handles a caller's request from its arrival to the response.

use crate::admit::{admit, discard_body, is_head_too_large};
use crate::clock;
use crate::held::HeldRequest;
use crate::hop::{self, HopTerms};
use crate::idle::RequestInUse;
use crate::in_flight::InFlight;
use crate::read_on::CurrentResponse;
use crate::relay::StreamRelay;
use crate::reply::{GatewayReply, ReplyBody, full_response};
use crate::run::{RequestRun, RunOutcome};
use crate::state::GatewayState;
use crate::trace::{FAILURE_OUTCOME, RequestLog, SUCCESS_OUTCOME};
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_adapter::upstream::forwarded_response_headers;
use lagoonlift_policy::dispatch::{NextStep, QuotaCharge};
use std::rc::Rc;

/// Who sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSender {
    /// A caller.
    Caller,
    /// Another host, for one of its callers.
    Host,
}

/// Handles one request. `in_use` is dropped with the response's body.
pub(crate) async fn handle(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
    in_use: RequestInUse,
    current: Rc<CurrentResponse>,
    sender: RequestSender,
) -> Response<ReplyBody> {
    let in_flight = InFlight::new(&state);
    let held = state.held.open();
    let mut response = tokio::select! {
        biased;
        response = respond(&state, request, &held, sender) => response,
        () = state.requests_end.notified() => {
            let reply = GatewayReply::unknown("the host stops before the response");
            reply.response_to(&held.id())
        }
    };
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    // The request is in flight until the last byte of its response has been
    // passed on.
    response.map(|body| {
        let body = body.map_frame(move |frame| {
            let _ = (&in_flight, &in_use);
            frame
        });
        current.begin(Box::pin(body), held)
    })
}

async fn respond(
    state: &Rc<GatewayState>,
    request: Request<Incoming>,
    held: &Rc<HeldRequest>,
    sender: RequestSender,
) -> Response<ReplyBody> {
    let arrived = clock::now();
    let (mut parts, mut body) = request.into_parts();
    let hop = match sender {
        RequestSender::Caller => None,
        RequestSender::Host => match HopTerms::take_from(&mut parts.headers) {
            Some(terms) => Some(terms),
            None => {
                discard_body(&mut body).await;
                let status = StatusCode::BAD_REQUEST;
                return GatewayReply::without_retry_after(status, "no terms").response_to("");
            }
        },
    };
    let is_hop = hop.is_some();
    if is_head_too_large(state, &parts) {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        discard_body(&mut body).await;
        return GatewayReply::without_retry_after(status, "the head is too large").response_to("");
    }
    let request = match CallerRequest::decode(parts) {
        Ok(request) => request,
        Err(error) => {
            tracing::info!(%error, "malformed request refused");
            discard_body(&mut body).await;
            return GatewayReply::without_retry_after(StatusCode::BAD_REQUEST, "malformed request")
                .response_to("");
        }
    };
    let id = request.id.clone();
    held.set_id(&id);
    let mut request_log = RequestLog::new(state, &id, arrived);
    let admitted = match admit(state, request, body, arrived, held, hop).await {
        Ok(admitted) => Rc::new(admitted),
        Err(reply) => {
            let mut response = end_with_reply(reply, &id, request_log);
            if is_hop {
                hop::mark_declined(response.headers_mut());
            }
            return response;
        }
    };
    request_log.record_admitted(&admitted);
    let charge = admitted.charge;
    let mut run = RequestRun::new(Rc::clone(state), admitted);
    if let Some(reply) = run.declines() {
        let mut response = end_with_reply(reply, &id, request_log);
        hop::mark_declined(response.headers_mut());
        return response;
    }
    run.prepare_stream().await;
    loop {
        let outcome = run.next_outcome().await;
        request_log.record_attempts(run.summary());
        let upstream_response = match outcome {
            RunOutcome::Reply(reply) => {
                return_charge(state, charge, &reply);
                return end_with_reply(reply, &id, request_log);
            }
            RunOutcome::Complete(parts, body) => {
                // The whole response has been read from the upstream by now.
                request_log.record_first_byte();
                request_log.end(match parts.status.is_success() {
                    true => SUCCESS_OUTCOME,
                    false => FAILURE_OUTCOME,
                });
                let mut headers = forwarded_response_headers(&parts.headers);
                run.describe_to_host(&mut headers);
                return full_response(parts.status, headers, body);
            }
            RunOutcome::Stream(response) => response,
        };
        match StreamRelay::start(run, upstream_response, request_log).await {
            Ok(response) => return response,
            Err(failure) if failure.step == NextStep::Retry => {
                run = failure.run;
                request_log = failure.request_log;
            }
            Err(mut failure) => {
                failure.run.end_crash_check().await;
                let reply = GatewayReply::unknown("the stream broke off before its first event");
                return end_with_reply(reply, &id, failure.request_log);
            }
        }
    }
}

/// Returns the charge of a request if the reply says that it certainly doesn't run.
fn return_charge(state: &GatewayState, charge: Option<QuotaCharge>, reply: &GatewayReply) {
    if let (Some(charge), StatusCode::SERVICE_UNAVAILABLE) = (charge, reply.status) {
        state.quota_state.give_back(charge);
    }
}

/// Ends the request with a response of the gateway's own.
fn end_with_reply(
    reply: GatewayReply,
    id: &str,
    mut request_log: RequestLog,
) -> Response<ReplyBody> {
    request_log.record_reason(reply.reason);
    request_log.end(match reply.status {
        StatusCode::SERVICE_UNAVAILABLE => "refused",
        StatusCode::BAD_GATEWAY => "unknown",
        StatusCode::GATEWAY_TIMEOUT => "timed-out",
        _ => "denied",
    });
    reply.response_to(id)
}
