//! The HTTP listener for callers.
//!
//! warp provides the routes. The accept loop is implemented here because two
//! settings are essential: the timeout for heads, so that a slow sender of
//! headers can't hold memory indefinitely, and `TCP_NODELAY`, so that the
//! kernel doesn't delay a token until the next one.

use crate::connection_use::{ConnectionLimits, ConnectionUse, Expiry, TrackedBody, TrackedStream};
use crate::stop::{StopPhase, reached};
use crate::unread_body::SharedBody;
use futures::FutureExt;
use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Request, Version};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use warp::filters::BoxedFilter;
use warp::reply::Response;

/// Interval between pings of an HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum size of a request head, in bytes; also the size of a connection's
/// read buffer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of open connections; further callers wait in the listener's
/// backlog.
const MAX_CONNECTIONS: usize = 16_384;

/// Delay after a failed accept, for example when no file descriptor is
/// available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time between the closing of the listener and that of idle connections.
const IDLE_CLOSE_DELAY: Duration = Duration::from_secs(1);

/// A caller's connection and its share of [`MAX_CONNECTIONS`].
type Accepted = (TcpStream, OwnedSemaphorePermit);

/// Serves callers until the stop closes the listener, then until the last request
/// in progress has been answered.
///
/// A caller that holds an idle connection learns of the stop only with its next
/// response. Idle connections are therefore kept open for [`IDLE_CLOSE_DELAY`].
pub(crate) async fn serve(
    listener: TcpListener,
    routes: BoxedFilter<(Response,)>,
    limits: ConnectionLimits,
    mut stop_phase: watch::Receiver<StopPhase>,
) {
    let closing = CancellationToken::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let server = CallerServer {
        routes,
        builder: connection_builder(),
        limits,
        stop_phase: stop_phase.clone(),
        closing: closing.clone(),
    };
    // Owned by this future, so that dropping it closes every connection.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = reached(&mut stop_phase, StopPhase::Closing) => break,
            Some(_) = connections.join_next() => continue,
            accepted = accept(&listener, &permits) => accepted,
        };
        match accepted {
            Some(accepted) => drop(connections.spawn(server.clone().serve(accepted))),
            None => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Callers that have connected already would be reset with the listener.
    while let Some(Some(accepted)) = accept(&listener, &permits).now_or_never() {
        connections.spawn(server.clone().serve(accepted));
    }
    drop(listener);
    let mut idle_delay = pin!(sleep(IDLE_CLOSE_DELAY));
    loop {
        tokio::select! {
            () = &mut idle_delay, if !closing.is_cancelled() => closing.cancel(),
            connection = connections.join_next() => if connection.is_none() { return },
        }
    }
}

/// What the connections of callers share.
#[derive(Clone)]
struct CallerServer {
    routes: BoxedFilter<(Response,)>,
    builder: Builder<TokioExecutor>,
    limits: ConnectionLimits,
    stop_phase: watch::Receiver<StopPhase>,
    /// Cancelled when idle connections are to close.
    closing: CancellationToken,
}

impl CallerServer {
    async fn serve(self, (stream, permit): Accepted) {
        let Self {
            routes,
            builder,
            limits,
            stop_phase,
            closing,
        } = self;
        let connection_use = ConnectionUse::new(limits);
        let stream = TrackedStream {
            stream,
            connection_use: connection_use.clone(),
        };
        let requests = connection_use.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let stop_phase = stop_phase.clone();
            let may_close = request.version() < Version::HTTP_2;
            let in_progress = requests.begin_request(request.version());
            let response = respond(routes.clone(), request);
            async move {
                let mut response = response.await?;
                if may_close && *stop_phase.borrow() > StopPhase::Running {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                let track = |body| TrackedBody {
                    body,
                    _in_progress: in_progress,
                };
                Ok::<_, Infallible>(response.map(track))
            }
        });
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut is_closing = false;
        let result = loop {
            tokio::select! {
                biased;
                result = connection.as_mut() => break result,
                () = closing.cancelled(), if !is_closing => {}
                expiry = connection_use.expired() => {
                    if is_closing || expiry == Expiry::Head {
                        break Ok(());
                    }
                }
            }
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        };
        // A protocol error ends only the connection on which it occurs.
        if let Err(error) = result {
            tracing::debug!(%error, "a caller's connection failed");
        }
        drop(permit);
    }
}

/// Responds to a request, after the rest of its body has been read.
async fn respond(
    routes: BoxedFilter<(Response,)>,
    request: Request<Incoming>,
) -> Result<Response, Infallible> {
    let (parts, incoming) = request.into_parts();
    let body = SharedBody::new(incoming, parts.headers.contains_key(EXPECT));
    let request = Request::from_parts(parts, body.clone());
    let routes = TowerToHyperService::new(warp::service(routes));
    let response = routes.call(request).await?;
    body.discard_rest().await;
    Ok(response)
}

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Option<Accepted> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    // On failure, small events may be delayed, which is better than refusing
    // the connection.
    let _ = stream.set_nodelay(true);
    Some((stream, permit))
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // `ConnectionUse` limits the time for a head; hyper's limit would also close
        // idle connections.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .keep_alive_interval(PING_INTERVAL);
    builder
}
