//! HTTP connections to one upstream.
//!
//! Reusing a pooled connection saves a TCP handshake, but the upstream may close
//! it while a request is being written, and then it is unknown whether the
//! request ran. Each call therefore chooses between a pooled connection and a
//! fresh one.

use arc_swap::ArcSwap;
use reqwest::{Client, redirect};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that sent data may remain unacknowledged before the kernel closes the
/// connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Selects the connection on which a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// An idle connection from the pool, or a new one if the pool has none.
    Pooled,
    /// A new connection that only this call uses, for non-idempotent requests. A
    /// call that fails before any byte was sent then always fails with a connect
    /// error, which can't be confused with the loss of a pooled connection that
    /// the upstream closed.
    Fresh,
}

/// The HTTP clients that connect to one upstream.
#[derive(Debug)]
pub struct UpstreamConnections {
    address: SocketAddr,
    pooled: ArcSwap<Client>,
    fresh: Client,
}

impl UpstreamConnections {
    /// Creates an empty pool without connecting to the upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        Ok(Self {
            address,
            pooled: ArcSwap::from_pointee(pooled_client()?),
            fresh: client_builder().pool_max_idle_per_host(0).build()?,
        })
    }

    /// Returns the socket address at which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all idle connections.
    ///
    /// Used after a timeout, when pooled connections may have stopped working
    /// without having been closed. In-flight calls keep their connections, since
    /// each call has its own timeout.
    pub fn evict_idle(&self) {
        match pooled_client() {
            Ok(client) => self.pooled.store(Arc::new(client)),
            Err(error) => tracing::error!(%error, "failed to create a new connection pool"),
        }
    }

    pub(crate) fn client(&self, connection: ConnectionUse) -> Client {
        match connection {
            ConnectionUse::Pooled => Client::clone(&self.pooled.load()),
            ConnectionUse::Fresh => self.fresh.clone(),
        }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn pooled_client() -> Result<Client, reqwest::Error> {
    client_builder().pool_idle_timeout(IDLE_TIMEOUT).build()
}

fn client_builder() -> reqwest::ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        // Upstreams use plain HTTP, and each eviction builds a new client, so
        // loading the TLS root certificates would only slow evictions down.
        .tls_certs_only([])
        .tcp_nodelay(true)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .connect_timeout(CONNECT_TIMEOUT)
}
