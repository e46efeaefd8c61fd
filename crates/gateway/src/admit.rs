//! Admission of a request: finds its route and workspace and reads its body.

use crate::reply::Refusal;
use crate::send::OutgoingRequest;
use crate::state::GatewayState;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use lagoonlift_adapter::caller::CallerRequest;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{Route, ServingConfig};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// `Retry-After` of a refusal by a host whose configuration isn't confirmed to be
/// current. The next read of the store is due earlier than that.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Range of the urgency that upstreams accept, from most to least urgent.
const URGENCY_RANKS: std::ops::RangeInclusive<u32> = 0..=9;

/// A request that may be sent to an upstream.
pub(crate) struct Admitted {
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) route: Route,
    pub(crate) service: String,
    /// Latest time for the response to the caller.
    pub(crate) deadline: Timestamp,
}

/// Route and service of a request, and the workspace that it belongs to.
struct Target {
    route: Route,
    service: String,
    workspace: Option<String>,
    urgency: u32,
}

/// Finds the route and the workspace of a request and reads its body. The
/// refusal is the response to the caller if the request can't be admitted.
pub(crate) async fn admit(
    state: &GatewayState,
    mut request: CallerRequest,
    body: Incoming,
    arrived: Timestamp,
) -> Result<Admitted, Refusal> {
    let config = state.config().ok_or(undecided("no configuration yet"))?;
    let target = find_target(state, &config, &request, arrived)?;
    if config.has_workspaces() {
        request.remove_key();
    }
    let wait = match request.deadline {
        Some(deadline) => deadline.min(target.route.timeout),
        None => target.route.timeout,
    };
    let body = read_body(body, config.limits().max_body_bytes).await?;
    Ok(Admitted {
        outgoing: OutgoingRequest {
            request,
            body,
            workspace: target.workspace,
            urgency: target
                .urgency
                .clamp(*URGENCY_RANKS.start(), *URGENCY_RANKS.end()) as u8,
        },
        route: target.route,
        service: target.service,
        deadline: arrived + wait,
    })
}

fn find_target(
    state: &GatewayState,
    config: &Rc<ServingConfig>,
    request: &CallerRequest,
    now: Timestamp,
) -> Result<Target, Refusal> {
    let confirmation = state.confirmation();
    let deny = |status, reason| match confirmation.can_report_absence(now) {
        true => Refusal::invalid(status, reason),
        false => undecided("configuration not proven current"),
    };
    let route = config
        .find_route(&request.host, request.target.path())
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
    Ok(Target {
        service: choose_service(route).ok_or(undecided("the route has no service"))?,
        workspace: workspace.map(|workspace| workspace.name.clone()),
        urgency: urgency.unwrap_or(route.urgency),
        route: route.clone(),
    })
}

/// Draws one of the route's services at random, in proportion to their weights.
fn choose_service(route: &Route) -> Option<String> {
    let total: f64 = route.services.iter().map(|one| one.weight).sum();
    let mut drawn = rand::rng().random::<f64>() * total;
    for share in &route.services {
        drawn -= share.weight;
        if drawn < 0.0 {
            return Some(share.service.clone());
        }
    }
    let heaviest = |share: &&lagoonlift_policy::dispatch::ServiceWeight| share.weight > 0.0;
    route
        .services
        .iter()
        .rev()
        .find(heaviest)
        .map(|share| share.service.clone())
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )
        .closing_connection()),
        Err(_) => Err(
            Refusal::invalid(StatusCode::BAD_REQUEST, "the body broke off").closing_connection(),
        ),
    }
}

/// Returns a refusal by a host that can't decide now. It closes the connection so
/// that the caller's retry may reach another host.
fn undecided(reason: &'static str) -> Refusal {
    Refusal::not_run(reason, UNDECIDED_RETRY_AFTER).closing_connection()
}
