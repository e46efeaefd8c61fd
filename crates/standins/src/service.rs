//! A plain service behind HTTP: answers, and logs what it was asked.

use crate::server::StandinServer;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic;
use std::sync::{Arc, Mutex, PoisonError};
use warp::http::{HeaderMap, Method, StatusCode, header};
use warp::path::FullPath;
use warp::reply::{self, Reply, Response};
use warp::{Filter, filters};

/// One call that reached the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body, as text.
    pub body: String,
    /// `x-request-id`, or empty.
    pub request: String,
    /// Whether a bearer key came with it.
    pub had_key: bool,
}

/// A fault that hits one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Run the call, then close the connection without an answer.
    LoseAnswer,
    /// Run the call and answer 500.
    ServerError,
    /// Keep the connection open and never answer.
    Silent,
}

#[derive(Clone, Debug, Default)]
struct ServiceShared {
    calls: Arc<Mutex<Vec<ServiceCall>>>,
    faults: Arc<Mutex<Vec<ServiceFault>>>,
}

/// A running plain service. Dropping it breaks all its connections.
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
    /// Fails when the address can't be listened on.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let shared = ServiceShared::default();
        let server = StandinServer::start(listen, routes(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns a copy of all calls, oldest first.
    pub fn calls(&self) -> Vec<ServiceCall> {
        lock(&self.shared.calls).clone()
    }

    /// Adds a fault that hits one later call.
    pub fn push_fault(&self, fault: ServiceFault) {
        lock(&self.shared.faults).insert(0, fault);
    }

    /// Breaks all connections and stops listening.
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
    let any = state
        .and(warp::method())
        .and(filters::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(answer);
    calls
        .or(any)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST.into_response()) })
        .unify()
}

async fn answer(
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
        // Unwinding ends the connection's task, which closes the connection.
        Some(ServiceFault::LoseAnswer) => panic::resume_unwind(Box::new("answer lost")),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
