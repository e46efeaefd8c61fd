//! Requests to plain services: validates a request and prepares the job for the
//! relay.

use crate::admission::PlacementRequest;
use crate::body::read_body;
use crate::chat::bearer_key;
use crate::claim::ContentDigest;
use crate::claim_guard::{ClaimGuard, ClaimRequest, idempotency_key};
use crate::context::EntryContext;
use crate::directory::NamedWorkspace;
use crate::instruments::RequestLabels;
use crate::limit_table::ChargeGuard;
use crate::plain_relay::PlainRelay;
use crate::refusal::{bad_request, body_reply, not_found, unauthorized_reply};
use crate::response_channel::response_channel;
use bytes::{Buf, Bytes};
use futures::Stream;
use http::{HeaderMap, Method};
use lagoonlift_callers::OutcomeReply;
use lagoonlift_policy::Target;
use lagoonlift_types::{
    ClassName, KeyDigest, PlainRoute, RequestId, RouteAccess, RouteName, WorkspaceName,
};
use std::sync::Arc;
use tokio::time::Instant;
use warp::reply::Response;

/// Path prefix of all routes to plain services.
const ROUTES_PREFIX: &str = "/v1/services/";

/// A request to a plain service as it arrives.
#[derive(Clone, Debug)]
pub(crate) struct PlainRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: HeaderMap,
}

/// An accepted request to a plain service.
pub(crate) struct PlainJob {
    pub(crate) placement_request: PlacementRequest,
    pub(crate) workspace: WorkspaceName,
    pub(crate) class: ClassName,
    /// `None` on routes that need no key.
    pub(crate) key: Option<KeyDigest>,
    pub(crate) labels: RequestLabels,
    pub(crate) arrived: Instant,
    pub(crate) method: Method,
    /// Path and query at the service.
    pub(crate) service_path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Refunded on drop if nothing ran.
    pub(crate) charge: Option<ChargeGuard>,
    /// Present on non-idempotent requests with an `Idempotency-Key`.
    pub(crate) claim: Option<ClaimGuard>,
}

/// The components of a request's path.
struct RoutePath<'a> {
    workspace: WorkspaceName,
    route: RouteName,
    rest: &'a str,
}

/// Handles a request under `/v1/services/`.
pub(crate) async fn handle_plain<B: Buf>(
    context: Arc<EntryContext>,
    plain_request: PlainRequest,
    chunks: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    let arrived = Instant::now();
    let request = RequestId::new();
    match prepare_plain(&context, request, arrived, plain_request, chunks).await {
        Ok(job) => {
            let (sender, receiver) = response_channel(request, context.tuning.caller_stall_timeout);
            tokio::spawn(PlainRelay::new(context, job, sender).run());
            receiver.respond().await
        }
        Err(reply) => {
            context.count_refusal(reply.outcome.kind(), arrived);
            reply.into_response(request)
        }
    }
}

async fn prepare_plain<B: Buf>(
    context: &EntryContext,
    request: RequestId,
    arrived: Instant,
    plain_request: PlainRequest,
    chunks: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<PlainJob, OutcomeReply> {
    let route_path = parse_route_path(&plain_request.path)?;
    let (named_workspace, key) = authorize(context, &plain_request.headers, &route_path)?;
    let route = named_workspace.workspace.routes.get(&route_path.route);
    let route = route.ok_or_else(route_not_found)?;
    if !route.methods.contains(plain_request.method.as_str()) {
        return Err(bad_request("the route doesn't permit this method"));
    }
    let class = named_workspace.workspace.classes.get(&route.class);
    let class = class.ok_or_else(route_not_found)?;
    let body = read_body(chunks, context.body_limits)
        .await
        .map_err(body_reply)?;
    let charge = context.charge(&named_workspace.name, 0, 0)?;
    let service_path = build_service_path(route, route_path.rest, plain_request.query.as_deref());
    let claim = match idempotency_key(&plain_request.headers)? {
        Some(idempotency_key) if !class.idempotent => {
            let method = plain_request.method.as_str().as_bytes();
            let claim_request = ClaimRequest {
                workspace: named_workspace.name.clone(),
                idempotency_key,
                content: ContentDigest::of(&[method, service_path.as_bytes(), &body]),
            };
            Some(context.claim(claim_request, request).await?)
        }
        _ => None,
    };
    let placement_request = PlacementRequest {
        request,
        ticket: request,
        workspace: named_workspace.name.clone(),
        urgency: class.urgency,
        target: Target::Service(route.upstream.clone()),
        prompt_tokens: 0,
        max_output_tokens: 0,
        deadline: arrived + class.deadline,
        idempotent: class.idempotent,
        prefix: None,
    };
    Ok(PlainJob {
        placement_request,
        labels: RequestLabels::new(&named_workspace.name, &route.class),
        class: route.class.clone(),
        key,
        arrived,
        service_path,
        workspace: named_workspace.name,
        method: plain_request.method,
        headers: plain_request.headers,
        body,
        charge: Some(charge),
        claim,
    })
}

/// Returns the workspace and the caller's key, if the route needs one. A caller
/// without a valid key gets the same reply for a keyed and for a nonexistent
/// route.
fn authorize(
    context: &EntryContext,
    headers: &HeaderMap,
    route_path: &RoutePath<'_>,
) -> Result<(NamedWorkspace, Option<KeyDigest>), OutcomeReply> {
    let directory = context.directory.load();
    let named_workspace = directory.workspace_by_name(&route_path.workspace);
    let route = named_workspace
        .as_ref()
        .and_then(|named_workspace| named_workspace.workspace.routes.get(&route_path.route));
    let is_open = route.is_some_and(|route| route.access == RouteAccess::Open);
    let key = bearer_key(headers);
    match (named_workspace, key) {
        (Some(named_workspace), _) if is_open => Ok((named_workspace, None)),
        (Some(named_workspace), Some(key)) if directory.authorizes(&key, &named_workspace.name) => {
            Ok((named_workspace, Some(key)))
        }
        _ => Err(unauthorized_reply()),
    }
}

fn parse_route_path(path: &str) -> Result<RoutePath<'_>, OutcomeReply> {
    let rest = path
        .strip_prefix(ROUTES_PREFIX)
        .ok_or_else(route_not_found)?;
    let mut segments = rest.splitn(3, '/');
    let mut next = || segments.next().unwrap_or_default();
    let workspace = WorkspaceName::new(next()).map_err(|_| route_not_found())?;
    let route = RouteName::new(next()).map_err(|_| route_not_found())?;
    let rest = next();
    if escapes_route(rest) {
        return Err(bad_request("the path leaves its route"));
    }
    Ok(RoutePath {
        workspace,
        route,
        rest,
    })
}

/// Returns whether the path has a `.` or `..` segment, plain or escaped. Such a
/// path may leave its route after normalization by a URL parser or by a service
/// that decodes escaped slashes.
fn escapes_route(rest: &str) -> bool {
    let decoded = rest
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "\\");
    let mut segments = decoded.split(['/', '\\']);
    segments.any(|segment| matches!(segment, "." | ".."))
}

/// Returns the path and query of a request at the route's service.
fn build_service_path(route: &PlainRoute, rest: &str, query: Option<&str>) -> String {
    let base = route.path.trim_end_matches('/');
    let path = format!("{base}/{rest}");
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    }
}

fn route_not_found() -> OutcomeReply {
    not_found("there is no such route")
}
