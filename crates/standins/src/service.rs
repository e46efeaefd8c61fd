//! A stand-in for a plain service over HTTP, with a log of its calls and faults.

use crate::server::StandinServer;
use bytes::Bytes;
use futures::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;
use warp::http::{HeaderMap, Method, StatusCode, header};
use warp::path::FullPath;
use warp::reply::{self, Reply, Response};
use warp::{Filter, filters};

/// One call that reached the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path of the request, without the query.
    pub path: String,
    /// Request body as text; bytes that aren't UTF-8 are replaced.
    pub body: String,
    /// Value of the header `x-request-id`, or an empty string.
    pub request: String,
    /// Whether the request had an `authorization` header.
    pub had_key: bool,
}

/// A fault that affects one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Execute the call, then close the connection without a response.
    LoseAnswer,
    /// Execute the call and respond with status 500.
    ServerError,
    /// Execute the call, keep the connection open and never respond.
    Silent,
    /// Execute the call and respond after this time.
    Delay(Duration),
    /// Execute the call, send the first byte of the body and the rest after this time.
    PauseInBody(Duration),
}

#[derive(Clone, Debug, Default)]
struct ServiceShared {
    calls: Arc<Mutex<Vec<ServiceCall>>>,
    faults: Arc<Mutex<Vec<ServiceFault>>>,
}

/// A running plain service. Dropping it closes all its connections.
#[derive(Debug)]
pub struct ServiceStandin {
    shared: ServiceShared,
    server: StandinServer,
}

impl ServiceStandin {
    /// Starts a service on `listen`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let shared = ServiceShared::default();
        let server = StandinServer::start(listen, routes(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns a copy of all calls, oldest first.
    pub fn calls(&self) -> Vec<ServiceCall> {
        lock(&self.shared.calls).clone()
    }

    /// Queues a fault for one later call.
    pub fn push_fault(&self, fault: ServiceFault) {
        lock(&self.shared.faults).insert(0, fault);
    }

    /// Closes all connections and stops listening; the port stays bound.
    pub fn crash(&mut self) {
        self.server.stop();
    }
}

fn routes(
    shared: ServiceShared,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static {
    let state = warp::any().map(move || shared.clone());
    let calls = warp::path!("standin" / "calls")
        .and(warp::get())
        .and(state.clone())
        .map(|shared: ServiceShared| reply::json(&*lock(&shared.calls)).into_response());
    let any_path = state
        .and(warp::method())
        .and(filters::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(handle_call);
    calls
        .or(any_path)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST.into_response()) })
        .unify()
}

async fn handle_call(
    shared: ServiceShared,
    method: Method,
    path: FullPath,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let request = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    let call = ServiceCall {
        method: method.to_string(),
        path: path.as_str().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
        request: request.unwrap_or_default().to_owned(),
        had_key: headers.contains_key(header::AUTHORIZATION),
    };
    let text = format!("{} {} {}\n", call.method, call.path, call.body);
    lock(&shared.calls).push(call);
    let fault = lock(&shared.faults).pop();
    match fault {
        None => text.into_response(),
        Some(ServiceFault::ServerError) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Some(ServiceFault::Silent) => std::future::pending().await,
        Some(ServiceFault::Delay(delay)) => {
            sleep(delay).await;
            text.into_response()
        }
        Some(ServiceFault::PauseInBody(pause)) => respond_with_pause(text.into(), pause),
        // Unwinding ends the connection's task, which closes the connection without
        // a response.
        Some(ServiceFault::LoseAnswer) => panic::resume_unwind(Box::new("response lost")),
    }
}

/// Returns a response that pauses after the first byte of its body.
fn respond_with_pause(mut body: Bytes, pause: Duration) -> Response {
    let first = body.split_to(body.len().min(1));
    let rest = stream::once(async move {
        sleep(pause).await;
        body
    });
    let chunks = stream::iter([first]).chain(rest).map(Ok::<_, Infallible>);
    reply::stream(chunks).into_response()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
