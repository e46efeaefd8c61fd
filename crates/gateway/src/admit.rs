//! Admission of a request: finds its route and workspace and reads its body.

use crate::held::{HeldRequest, NoRoom};
use crate::hop::HopTerms;
use crate::quota;
use crate::reply::{GatewayReply, Refusal};
use crate::resumption::{ResumedStream, StreamOrigin};
use crate::send::OutgoingRequest;
use crate::state::GatewayState;
use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    NotRunProof, QuotaCharge, RequestContent, RequiredVersion, Route, ServingConfig,
    StreamLifetime, SuspectKey, WorkspaceQuota,
};
use rand::RngExt;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// `Retry-After` of the response of a host whose configuration isn't confirmed to be
/// current. The next read of the store is due earlier than that.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` of a host that holds too much for callers. Within this time it cuts
/// responses or callers read on.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest body that is read, in bytes, while no configuration states a limit.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;

/// Least limit on the size of a head, in bytes.
const MIN_HEAD_LIMIT_BYTES: usize = 8_192;

/// Time for the body of a request that is refused, or for what remains of it.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest part of a refused request's body that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// Longest wait of a caller that is told apart from longer ones.
const LONGEST_WAIT: Duration = StreamLifetime::LONGEST.duration();

/// Range of the urgency that upstreams accept. 0 is the most urgent, 9 the least.
const URGENCY_RANGE: std::ops::RangeInclusive<u32> = 0..=9;

/// A request that may be sent to an upstream.
pub(crate) struct Admitted {
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) route: Route,
    pub(crate) service: String,
    /// Software version that the upstreams must have.
    pub(crate) required_version: RequiredVersion,
    /// Latest time for the response to the caller.
    pub(crate) deadline: Timestamp,
    /// Time until which the caller waits, whatever the route allows; `None` if it names none.
    pub(crate) caller_deadline: Option<Timestamp>,
    /// What the request was charged to the quota of its workspace.
    pub(crate) charge: Option<QuotaCharge>,
    /// What to keep to if another host has sent the request here.
    pub(crate) hop: Option<HopTerms>,
}

/// Route of a request, and the workspace that it belongs to.
struct ResolvedRequest {
    route: Route,
    workspace: Option<String>,
    quota: Option<WorkspaceQuota>,
    /// Urgency of the workspace, or else of the route; 0 is the most urgent.
    urgency: u32,
}

/// Finds the route and the workspace of a request and reads its body. The error is
/// the response to the caller if the request can't be admitted.
pub(crate) async fn admit(
    state: &GatewayState,
    mut request: CallerRequest,
    mut body: Incoming,
    arrived: Timestamp,
    held: &Rc<HeldRequest>,
    hop: Option<HopTerms>,
) -> Result<Admitted, GatewayReply> {
    let config = state.config();
    let resolved = match resolve_request(state, config.as_deref(), &request, arrived, hop.as_ref())
    {
        Ok(resolved) => resolved,
        Err(reply) => {
            discard_body(&mut body).await;
            return Err(reply);
        }
    };
    let max_bytes = config.as_ref().map_or(DEFAULT_MAX_BODY_BYTES, |config| {
        config.limits().max_body_bytes
    });
    let wait = waiting_time(&request, &resolved.route);
    let caller_wait = match &hop {
        Some(terms) => terms.caller_wait.or(request.deadline),
        None => request.deadline,
    };
    let body = read_body(&mut body, max_bytes, wait, held).await?;
    let origin = find_origin(state, &request, &resolved, arrived + wait, hop.as_ref()).await?;
    if config.is_some_and(|config| config.has_workspaces()) {
        request.remove_key();
    }
    let charge = match (&resolved.workspace, resolved.quota) {
        // The host that sent the request here has charged it.
        (Some(workspace), Some(quota)) if hop.is_none() => {
            let tokens = request.stated_tokens;
            Some(quota::charge(state, workspace, quota, &request.id, tokens).await?)
        }
        _ => None,
    };
    let key = content_key(&request, &resolved, &body);
    let (least, most) = (*URGENCY_RANGE.start(), *URGENCY_RANGE.end());
    let urgency = resolved.urgency.clamp(least, most) as u8;
    let is_resumable = resolved.route.retry_safety.is_resumable();
    held.set_route(urgency, is_resumable);
    Ok(Admitted {
        outgoing: OutgoingRequest {
            request,
            body,
            key,
            workspace: resolved.workspace,
            urgency,
            held: Rc::clone(held),
        },
        route: resolved.route,
        service: origin.service,
        required_version: origin.version,
        deadline: arrived + wait,
        caller_deadline: caller_wait.map(|wait| arrived + wait.min(LONGEST_WAIT)),
        charge: charge.flatten(),
        hop,
    })
}

/// Returns the key that is the same whenever the request comes, at any host.
fn content_key(request: &CallerRequest, resolved: &ResolvedRequest, body: &[u8]) -> SuspectKey {
    let path = request.uri.path_and_query();
    let content = RequestContent {
        method: request.method.as_str(),
        host: &request.host,
        path: path.map_or("", |path| path.as_str()),
        workspace: resolved.workspace.as_deref(),
        body,
    };
    SuspectKey::for_request(&content)
}

/// Returns whether the header lines of a request, by their names and values, are longer than
/// the configuration in force allows.
pub(crate) fn is_head_too_large(state: &GatewayState, head: &Parts) -> bool {
    let Some(config) = state.config() else {
        return false;
    };
    let lines = head.headers.iter();
    let bytes: usize = lines
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    bytes > config.limits().max_head_bytes.max(MIN_HEAD_LIMIT_BYTES)
}

