//! A TCP proxy on the loopback that can harm what passes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Time between two looks at whether a silence is over.
const SILENCE_STEP: Duration = Duration::from_millis(20);

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Passes them on.
    Sound,
    /// Passes them on late.
    Delayed(Duration),
    /// Passes requests on and holds answers back.
    AnswersLost,
    /// Holds everything back.
    Silent,
}

/// The proxy. Connections that it resets are those open at that moment.
#[derive(Clone)]
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    resets: watch::Sender<u64>,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl FaultProxy {
    /// Starts a proxy to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (resets, _) = watch::channel(0);
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(LinkState::Sound)),
            resets,
        };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = serving.clone();
                tokio::spawn(async move { proxy.serve(stream, target).await });
            }
        });
        proxy
    }

    /// Changes what happens from now on.
    pub(crate) fn set(&self, state: LinkState) {
        *self.state.lock().expect("sound") = state;
    }

    /// Resets all open connections.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn serve(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let mut resets = self.resets.subscribe();
        // A reset, not an orderly close, when the streams are dropped.
        for stream in [&near, &far] {
            stream.set_zero_linger().expect("a socket option");
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::select! {
            () = self.pass(near_read, far_write, Direction::Request) => {}
            () = self.pass(far_read, near_write, Direction::Answer) => {}
            _ = resets.changed() => {}
        }
    }

    async fn pass(
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
            self.hold(direction).await;
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn hold(&self, direction: Direction) {
        loop {
            let state = *self.state.lock().expect("sound");
            match (state, direction) {
                (LinkState::Delayed(delay), _) => return sleep(delay).await,
                (LinkState::Silent, _) | (LinkState::AnswersLost, Direction::Answer) => {
                    sleep(SILENCE_STEP).await;
                }
                (LinkState::Sound, _) | (LinkState::AnswersLost, Direction::Request) => return,
            }
        }
    }
}
