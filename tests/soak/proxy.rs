//! A TCP proxy on loopback that injects faults into the connections through it.

use crate::support::upstream::{LISTEN_ADDRESS, RESTART_TIME};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Interval at which a proxy that is down checks whether its target accepts connections.
const RETURN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a blocked direction checks whether it is unblocked.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How the proxy treats bytes that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Forwards them at once.
    Open,
    /// Forwards each chunk after this delay.
    Delayed(Duration),
    /// Forwards requests and blocks responses.
    ResponsesBlocked,
    /// Blocks both directions.
    Blocked,
}

/// A proxy to one target. Clones share its state.
#[derive(Clone)]
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    resets: watch::Sender<u64>,
    /// Times of the crashes of the target.
    crashes: watch::Receiver<Vec<Instant>>,
}

/// How the connections of a link end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// One side closed its connection in order.
    Closed,
    /// A connection broke, or the target crashed.
    Broken,
}

/// Direction of the bytes that are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl FaultProxy {
    /// Starts a proxy to `target`, which doesn't crash.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let (_, crashes) = watch::channel(Vec::new());
        Self::start_with_crashes(target, crashes).await
    }

    /// Starts a proxy to `target`, which crashes at the times that `crashes` states. The
    /// proxy then refuses connections until the target accepts them again.
    pub(crate) async fn start_with_crashes(
        target: SocketAddr,
        crashes: watch::Receiver<Vec<Instant>>,
    ) -> Self {
        let listener = TcpListener::bind((LISTEN_ADDRESS, 0))
            .await
            .expect("loopback has a free port");
        let (resets, _) = watch::channel(0);
        let proxy = Self {
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
            state: Arc::new(Mutex::new(LinkState::Open)),
            resets,
            crashes,
        };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    async fn accept(self, mut listener: TcpListener, target: SocketAddr) {
        let mut crashes = self.crashes.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let proxy = self.clone();
                        tokio::spawn(async move { proxy.serve(stream, target).await });
                    }
                    Err(_) => return,
                },
                Ok(()) = crashes.changed() => {
                    drop(listener);
                    sleep(RESTART_TIME).await;
                    listener = self.listen_again(target).await;
                }
            }
        }
    }

    /// Waits until the target accepts connections, and accepts them, too.
    async fn listen_again(&self, target: SocketAddr) -> TcpListener {
        while TcpStream::connect(target).await.is_err() {
            sleep(RETURN_POLL_INTERVAL).await;
        }
        TcpListener::bind(self.address)
            .await
            .expect("the port of the proxy is still free")
    }

    /// Sets the treatment of all current and future connections.
    pub(crate) fn set(&self, state: LinkState) {
        *self.state.lock().expect("the lock is not poisoned") = state;
    }

    /// Resets the connections that are open now; later ones aren't affected.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn serve(&self, mut client: TcpStream, target: SocketAddr) {
        let mut crashes = self.crashes.clone();
        crashes.mark_unchanged();
        let Ok(mut server) = TcpStream::connect(target).await else {
            return;
        };
        let mut resets = self.resets.subscribe();
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let end = tokio::select! {
            end = self.forward(client_read, server_write, Direction::Request) => end,
            end = self.forward(server_read, client_write, Direction::Response) => end,
            _ = resets.changed() => LinkEnd::Broken,
        };
        let has_crashed = crashes.has_changed().unwrap_or(false);
        if end == LinkEnd::Broken || has_crashed {
            // With zero linger, dropping the streams resets the connections in place of
            // closing them in order.
            for stream in [&client, &server] {
                stream
                    .set_zero_linger()
                    .expect("the socket option can be set");
            }
        }
    }

    async fn forward(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        direction: Direction,
    ) -> LinkEnd {
        let mut buffer = [0; 4_096];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) => return LinkEnd::Closed,
                Err(_) => return LinkEnd::Broken,
                Ok(count) => count,
            };
            self.wait_until_forwarded(direction).await;
            if to.write_all(&buffer[..count]).await.is_err() {
                return LinkEnd::Broken;
            }
        }
    }

    async fn wait_until_forwarded(&self, direction: Direction) {
        loop {
            let state = *self.state.lock().expect("the lock is not poisoned");
            match (state, direction) {
                (LinkState::Delayed(delay), _) => return sleep(delay).await,
                (LinkState::Blocked, _) | (LinkState::ResponsesBlocked, Direction::Response) => {
                    sleep(BLOCKED_POLL_INTERVAL).await;
                }
                (LinkState::Open, _) | (LinkState::ResponsesBlocked, Direction::Request) => return,
            }
        }
    }
}
