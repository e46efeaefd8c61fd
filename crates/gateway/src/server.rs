//! Serves callers, readiness checks of the load balancer, and metrics scrapes.

use crate::connection::describe;
use crate::handler::{self, RequestSender};
use crate::idle::ConnectionUse;
use crate::in_flight::OpenConnection;
use crate::lingering::LingeringStream;
use crate::read_on::CurrentResponse;
use crate::reply::{ReplyBody, full_response};
use crate::socket_options::set_caller_options;
use crate::state::GatewayState;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Backlog of the listening sockets.
const LISTEN_BACKLOG: u32 = 1_024;

/// Delay after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for requests that callers have already sent when the host closes its connections.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Time for a connection to close that was idle for too long without any request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Least size of a connection's read buffer, in bytes. It leaves room for a limit on heads
/// that a later configuration raises; the limit in force is checked for each request.
const MIN_BUFFER_BYTES: usize = 128 * 1024;

/// A caller's connection whose response is read on while the caller is slow. It ends when the
/// response is cut.
struct ReadOnConnection<C> {
    connection: C,
    response: Rc<CurrentResponse>,
}

impl<C: Future<Output = hyper::Result<()>> + Unpin> Future for ReadOnConnection<C> {
    type Output = hyper::Result<()>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let response = Rc::clone(&self.response);
        let connection = Pin::new(&mut self.connection);
        let polled = response.poll(context, |context| connection.poll(context));
        polled.map(|result| result.unwrap_or(Ok(())))
    }
}

/// Opens a listening socket with `SO_REUSEADDR`.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().wrap_err_with(|| format!("failed to listen on {address}"))
}

/// Accepts the connections of callers or of other hosts until `closing` becomes true, which also closes
/// idle connections.
pub(crate) async fn serve_requests(
    state: Rc<GatewayState>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
    sender: RequestSender,
) {
    loop {
        // A connection that has been established is accepted before the listener closes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(serve_connection(state, stream, closing.clone(), sender));
            }
            Err(error) => {
                tracing::warn!(%error, "a connection can't be accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    state: Rc<GatewayState>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
    sender: RequestSender,
) {
    let _open = OpenConnection::new(&state);
    set_caller_options(&stream);
    let limits = state.config().map(|config| config.limits());
    let head_bytes = limits.map_or(0, |limits| limits.max_head_bytes);
    let connection_use = ConnectionUse::new(&state);
    let response = Rc::new(CurrentResponse::default());
    let of_requests = (Rc::clone(&connection_use), Rc::clone(&response));
    let service = service_fn(move |request| {
        let state = Rc::clone(&state);
        let in_use = of_requests.0.begin_request();
        let current = Rc::clone(&of_requests.1);
        async move {
            let response = handler::handle(state, request, in_use, current, sender);
            Ok::<_, Infallible>(response.await)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MIN_BUFFER_BYTES.max(head_bytes * 2))
        .serve_connection(LingeringStream::new(stream, Rc::clone(&response)), service);
    let mut connection = pin!(ReadOnConnection {
        connection,
        response,
    });
    // The connection comes first, so that a request that has arrived is read before the
    // connection is closed.
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        _ = closing.wait_for(|closing| *closing) => {
            // A request that is on its way is still answered; its response closes the
            // connection.
            match timeout(ARRIVAL_TIME, connection.as_mut()).await {
                Ok(result) => result,
                Err(_) => {
                    Pin::new(&mut connection.connection).graceful_shutdown();
                    connection.await
                }
            }
        }
        () = connection_use.expired() => {
            Pin::new(&mut connection.connection).graceful_shutdown();
            // A request that has just arrived is still answered, and a response that its
            // caller reads slowly is written to its end.
            loop {
                match timeout(CLOSE_TIMEOUT, connection.as_mut()).await {
                    Ok(result) => break result,
                    Err(_) if connection_use.has_had_request() => {}
                    Err(_) => break Ok(()),
                }
            }
        }
    };
    if let Err(error) = result {
        tracing::debug!(error = %describe(&error), "caller connection failed");
    }
}

/// Serves readiness checks and metrics scrapes until the process ends.
pub(crate) async fn serve_admin(state: Rc<GatewayState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a connection can't be accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = admin_reply(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(error = %describe(&error), "admin connection failed");
            }
        });
    }
}

fn admin_reply(state: &GatewayState, request: &Request<Incoming>) -> Response<ReplyBody> {
    let (status, text) = match request.uri().path() {
        "/metrics" => match state.metrics.render() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ if state.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    };
    full_response(status, HeaderMap::new(), Bytes::from(text))
}
