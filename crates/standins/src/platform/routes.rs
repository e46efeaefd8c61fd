//! The HTTP routes of the platform's protocol.

use super::faults::FaultEffect;
use super::store::WriteCondition;
use super::{PlatformState, Shared};
use bytes::Bytes;
use futures::{StreamExt, stream};
use serde_json::{Value, json};
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};
use warp::http::{HeaderMap, Method, StatusCode};
use warp::path::FullPath;
use warp::reply::{Reply, Response};
use warp::{Filter, reply};

/// Longest time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Value of `retry-after` when a request to read weights is refused, in seconds.
const WEIGHT_RETRY_SECONDS: &str = "1";

/// A parsed HTTP request.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    path: String,
    query: QueryString,
    headers: HeaderMap,
    body: Bytes,
}

#[derive(Clone, Debug)]
struct QueryString(String);

impl QueryString {
    /// Returns a parameter's value. The value isn't unescaped, because the protocol's
    /// values contain no characters that need escaping.
    fn get(&self, name: &str) -> Option<&str> {
        self.0
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    fn number(&self, name: &str) -> u64 {
        self.get(name)
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }
}

/// A response before serialization.
struct CallResponse {
    status: StatusCode,
    body: Value,
}

impl CallResponse {
    fn new(status: StatusCode, body: Value) -> Self {
        Self { status, body }
    }

    fn ok(body: Value) -> Self {
        Self::new(StatusCode::OK, body)
    }

    fn refused(status: StatusCode) -> Self {
        Self::new(status, json!({ "error": status.to_string() }))
    }

    fn into_response(self) -> Response {
        let response = reply::with_status(reply::json(&self.body), self.status);
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => {
                reply::with_header(response, "retry-after", WEIGHT_RETRY_SECONDS).into_response()
            }
            _ => response.into_response(),
        }
    }
}

/// Serves requests until the task is aborted. While the platform is down, the
/// listener is closed.
pub(crate) async fn run_server(listener: TcpListener, shared: Arc<Shared>) {
    let addr = listener.local_addr();
    let mut listener = Some(listener);
    let mut up = shared.up.subscribe();
    loop {
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = warp::serve(routes(Arc::clone(&shared))).incoming(listener).run() => {}
                _ = up.wait_for(|up| !up) => {}
            }
        }
        if up.wait_for(|up| *up).await.is_err() {
            return;
        }
        if let Ok(addr) = addr {
            listener = TcpListener::bind(addr).await.ok();
        }
        tokio::task::yield_now().await;
    }
}

fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let query = warp::query::raw()
        .or(warp::any().map(String::new))
        .unify()
        .map(QueryString);
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .map(
            |method: Method,
             path: FullPath,
             query: QueryString,
             headers: HeaderMap,
             body: Bytes| {
                Call {
                    method,
                    path: path.as_str().to_owned(),
                    query,
                    headers,
                    body,
                }
            },
        )
        .and_then(move |call| respond(Arc::clone(&shared), call))
}

/// Executes the call in a separate task, so that it takes effect even if its caller
/// disconnects.
async fn respond(shared: Arc<Shared>, call: Call) -> Result<Response, Infallible> {
    let response = tokio::spawn(execute_with_faults(shared, call)).await;
    Ok(match response {
        Ok(Some(response)) => response.into_response(),
        Ok(None) | Err(_) => truncated_response(),
    })
}

