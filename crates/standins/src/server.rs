//! An HTTP server that can be stopped the way a crash stops one.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use tokio::runtime::{Builder, Runtime};
use warp::{Filter, Reply};

/// A server on a runtime of its own: stopping the runtime drops every
/// connection at once, as the end of a process does.
#[derive(Debug)]
pub(crate) struct StandinServer {
    addr: SocketAddr,
    runtime: Option<Runtime>,
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
        })
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops the listener and every connection.
    pub(crate) fn stop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.stop();
    }
}
