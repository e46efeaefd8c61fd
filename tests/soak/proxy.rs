//! A TCP proxy on loopback that injects faults into the connections through it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

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
}

/// Direction of the bytes that are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl FaultProxy {
    /// Starts a proxy to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let (resets, _) = watch::channel(0);
        let proxy = Self {
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
            state: Arc::new(Mutex::new(LinkState::Open)),
            resets,
        };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = accepting.clone();
                tokio::spawn(async move { proxy.serve(stream, target).await });
            }
        });
        proxy
    }

    /// Sets the treatment of all current and future connections.
    pub(crate) fn set(&self, state: LinkState) {
        *self.state.lock().expect("the lock is not poisoned") = state;
    }

    /// Resets the connections that are open now; later ones aren't affected.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn serve(&self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let mut resets = self.resets.subscribe();
        // With zero linger, dropping the streams resets the connections in place of
        // closing them in order.
        for stream in [&client, &server] {
            stream
                .set_zero_linger()
                .expect("the socket option can be set");
        }
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = self.forward(client_read, server_write, Direction::Request) => {}
            () = self.forward(server_read, client_write, Direction::Response) => {}
            _ = resets.changed() => {}
        }
    }

    async fn forward(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        direction: Direction,
    ) {
        let mut buffer = [0; 4_096];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => count,
            };
            self.wait_until_forwarded(direction).await;
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
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
