//! Tasks that pass received datagrams, timer ticks and changes to a node's
//! actors.

use crate::PeerError;
use crate::context::PeerContext;
use crate::counters::PeerCounter;
use crate::datagram::{DatagramCodec, DatagramError};
use crate::heartbeat::{HeartbeatActor, ReceivedDatagram, SendGossip, StartRound};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::MissedTickBehavior;
use xtra::Address;

/// Maximum number of attempts to find a port number that is free for both UDP and
/// TCP.
const BIND_ATTEMPTS: u32 = 32;
/// Size of the receive buffer in bytes. A longer datagram is truncated and then
/// rejected.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Listens on the same port number for TCP and UDP.
pub(crate) async fn bind(address: SocketAddr) -> Result<(TcpListener, UdpSocket), PeerError> {
    if address.ip().is_unspecified() {
        return Err(PeerError::Unspecified(address));
    }
    let mut attempt = 0;
    loop {
        attempt += 1;
        match try_bind(address).await {
            Ok(bound) => return Ok(bound),
            Err(_) if address.port() == 0 && attempt < BIND_ATTEMPTS => {}
            Err(source) => return Err(PeerError::Bind { address, source }),
        }
    }
}

async fn try_bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((listener, socket))
}

/// Receives datagrams and forwards those that an accepted key signed, until the
/// actor stops.
pub(crate) async fn receive_datagrams(
    socket: Arc<UdpSocket>,
    context: Arc<PeerContext>,
    heartbeat: Address<HeartbeatActor>,
) {
    let codec = DatagramCodec::new(context.keys.clone());
    let counters = &context.counters;
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    loop {
        // The error reports that an earlier outgoing datagram reached a port on
        // which no process listens.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        counters.increment(PeerCounter::DatagramsReceived);
        counters.add(PeerCounter::DatagramBytesReceived, length as u64);
        match codec.decode(&buffer[..length]) {
            Ok(datagram) => {
                if heartbeat
                    .send(ReceivedDatagram { from, datagram })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(DatagramError::Unauthenticated) => {
                counters.increment(PeerCounter::DatagramsUnauthenticated);
            }
            Err(DatagramError::Malformed | DatagramError::TooLong) => {
                counters.increment(PeerCounter::DatagramsMalformed);
            }
        }
    }
}

/// Starts a heartbeat round in each interval until the actor stops.
pub(crate) async fn run_rounds(heartbeat_interval: Duration, actor: Address<HeartbeatActor>) {
    let mut interval = tokio::time::interval(heartbeat_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(StartRound).await.is_err() {
            return;
        }
    }
}

/// Sends each new configuration and fleet view to some members immediately,
/// until the actor stops.
pub(crate) async fn gossip_changes(context: Arc<PeerContext>, heartbeat: Address<HeartbeatActor>) {
    let mut configurations = context.store.subscribe();
    let mut fleets = context.fleets.subscribe();
    loop {
        tokio::select! {
            _ = configurations.changed() => {}
            _ = fleets.changed() => {}
        }
        if heartbeat.send(SendGossip).await.is_err() {
            return;
        }
    }
}
