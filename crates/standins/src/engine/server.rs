//! The engine's HTTP server: completions, load reports, orders, cache events and
//! KV cache handles.

use super::cache::{CacheEvents, EventsQuery};
use super::cancellation::CancelRegistry;
use super::execution::ExecutionLog;
use super::faults::EngineFaults;
use super::orders::{Order, OrderRefusal, OrderRegistry};
use super::stream::{CompletionRun, EngineSpeed};
use crate::server::StandinServer;
use lagoonlift_types::{FencingSupport, ModelName, UpstreamRole};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::{Reply, Response};
use warp::{Filter, reply};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Models loaded at the start.
    pub models: BTreeSet<ModelName>,
    /// Role at the start.
    pub role: UpstreamRole,
    /// Whether orders with stale fencing tokens are refused.
    pub fencing: FencingSupport,
    /// Number of requests that may run concurrently; further requests get status 429.
    pub max_streams: u32,
    /// Time to prefill one piece (`TOKENS_PER_PIECE` tokens) of a prompt.
    pub prefill_per_piece: Duration,
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Time that the execution of an order takes.
    pub order_duration: Duration,
}

impl EngineConfig {
    /// Returns settings for an engine in the mixed role that checks fencing tokens
    /// and generates tokens without delay.
    pub fn new(models: BTreeSet<ModelName>) -> Self {
        Self {
            models,
            role: UpstreamRole::Mixed,
            fencing: FencingSupport::Checked,
            max_streams: 256,
            prefill_per_piece: Duration::ZERO,
            token_interval: Duration::ZERO,
            order_duration: Duration::from_millis(50),
        }
    }
}

/// State shared by the request handlers and [`EngineStandin`].
#[derive(Clone, Debug)]
pub(crate) struct EngineShared {
    pub(crate) log: ExecutionLog,
    pub(crate) faults: EngineFaults,
    pub(crate) orders: OrderRegistry,
    pub(crate) active: Arc<AtomicU32>,
    pub(crate) backlog_tokens: Arc<AtomicU64>,
    pub(crate) cache: CacheEvents,
    pub(crate) cancels: CancelRegistry,
    pub(crate) config: EngineConfig,
}

/// A running engine. Dropping it closes all its connections.
#[derive(Debug)]
pub struct EngineStandin {
    shared: EngineShared,
    server: StandinServer,
}