/// Returns the time for which the caller waits at most.
fn waiting_time(request: &CallerRequest, route: &Route) -> Duration {
    match request.deadline {
        Some(deadline) => deadline.min(route.timeout),
        None => route.timeout,
    }
}

fn resolve_request(
    state: &GatewayState,
    config: Option<&ServingConfig>,
    request: &CallerRequest,
    now: Timestamp,
    hop: Option<&HopTerms>,
) -> Result<ResolvedRequest, GatewayReply> {
    let config = config.ok_or(undecided("no configuration yet"))?;
    if hop.is_some_and(|terms| terms.config > config.version().0) {
        return Err(undecided(
            "the configuration is older than that of the other host",
        ));
    }
    let confirmation = state.confirmation();
    let deny = |status, reason| match confirmation.can_report_absence(now) {
        true => GatewayReply::without_retry_after(status, reason),
        false => undecided("configuration not proven current"),
    };
    let route = config
        .find_route(&request.host, request.uri.path())
        .ok_or_else(|| deny(StatusCode::NOT_FOUND, "no such route"))?;
    let needs_key = config.has_workspaces() && !route.is_public;
    let workspace = match (&request.key, needs_key) {
        (_, false) => None,
        (None, true) => return Err(deny(StatusCode::UNAUTHORIZED, "no key")),
        (Some(key), true) => {
            let found = config.find_workspace(key);
            Some(found.ok_or_else(|| deny(StatusCode::UNAUTHORIZED, "unknown key"))?)
        }
    };
    if workspace.is_some() && !confirmation.can_admit_keyed_requests(now) {
        return Err(undecided("keys not proven current"));
    }
    let urgency = workspace.and_then(|workspace| workspace.urgency);
    Ok(ResolvedRequest {
        workspace: workspace.map(|workspace| workspace.name.clone()),
        quota: workspace.and_then(|workspace| workspace.quota),
        urgency: urgency.unwrap_or(route.urgency),
        route: route.clone(),
    })
}

/// Returns what a request has to go on with: the service and the version that have begun its
/// stream. Where nothing was begun, the service is drawn; another host that has sent the
/// request here has done that.
async fn find_origin(
    state: &GatewayState,
    request: &CallerRequest,
    resolved: &ResolvedRequest,
    deadline: Timestamp,
    hop: Option<&HopTerms>,
) -> Result<StreamOrigin, GatewayReply> {
    let route = &resolved.route;
    let stated = hop.map(|terms| terms.service.as_str());
    let workspace = resolved.workspace.as_deref();
    let origin = match ResumedStream::of_request(request, route, workspace) {
        Some(stream) => {
            // Few requests need its large state.
            let found = Box::pin(stream.find_origin(state, deadline)).await;
            found.map_err(|refusal| GatewayReply::not_run(refusal, NotRunProof::before_attempts()))
        }
        None => {
            let drawn = || route.draw_service(rand::rng().random());
            let service = stated.or_else(drawn);
            let service = service.ok_or(undecided("the route has no service"))?;
            Ok(StreamOrigin::undecided(service))
        }
    }?;
    let is_stated = stated.is_none_or(|stated| stated == origin.service);
    match is_stated && route.may_use(&origin.service) {
        true => Ok(origin),
        false => Err(undecided("the route leads to other services by now")),
    }
}

/// Reads the body of a refused request, or what remains of it, so that the caller gets the
/// response. A connection that is closed while the caller is still sending is reset, and the
/// caller may never see the response.
pub(crate) async fn discard_body(body: &mut Incoming) {
    let mut body = Limited::new(body, MAX_DISCARDED_BYTES);
    let discard = async {
        while let Some(frame) = body.frame().await {
            frame?;
        }
        Ok::<_, Box<dyn Error + Send + Sync>>(())
    };
    match timeout(REFUSED_BODY_TIMEOUT, discard).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::debug!(%error, "the body of a refused request broke off"),
        Err(_) => tracing::debug!("the body of a refused request did not arrive in time"),
    }
}

/// Reads the body of a request. The error is the response if it isn't complete within `wait`
/// or has more than `max_bytes`.
async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    wait: Duration,
    held: &HeldRequest,
) -> Result<Bytes, GatewayReply> {
    let read = held.collect(Limited::new(&mut *body, max_bytes));
    let reply = match timeout(wait, read).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(error)) if error.is::<NoRoom>() => {
            discard_body(body).await;
            let refusal = Refusal::new("the host holds too much for callers", NO_ROOM_RETRY_AFTER);
            GatewayReply::not_run(refusal, NotRunProof::before_attempts())
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            discard_body(body).await;
            GatewayReply::without_retry_after(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            )
        }
        Ok(Err(_)) => {
            GatewayReply::without_retry_after(StatusCode::BAD_REQUEST, "the body broke off")
        }
        Err(_) => GatewayReply::incomplete(
            "the body did not arrive in time",
            NotRunProof::before_attempts(),
        ),
    };
    Err(reply.closing_connection())
}

/// Returns the response of a host that can't decide now. It closes the connection so
/// that the caller's retry may reach another host.
fn undecided(reason: &'static str) -> GatewayReply {
    let refusal = Refusal::new(reason, UNDECIDED_RETRY_AFTER);
    GatewayReply::not_run(refusal, NotRunProof::before_attempts()).closing_connection()
}
