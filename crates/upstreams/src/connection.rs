//! Connections to one upstream: pooled, or fresh for one call.

use arc_swap::ArcSwap;
use reqwest::{Client, redirect};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without acknowledgement after which the kernel gives a connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// An idle one from the pool, if there is one.
    Pooled,
    /// One made for this call, so that a failure to connect is the only way to
    /// fail without having sent anything, and can't be mistaken.
    Fresh,
}

/// The connections to one upstream.
#[derive(Debug)]
pub struct UpstreamConnections {
    address: SocketAddr,
    pooled: ArcSwap<Client>,
    fresh: Client,
}

impl UpstreamConnections {
    /// Creates an empty pool; nothing is connected yet.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        Ok(Self {
            address,
            pooled: ArcSwap::from_pointee(pooled_client()?),
            fresh: client_builder().pool_max_idle_per_host(0).build()?,
        })
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops every idle connection, because the path has been found dead.
    ///
    /// Calls that are running keep theirs: each has its own limits.
    pub fn evict_idle(&self) {
        match pooled_client() {
            Ok(client) => self.pooled.store(Arc::new(client)),
            Err(error) => tracing::error!(%error, "a new connection pool can't be made"),
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
        // Upstreams speak plain HTTP; loading roots would slow every eviction.
        .tls_certs_only([])
        .tcp_nodelay(true)
        .tcp_user_timeout(USER_TIMEOUT)
        .connect_timeout(CONNECT_TIMEOUT)
}
