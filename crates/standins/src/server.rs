//! An HTTP server that can be stopped abruptly, as by a crash of its process.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::runtime::{Builder, Runtime};
use warp::{Filter, Reply};

/// Longest wait for running tasks when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP server with a dedicated runtime. Shutting the runtime down drops every
/// connection at once, as the end of a process does.
#[derive(Debug)]
pub(crate) struct StandinServer {
    addr: SocketAddr,
    runtime: Option<Runtime>,
    /// Keeps the port bound after the server has stopped.
    reserved_port: Option<TcpSocket>,
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
            reserved_port: None,
        })
    }

    /// Returns the address that the server listens on, also after it has stopped.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops the listener and every connection, and returns once the server no longer
    /// responds. The port stays bound, so that only a restarted server can use it.
    pub(crate) fn stop(&mut self) {
        self.shut_down_runtime();
        self.reserved_port = reserve_port(self.addr);
    }

    fn shut_down_runtime(&mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        // Waiting for a runtime's shutdown panics on a thread that runs tasks of
        // another runtime, so a separate thread waits.
        let shutdown = thread::spawn(move || runtime.shutdown_timeout(STOP_TIMEOUT));
        if shutdown.join().is_err() {
            tracing::error!("the stand-in server's runtime panicked during shutdown");
        }
    }
}

/// Binds `addr` without listening, so that connections are refused and no other
/// server on the machine can respond on this port.
fn reserve_port(addr: SocketAddr) -> Option<TcpSocket> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok::<_, io::Error>(socket)
    };
    bind()
        .inspect_err(|error| tracing::error!(%addr, %error, "can't keep the port bound"))
        .ok()
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.shut_down_runtime();
    }
}
