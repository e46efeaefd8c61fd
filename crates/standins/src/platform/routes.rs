//! The platform's protocol over HTTP.

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

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// When a caller may come back for weights, in seconds.
const WEIGHT_RETRY_SECONDS: &str = "1";

/// A call, taken apart.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    path: String,
    query: QueryText,
    headers: HeaderMap,
    body: Bytes,
}

#[derive(Clone, Debug)]
struct QueryText(String);

impl QueryText {
    /// Returns a parameter; the protocol's values need no escaping.
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

/// An answer before it is put on the wire.
struct Answer {
    status: StatusCode,
    body: Value,
}

impl Answer {
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

/// Serves until aborted; the listener is away while the platform is down.
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
        .map(QueryText);
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .map(
            |method: Method, path: FullPath, query: QueryText, headers: HeaderMap, body: Bytes| {
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

/// Answers in a task of its own: a call takes effect even if its caller goes.
async fn respond(shared: Arc<Shared>, call: Call) -> Result<Response, Infallible> {
    let answer = tokio::spawn(answer_with_faults(shared, call)).await;
    Ok(match answer {
        Ok(Some(answer)) => answer.into_response(),
        Ok(None) | Err(_) => broken_response(),
    })
}

/// Ends the connection in the middle of the answer's body, after its status.
fn broken_response() -> Response {
    let beginning = stream::iter([Ok(Bytes::from_static(b"{"))]);
    let end = stream::once(async {
        tokio::task::yield_now().await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    reply::stream(beginning.chain(end)).into_response()
}

async fn answer_with_faults(shared: Arc<Shared>, call: Call) -> Option<Answer> {
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
    let answer = answer(&shared, &call).await;
    let is_lost = effects.contains(&FaultEffect::LoseAnswer) || !shared.is_up();
    (!is_lost).then_some(answer)
}

async fn answer(shared: &Shared, call: &Call) -> Answer {
    if call.path == "/standin/usage-reports" {
        return Answer::ok(json!(shared.state().usage_reports));
    }
    let token = bearer_token(&call.headers);
    let Some(token) = token else {
        return Answer::refused(StatusCode::UNAUTHORIZED);
    };
    let object_key = call.path.strip_prefix("/objects/");
    match (call.method.as_str(), call.path.as_str(), object_key) {
        ("GET", _, Some(key)) => read_object(&mut shared.state(), key),
        ("PUT" | "DELETE", _, Some(key)) => write_object(shared, call, key, token),
        ("GET", "/objects", _) => list_objects(&mut shared.state(), call),
        ("GET", "/watch", _) => watch_objects(shared, call).await,
        ("GET", "/fleet", _) => read_fleet(&mut shared.state()),
        ("POST", "/usage-reports", _) => accept_usage(&mut shared.state(), call),
        ("POST", "/upstream-orders", _) => accept_order(&mut shared.state(), call),
        ("POST", "/weights", _) => grant_weights(&mut shared.state(), call),
        _ => Answer::refused(StatusCode::NOT_FOUND),
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn read_object(state: &mut PlatformState, key: &str) -> Answer {
    state.calls.reads += 1;
    match state.store.get(key) {
        Some(object) => Answer::ok(json!(object)),
        None => Answer::refused(StatusCode::NOT_FOUND),
    }
}

fn list_objects(state: &mut PlatformState, call: &Call) -> Answer {
    state.calls.reads += 1;
    let prefix = call.query.get("prefix").unwrap_or("");
    let objects = state.store.list(prefix);
    Answer::ok(json!({ "version": state.store.version(), "objects": objects }))
}

fn write_object(shared: &Shared, call: &Call, key: &str, token: &str) -> Answer {
    let mut state = shared.state();
    state.calls.writes += 1;
    let is_permitted = |permit: &super::WritePermit| {
        permit.token == token && key.starts_with(permit.prefix.as_str())
    };
    if !state.permits.is_empty() && !state.permits.iter().any(is_permitted) {
        return Answer::refused(StatusCode::FORBIDDEN);
    }
    let Some(condition) = write_condition(&call.headers) else {
        return Answer::refused(StatusCode::PRECONDITION_REQUIRED);
    };
    let written = match (&call.method, serde_json::from_slice(&call.body)) {
        (&Method::DELETE, _) => state.store.delete_if(key, condition),
        (_, Ok(value)) => state.store.put_if(key, value, condition),
        (_, Err(_)) => return Answer::refused(StatusCode::BAD_REQUEST),
    };
    match written {
        Ok(version) => {
            shared.announce(version);
            Answer::ok(json!({ "version": version }))
        }
        Err(Some(current)) => Answer::new(
            StatusCode::PRECONDITION_FAILED,
            json!({ "current": current }),
        ),
        Err(None) => Answer::new(StatusCode::PRECONDITION_FAILED, json!({})),
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

async fn watch_objects(shared: &Shared, call: &Call) -> Answer {
    shared.state().calls.watches += 1;
    let prefix = call.query.get("prefix").unwrap_or("");
    let after = call.query.number("after");
    let wait = Duration::from_millis(call.query.number("wait_ms")).min(MAX_WAIT);
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
            return Answer::ok(json!({ "version": version, "changes": changes }));
        }
        let woken = tokio::select! {
            woken = timeout_at(deadline, versions.changed()) => woken.is_ok(),
            _ = up.wait_for(|up| !up) => false,
        };
        if !woken {
            return Answer::ok(json!({ "version": version, "changes": [] }));
        }
    }
}

fn read_fleet(state: &mut PlatformState) -> Answer {
    state.calls.fleet_lists += 1;
    Answer::ok(state.fleet.visible())
}

fn accept_usage(state: &mut PlatformState, call: &Call) -> Answer {
    state.calls.usage_reports += 1;
    match serde_json::from_slice(&call.body) {
        Ok(report) => {
            state.usage_reports.push(report);
            Answer::ok(json!({}))
        }
        Err(_) => Answer::refused(StatusCode::BAD_REQUEST),
    }
}

fn accept_order(state: &mut PlatformState, call: &Call) -> Answer {
    state.calls.upstream_orders += 1;
    match serde_json::from_slice::<Value>(&call.body) {
        Ok(order) => {
            let id = order["id"].clone();
            state.upstream_orders.push(order);
            Answer::ok(json!({ "id": id }))
        }
        Err(_) => Answer::refused(StatusCode::BAD_REQUEST),
    }
}

fn grant_weights(state: &mut PlatformState, call: &Call) -> Answer {
    state.calls.weight_requests += 1;
    let Ok(request) = serde_json::from_slice::<Value>(&call.body) else {
        return Answer::refused(StatusCode::BAD_REQUEST);
    };
    state.weight_requests.push(request);
    let ticket = format!("ticket-{}", state.weight_requests.len());
    match &mut state.weight_budget {
        Some(0) => Answer::refused(StatusCode::TOO_MANY_REQUESTS),
        Some(budget) => {
            *budget -= 1;
            Answer::ok(json!({ "ticket": ticket }))
        }
        None => Answer::ok(json!({ "ticket": ticket })),
    }
}