impl EngineStandin {
    /// Starts an engine on `listen`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(listen: SocketAddr, config: EngineConfig) -> io::Result<Self> {
        let orders = OrderRegistry::new(config.role, config.models.clone(), config.fencing);
        let shared = EngineShared {
            log: ExecutionLog::default(),
            faults: EngineFaults::default(),
            orders,
            active: Arc::default(),
            backlog_tokens: Arc::default(),
            cache: CacheEvents::default(),
            cancels: CancelRegistry::default(),
            config,
        };
        let server = StandinServer::start(listen, routes(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the execution log.
    pub fn log(&self) -> &ExecutionLog {
        &self.shared.log
    }

    /// Returns the queue of faults to inject.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Returns all orders that the engine accepted, oldest first.
    pub fn accepted_orders(&self) -> Vec<Order> {
        self.shared.orders.accepted()
    }

    /// Returns the state that the engine reports at `/state`.
    pub fn state(&self) -> super::EngineState {
        self.shared.orders.engine()
    }

    /// Raises the reported prefill backlog by this many tokens without adding work.
    pub fn add_reported_backlog(&self, tokens: u64) {
        let backlog = &self.shared.backlog_tokens;
        backlog.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Closes all connections, stops listening and marks the open order as failed.
    ///
    /// Clients can't read the failed order before [`Self::restart`], because the
    /// server has stopped by then.
    pub fn crash(&mut self) {
        self.server.stop();
        self.shared.orders.fail_open();
        self.shared.active.store(0, Ordering::Relaxed);
    }

    /// Starts the server again on the same address after a crash.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound, for instance because another process
    /// has bound it in the meantime.
    pub fn restart(&mut self) -> io::Result<()> {
        let addr = self.server.addr();
        self.server = StandinServer::start(addr, routes(self.shared.clone()))?;
        Ok(())
    }
}

fn routes(
    shared: EngineShared,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let state = warp::any().map(move || shared.clone());
    let completions = warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(state.clone())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .then(complete);
    let load = warp::path!("load")
        .and(warp::get())
        .and(state.clone())
        .map(|shared: EngineShared| reply::json(&load_report(&shared)));
    let engine = warp::path!("state")
        .and(warp::get())
        .and(state.clone())
        .map(|shared: EngineShared| reply::json(&shared.orders.engine()));
    let submit = warp::path!("orders")
        .and(warp::post())
        .and(state.clone())
        .and(warp::body::json())
        .then(|shared, order| async move { submit_order(shared, order) });
    let order = warp::path!("orders" / String)
        .and(warp::get())
        .and(state.clone())
        .map(order_state);
    let events = warp::path!("cache-events")
        .and(warp::get())
        .and(state.clone())
        .and(warp::query::<EventsQuery>())
        .map(|shared: EngineShared, query| reply::json(&shared.cache.after(query)));
    let cancel = warp::path!("v1" / "requests" / String)
        .and(warp::delete())
        .and(state.clone())
        .map(
            |request: String, shared: EngineShared| match shared.cancels.cancel(&request) {
                true => StatusCode::ACCEPTED,
                false => StatusCode::NOT_FOUND,
            },
        );
    let export = warp::path!("kv" / "export")
        .and(warp::post())
        .and(warp::body::json())
        .map(|body: Value| reply::json(&json!({ "handle": body["request_id"] })));
    let import = warp::path!("kv" / "import")
        .and(warp::post())
        .and(warp::body::json())
        .map(|body: Value| reply::json(&json!({ "handle": body["handle"] })));
    let log = warp::path!("standin" / "log")
        .and(warp::get())
        .and(state.clone())
        .map(|shared: EngineShared| reply::json(&shared.log.snapshot()));
    let fault = warp::path!("standin" / "faults")
        .and(warp::post())
        .and(state)
        .and(warp::body::json())
        .map(|shared: EngineShared, fault| {
            shared.faults.push(fault);
            StatusCode::NO_CONTENT
        });
    let control = log.or(fault);
    let kv = export.or(import);
    completions
        .or(load)
        .or(engine)
        .or(submit)
        .or(order)
        .or(events)
        .or(cancel)
        .or(kv)
        .or(control)
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
}

async fn complete(shared: EngineShared, headers: HeaderMap, body: Value) -> Response {
    let speed = EngineSpeed {
        prefill_per_piece: shared.config.prefill_per_piece,
        token_interval: shared.config.token_interval,
    };
    CompletionRun::new(shared, &headers, &body, speed)
        .respond()
        .await
}

fn load_report(shared: &EngineShared) -> Value {
    let engine = shared.orders.engine();
    let active = shared.active.load(Ordering::Relaxed);
    json!({
        "prefill_backlog_tokens": shared.backlog_tokens.load(Ordering::Relaxed),
        "active_streams": active,
        "kv_used": f64::from(active) / f64::from(shared.config.max_streams),
        "role": engine.role,
        "models": engine.models,
        "age_ms": 0,
    })
}

fn submit_order(shared: EngineShared, order: Order) -> Response {
    let refusal = shared.orders.submit(order, shared.config.order_duration);
    let (status, reason) = match refusal {
        Ok(()) => (StatusCode::ACCEPTED, "accepted"),
        Err(OrderRefusal::StaleFencing) => (StatusCode::CONFLICT, "stale-fencing"),
        Err(OrderRefusal::AnotherOpen) => (StatusCode::CONFLICT, "another-open"),
    };
    let body = json!({ "result": reason });
    reply::with_status(reply::json(&body), status).into_response()
}

fn order_state(id: String, shared: EngineShared) -> Response {
    match shared.orders.state_of(&id) {
        Some(state) => reply::json(&json!({ "state": state })).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
