//! Tells the other hosts what this one has in flight, and hears it from them.
//!
//! Datagrams may be lost; the next one says everything anew. A host learns the
//! others from what they publish in the store, and from their datagrams.

use crate::clock;
use crate::host::Host;
use lagoonlift_policy::dispatch::{InFlightLoad, UpstreamDigest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Time between two datagrams to a peer.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Peers that are told in one interval; more take turns.
const FANOUT: usize = 12;

/// Largest datagram, in bytes: below the usual size of a packet.
const MAX_BYTES: usize = 1_400;

/// What a host says.
#[derive(Debug, Serialize, Deserialize)]
struct LoadMessage {
    /// Number of the host's start.
    host: u64,
    /// Grows with each message.
    sequence: u64,
    loads: Vec<(UpstreamDigest, InFlightLoad)>,
}

/// Exchanges loads with the other hosts, for ever.
pub(crate) async fn exchange(host: Rc<Host>, address: SocketAddr) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(%address, %error, "other hosts can't be heard");
            return;
        }
    };
    tokio::task::spawn_local(receive(Rc::clone(&host), Rc::clone(&socket)));
    let id: u64 = rand::random();
    let mut sequence = 0;
    let mut was_busy = true;
    loop {
        sleep(SEND_INTERVAL).await;
        host.peer_loads.borrow_mut().forget_silent(clock::now());
        let loads = own_loads(&host);
        let is_busy = !loads.is_empty();
        // The first idle message tells the peers; more would say the same.
        if is_busy || was_busy {
            sequence += 1;
            let message = LoadMessage {
                host: id,
                sequence,
                loads,
            };
            send(&host, &socket, &message, address).await;
        }
        was_busy = is_busy;
    }
}

fn own_loads(host: &Host) -> Vec<(UpstreamDigest, InFlightLoad)> {
    let table = host.table.borrow();
    let busy = table.iter().filter(|(_, one)| one.in_flight > 0);
    let loads = busy.map(|(_, one)| {
        let load = InFlightLoad {
            requests: one.in_flight,
            reading_tokens: one.reading_tokens,
        };
        (one.digest, load)
    });
    loads.collect()
}

async fn send(host: &Host, socket: &UdpSocket, message: &LoadMessage, own: SocketAddr) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= MAX_BYTES => bytes,
        Ok(bytes) => {
            tracing::debug!(bytes = bytes.len(), "too many loads for a datagram");
            return;
        }
        Err(error) => {
            tracing::error!(%error, "loads can't be encoded");
            return;
        }
    };
    let peers = next_peers(&host.peers.borrow(), own, message.sequence);
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%peer, %error, "a peer can't be told");
        }
    }
}

/// Returns the peers whose turn it is.
fn next_peers(peers: &BTreeSet<SocketAddr>, own: SocketAddr, turn: u64) -> Vec<SocketAddr> {
    let others: Vec<SocketAddr> = peers.iter().copied().filter(|peer| *peer != own).collect();
    if others.is_empty() {
        return others;
    }
    let start = (turn as usize).wrapping_mul(FANOUT) % others.len();
    let count = FANOUT.min(others.len());
    let in_turn = others.iter().cycle().skip(start).take(count);
    in_turn.copied().collect()
}

async fn receive(host: Rc<Host>, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; MAX_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "a datagram can't be received");
                sleep(SEND_INTERVAL).await;
                continue;
            }
        };
        let message: LoadMessage = match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%peer, %error, "a datagram can't be read");
                continue;
            }
        };
        host.peers.borrow_mut().insert(peer);
        let now = clock::now();
        let mut loads = host.peer_loads.borrow_mut();
        loads.note(now, message.host, message.sequence, message.loads);
    }
}
