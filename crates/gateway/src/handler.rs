//! Handles a caller's request from its arrival to the response.

use crate::admit::admit;
use crate::clock;
use crate::relay::StreamRelay;
use crate::reply::{Refusal, ReplyBody, full_response};
use crate::run::{RequestRun, RunOutcome};
use crate::state::{GatewayState, InFlight};
use crate::trace::{ANSWERED, RequestTrace};
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_adapter::upstream::forwarded_response_headers;
use lagoonlift_policy::dispatch::NextStep;
use std::rc::Rc;

/// Handles one request of a caller.
pub(crate) async fn handle(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let in_flight = InFlight::new(&state);
    let mut response = respond(&state, request).await;
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    // The request is in flight until the last byte of its response has been
    // passed on.
    response.map(|body| {
        let body = body.map_frame(move |frame| {
            let _ = &in_flight;
            frame
        });
        let body: ReplyBody = Box::pin(body);
        body
    })
}

async fn respond(state: &Rc<GatewayState>, request: Request<Incoming>) -> Response<ReplyBody> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let request = match CallerRequest::decode(parts) {
        Ok(request) => request,
        Err(error) => {
            tracing::info!(%error, "malformed request refused");
            return Refusal::invalid(StatusCode::BAD_REQUEST, "malformed request").reply("");
        }
    };
    let id = request.id.clone();
    let mut trace = RequestTrace::new(state, &id, arrived);
    let admitted = match admit(state, request, body, arrived).await {
        Ok(admitted) => Rc::new(admitted),
        Err(refusal) => return refuse(refusal, &id, trace),
    };
    trace.record_admitted(&admitted);
    let mut run = RequestRun::new(Rc::clone(state), admitted);
    loop {
        let end = run.finish().await;
        trace.record_attempts(run.summary());
        let upstream_response = match end {
            RunOutcome::Refused(refusal) => return refuse(refusal, &id, trace),
            RunOutcome::Complete(parts, body) => {
                trace.record_first_byte();
                trace.end(match parts.status.is_success() {
                    true => ANSWERED,
                    false => "failed",
                });
                return full_response(
                    parts.status,
                    forwarded_response_headers(&parts.headers),
                    body,
                );
            }
            RunOutcome::Stream(response) => response,
        };
        match StreamRelay::start(run, upstream_response, trace).await {
            Ok(response) => return response,
            Err(failure) if failure.step == NextStep::Retry => {
                run = failure.run;
                trace = failure.trace;
            }
            Err(failure) => {
                let refusal = Refusal::unknown("the stream broke off before its first event");
                return refuse(refusal, &id, failure.trace);
            }
        }
    }
}

fn refuse(refusal: Refusal, id: &str, mut trace: RequestTrace) -> Response<ReplyBody> {
    trace.record_reason(refusal.reason);
    trace.end(match refusal.status {
        StatusCode::SERVICE_UNAVAILABLE => "refused",
        StatusCode::BAD_GATEWAY => "unknown",
        StatusCode::GATEWAY_TIMEOUT => "timed-out",
        _ => "denied",
    });
    refusal.reply(id)
}
