//! A call of a plain service: from its path to a job for the relay.

use crate::admission::PlacementRequest;
use crate::body::read_body;
use crate::chat::bearer_key;
use crate::claim::ContentDigest;
use crate::claim_hold::{ClaimHold, ClaimWish, idempotency_key};
use crate::context::EntryContext;
use crate::delivery::answer_channel;
use crate::directory::Member;
use crate::instruments::RequestLabels;
use crate::limit_table::HeldCharge;
use crate::plain_relay::PlainRelay;
use crate::refusal::{bad_request, body_reply, not_found, unauthorized_reply};
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

/// Path under which all routes stand.
const ROUTES_PATH: &str = "/v1/services/";

/// A call as it arrives.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: HeaderMap,
}

/// One accepted call.
pub(crate) struct PlainJob {
    pub(crate) facts: PlacementRequest,
    pub(crate) workspace: WorkspaceName,
    pub(crate) class: ClassName,
    /// `None` on routes that are open to all.
    pub(crate) key: Option<KeyDigest>,
    pub(crate) labels: RequestLabels,
    pub(crate) arrived: Instant,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Given back if nothing runs.
    pub(crate) charge: Option<HeldCharge>,
    /// Held by requests that may not be repeated and name a key.
    pub(crate) claim: Option<ClaimHold>,
}

/// A path cut into its parts.
struct RoutePath<'a> {
    workspace: WorkspaceName,
    route: RouteName,
    rest: &'a str,
}

/// Answers a call under `/v1/services/`.
pub(crate) async fn answer_plain<B: Buf>(
    context: Arc<EntryContext>,
    call: PlainCall,
    parts: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    let arrived = Instant::now();
    let request = RequestId::new();
    match accept_plain(&context, request, arrived, call, parts).await {
        Ok(job) => {
            let (sender, receiver) = answer_channel(request, context.tuning.caller_stall_limit);
            tokio::spawn(PlainRelay::new(context, job, sender).run());
            receiver.respond().await
        }
        Err(reply) => {
            context.count_refusal(reply.outcome.kind(), arrived);
            reply.into_response(request)
        }
    }
}

async fn accept_plain<B: Buf>(
    context: &EntryContext,
    request: RequestId,
    arrived: Instant,
    call: PlainCall,
    parts: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<PlainJob, OutcomeReply> {
    let path = route_path(&call.path)?;
    let (member, key) = admit(context, &call.headers, &path)?;
    let route = member.workspace.routes.get(&path.route);
    let route = route.ok_or_else(no_route)?;
    if !route.methods.contains(call.method.as_str()) {
        return Err(bad_request("the route doesn't permit this method"));
    }
    let class = member.workspace.classes.get(&route.class);
    let class = class.ok_or_else(no_route)?;
    let body = read_body(parts, context.body_limits)
        .await
        .map_err(body_reply)?;
    let charge = context.charge(&member.name, 0, 0)?;
    let path_at_service = service_path(route, path.rest, call.query.as_deref());
    let claim = match idempotency_key(&call.headers)? {
        Some(idempotency_key) if !class.idempotent => {
            let method = call.method.as_str().as_bytes();
            let wish = ClaimWish {
                workspace: member.name.clone(),
                idempotency_key,
                content: ContentDigest::of(&[method, path_at_service.as_bytes(), &body]),
            };
            Some(context.claim(wish, request).await?)
        }
        _ => None,
    };
    let facts = PlacementRequest {
        request,
        workspace: member.name.clone(),
        urgency: class.urgency,
        target: Target::Service(route.upstream.clone()),
        prompt_tokens: 0,
        max_output_tokens: 0,
        deadline: arrived + class.deadline,
        idempotent: class.idempotent,
        prefix: None,
    };
    Ok(PlainJob {
        facts,
        labels: RequestLabels::new(&member.name, &route.class),
        class: route.class.clone(),
        key,
        arrived,
        path: path_at_service,
        workspace: member.name,
        method: call.method,
        headers: call.headers,
        body,
        charge: Some(charge),
        claim,
    })
}

/// Finds the workspace, and the key that proves the caller to belong to it. A
/// caller without a key learns of a keyed route only that it needs one.
fn admit(
    context: &EntryContext,
    headers: &HeaderMap,
    path: &RoutePath<'_>,
) -> Result<(Member, Option<KeyDigest>), OutcomeReply> {
    let directory = context.directory.load();
    let member = directory.workspace(&path.workspace);
    let route = member
        .as_ref()
        .and_then(|member| member.workspace.routes.get(&path.route));
    let is_open = route.is_some_and(|route| route.access == RouteAccess::Open);
    let key = bearer_key(headers);
    match (member, key) {
        (Some(member), _) if is_open => Ok((member, None)),
        (Some(member), Some(key)) if directory.admits(&key, &member.name) => {
            Ok((member, Some(key)))
        }
        _ => Err(unauthorized_reply()),
    }
}

fn route_path(path: &str) -> Result<RoutePath<'_>, OutcomeReply> {
    let rest = path.strip_prefix(ROUTES_PATH).ok_or_else(no_route)?;
    let mut parts = rest.splitn(3, '/');
    let mut next = || parts.next().unwrap_or_default();
    let workspace = WorkspaceName::new(next()).map_err(|_| no_route())?;
    let route = RouteName::new(next()).map_err(|_| no_route())?;
    let rest = next();
    if leaves_route(rest) {
        return Err(bad_request("the path leaves its route"));
    }
    Ok(RoutePath {
        workspace,
        route,
        rest,
    })
}

/// Returns whether a URL parser, or a service that decodes escaped slashes,
/// would take the path out of the route.
fn leaves_route(rest: &str) -> bool {
    let decoded = rest
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "\\");
    let mut segments = decoded.split(['/', '\\']);
    segments.any(|segment| matches!(segment, "." | ".."))
}

fn service_path(route: &PlainRoute, rest: &str, query: Option<&str>) -> String {
    let base = route.path.trim_end_matches('/');
    let path = format!("{base}/{rest}");
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    }
}

fn no_route() -> OutcomeReply {
    not_found("there is no such route")
}
