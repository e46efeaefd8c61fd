//! An HTTP server that can be stopped the way a crash stops one.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::runtime::{Builder, Runtime};
use warp::{Filter, Reply};

/// Longest wait for what runs when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A server on a runtime of its own: stopping the runtime drops every
/// connection at once, as the end of a process does.
#[derive(Debug)]
pub(crate) struct StandinServer {
    addr: SocketAddr,
    runtime: Option<Runtime>,
    /// Its port once it has stopped.
    held_port: Option<TcpSocket>,
}

impl StandinServer {
    /// Starts serving `routes` on `listen`; port 0 picks a free port.
    pub(crate) fn start<R>(
        listen: SocketAddr,
        routes: impl Filter<Extract = (R,), Error = Infallible> + Clone + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        R: Reply + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        runtime.spawn(warp::serve(routes).incoming(listener).run());
        Ok(Self {
            addr,
            runtime: Some(runtime),
            held_port: None,
        })
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops the listener and every connection; returns when nothing is
    /// answered any more. The port is kept for the server that takes its place.
    pub(crate) fn stop(&mut self) {
        self.end_runtime();
        self.held_port = hold_port(self.addr);
    }

    fn end_runtime(&mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        // A runtime can't be waited for on a thread that runs tasks of another.
        let shutdown = thread::spawn(move || runtime.shutdown_timeout(STOP_TIMEOUT));
        if shutdown.join().is_err() {
            tracing::error!("the server's runtime panicked while it stopped");
        }
    }
}

/// Takes `addr` without listening, so that connections are refused and no other
/// server of the same machine can answer there.
fn hold_port(addr: SocketAddr) -> Option<TcpSocket> {
    let hold = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok::<_, io::Error>(socket)
    };
    hold()
        .inspect_err(|error| tracing::error!(%addr, %error, "the port can't be held"))
        .ok()
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.end_runtime();
    }
}