/// Returns a response whose connection is aborted after the status and the first byte
/// of the body.
fn truncated_response() -> Response {
    let first_part = stream::iter([Ok(Bytes::from_static(b"{"))]);
    let abort = stream::once(async {
        tokio::task::yield_now().await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    reply::stream(first_part.chain(abort)).into_response()
}

async fn execute_with_faults(shared: Arc<Shared>, call: Call) -> Option<CallResponse> {
    let is_write = call.method != Method::GET;
    let effects = shared.state().faults.effects(&call.path, is_write);
    for effect in &effects {
        if let FaultEffect::Delay(delay) = effect {
            sleep(*delay).await;
        }
    }
    if !shared.is_up() || effects.contains(&FaultEffect::LoseRequest) {
        return None;
    }
    let response = execute(&shared, &call).await;
    let is_lost = effects.contains(&FaultEffect::LoseAnswer) || !shared.is_up();
    (!is_lost).then_some(response)
}

async fn execute(shared: &Shared, call: &Call) -> CallResponse {
    if call.path == "/standin/usage-reports" {
        return CallResponse::ok(json!(shared.state().usage_reports));
    }
    let token = bearer_token(&call.headers);
    let Some(token) = token else {
        return CallResponse::refused(StatusCode::UNAUTHORIZED);
    };
    let object_key = call.path.strip_prefix("/objects/");
    match (call.method.as_str(), call.path.as_str(), object_key) {
        ("GET", _, Some(key)) => read_object(&mut shared.state(), key),
        ("PUT" | "DELETE", _, Some(key)) => write_object(shared, call, key, token),
        ("GET", "/objects", _) => list_objects(&mut shared.state(), call),
        ("GET", "/watch", _) => watch_objects(shared, call).await,
        ("GET", "/fleet", _) => read_fleet(&mut shared.state()),
        ("POST", "/usage-reports", _) => accept_usage_report(&mut shared.state(), call),
        ("POST", "/upstream-orders", _) => accept_upstream_order(&mut shared.state(), call),
        ("POST", "/weights", _) => grant_weights(&mut shared.state(), call),
        _ => CallResponse::refused(StatusCode::NOT_FOUND),
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn read_object(state: &mut PlatformState, key: &str) -> CallResponse {
    state.calls.reads += 1;
    match state.store.get(key) {
        Some(object) => CallResponse::ok(json!(object)),
        None => CallResponse::refused(StatusCode::NOT_FOUND),
    }
}

fn list_objects(state: &mut PlatformState, call: &Call) -> CallResponse {
    state.calls.reads += 1;
    let prefix = call.query.get("prefix").unwrap_or("");
    let objects = state.store.list(prefix);
    CallResponse::ok(json!({ "version": state.store.version(), "objects": objects }))
}

fn write_object(shared: &Shared, call: &Call, key: &str, token: &str) -> CallResponse {
    let mut state = shared.state();
    state.calls.writes += 1;
    let is_permitted = |permit: &super::WritePermit| {
        permit.token == token && key.starts_with(permit.prefix.as_str())
    };
    if !state.permits.is_empty() && !state.permits.iter().any(is_permitted) {
        return CallResponse::refused(StatusCode::FORBIDDEN);
    }
    let Some(condition) = write_condition(&call.headers) else {
        return CallResponse::refused(StatusCode::PRECONDITION_REQUIRED);
    };
    let written = match (&call.method, serde_json::from_slice(&call.body)) {
        (&Method::DELETE, _) => state.store.delete_if(key, condition),
        (_, Ok(value)) => state.store.put_if(key, value, condition),
        (_, Err(_)) => return CallResponse::refused(StatusCode::BAD_REQUEST),
    };
    match written {
        Ok(version) => {
            shared.set_version(version);
            CallResponse::ok(json!({ "version": version }))
        }
        Err(Some(current)) => CallResponse::new(
            StatusCode::PRECONDITION_FAILED,
            json!({ "current": current }),
        ),
        Err(None) => CallResponse::new(StatusCode::PRECONDITION_FAILED, json!({})),
    }
}

fn write_condition(headers: &HeaderMap) -> Option<WriteCondition> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    match (text("if-none-match"), text("if-match")) {
        (Some("*"), None) => Some(WriteCondition::Absent),
        (None, Some(version)) => {
            let version = version.trim_matches('"').parse().ok()?;
            Some(WriteCondition::Version(version))
        }
        _ => None,
    }
}

async fn watch_objects(shared: &Shared, call: &Call) -> CallResponse {
    shared.state().calls.watches += 1;
    let prefix = call.query.get("prefix").unwrap_or("");
    let after = call.query.number("after");
    let wait = Duration::from_millis(call.query.number("wait_ms")).min(MAX_WATCH_WAIT);
    let deadline = Instant::now() + wait;
    let mut versions = shared.subscribe();
    let mut up = shared.up.subscribe();
    loop {
        versions.mark_unchanged();
        let (version, changes) = {
            let state = shared.state();
            (state.store.version(), state.store.changes(prefix, after))
        };
        if !changes.is_empty() {
            return CallResponse::ok(json!({ "version": version, "changes": changes }));
        }
        let is_woken = tokio::select! {
            result = timeout_at(deadline, versions.changed()) => result.is_ok(),
            _ = up.wait_for(|up| !up) => false,
        };
        if !is_woken {
            return CallResponse::ok(json!({ "version": version, "changes": [] }));
        }
    }
}

fn read_fleet(state: &mut PlatformState) -> CallResponse {
    state.calls.fleet_lists += 1;
    CallResponse::ok(state.fleet.visible())
}

fn accept_usage_report(state: &mut PlatformState, call: &Call) -> CallResponse {
    state.calls.usage_reports += 1;
    match serde_json::from_slice(&call.body) {
        Ok(report) => {
            state.usage_reports.push(report);
            CallResponse::ok(json!({}))
        }
        Err(_) => CallResponse::refused(StatusCode::BAD_REQUEST),
    }
}

fn accept_upstream_order(state: &mut PlatformState, call: &Call) -> CallResponse {
    state.calls.upstream_orders += 1;
    match serde_json::from_slice::<Value>(&call.body) {
        Ok(order) => {
            let id = order["id"].clone();
            state.upstream_orders.push(order);
            CallResponse::ok(json!({ "id": id }))
        }
        Err(_) => CallResponse::refused(StatusCode::BAD_REQUEST),
    }
}

fn grant_weights(state: &mut PlatformState, call: &Call) -> CallResponse {
    state.calls.weight_requests += 1;
    let Ok(request) = serde_json::from_slice::<Value>(&call.body) else {
        return CallResponse::refused(StatusCode::BAD_REQUEST);
    };
    state.weight_requests.push(request);
    let ticket = format!("ticket-{}", state.weight_requests.len());
    match &mut state.weight_budget {
        Some(0) => CallResponse::refused(StatusCode::TOO_MANY_REQUESTS),
        Some(budget) => {
            *budget -= 1;
            CallResponse::ok(json!({ "ticket": ticket }))
        }
        None => CallResponse::ok(json!({ "ticket": ticket })),
    }
}
