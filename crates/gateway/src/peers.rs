//! What hosts tell each other directly: loads in flight, and how surely their
//! configuration is current.
//!
//! Datagrams may be lost; the next one says everything anew. A host learns the
//! others from what they publish in the store, and from their datagrams.

use crate::clock;
use crate::host::Host;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    ConfigVersion, HostReport, InFlightLoad, PeerProof, PeerProofResult, StoreNews, UpstreamDigest,
};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Time between two datagrams to a peer.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Peers that are told in one interval; more take turns.
const PEERS_PER_INTERVAL: usize = 24;

/// Time between two questions for proofs.
const CONFIRMATION_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the own proof from which others are asked.
const CONFIRMATION_QUERY_AGE: Duration = Duration::from_millis(500);

/// Peers that are asked at once,
const CONFIRMATION_PEERS: usize = 3;

/// beside these that read the store for others.
const CONFIRMATION_READERS: usize = 2;

/// Largest datagram, in bytes: below the usual size of a packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Upstreams whose loads fit into a datagram,
const MAX_LOADS: usize = 100;

/// and engines under an order.
const MAX_CHANGING: usize = 30;

/// What a host says.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    /// What it has in flight.
    Load(LoadMessage),
    /// Asks how surely the other's configuration is current. The time is the
    /// asking host's and comes back as it is.
    ConfirmationQuery { asked_at_us: u64 },
    /// The answer.
    Confirmation {
        asked_at_us: u64,
        version: u64,
        age_us: u64,
        /// Number of the answering host's start.
        host: u64,
        /// Its time of day.
        unix_us: i64,
    },
}

/// What a host has in flight.
#[derive(Debug, Serialize, Deserialize)]
struct LoadMessage {
    /// Number of the host's start.
    host: u64,
    /// Grows with each message.
    sequence: u64,
    news: StoreNews,
    report: HostReport,
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
    tokio::task::spawn_local(query_confirmations(
        Rc::clone(&host),
        Rc::clone(&socket),
        address,
    ));
    let mut sequence = 0;
    let mut was_busy = true;
    loop {
        sleep(SEND_INTERVAL).await;
        host.peer_loads.borrow_mut().forget_silent(clock::now());
        host.store_readers.borrow_mut().forget_silent(clock::now());
        let report = own_report(&host);
        let news = host.store_news.get();
        let is_busy = report != HostReport::default() || news.is_reading;
        // The first idle message tells the peers; more would say the same.
        if is_busy || was_busy {
            sequence += 1;
            let message = LoadMessage {
                host: host.start_id,
                sequence,
                news,
                report,
            };
            let peers = next_peers(&host.peers.borrow(), address, sequence, PEERS_PER_INTERVAL);
            send(&socket, &PeerMessage::Load(message), &peers).await;
        }
        was_busy = is_busy;
    }
}

/// Returns what this host says; the largest loads, if there are too many for a
/// datagram.
fn own_report(host: &Host) -> HostReport {
    let table = host.table.borrow();
    let busy = table.iter().filter(|(_, one)| one.in_flight > 0);
    let mut loads: Vec<(UpstreamDigest, InFlightLoad)> = busy
        .map(|(_, one)| {
            let load = InFlightLoad {
                requests: one.in_flight,
                reading_tokens: one.reading_tokens,
            };
            (one.digest, load)
        })
        .collect();
    if loads.len() > MAX_LOADS {
        loads.sort_unstable_by_key(|(_, load)| Reverse((load.reading_tokens, load.requests)));
        loads.truncate(MAX_LOADS);
    }
    let ordered = host.ordered.borrow();
    let changing = ordered.iter().filter_map(|key| table.get(*key));
    HostReport {
        loads,
        changing: changing.take(MAX_CHANGING).map(|one| one.digest).collect(),
    }
}

/// Asks peers for their proofs while the own one is old, for ever.
async fn query_confirmations(host: Rc<Host>, socket: Rc<UdpSocket>, own: SocketAddr) {
    loop {
        sleep(CONFIRMATION_QUERY_INTERVAL).await;
        let asked_at = clock::now();
        let age = host.proof().age(asked_at);
        if age.is_some_and(|age| age < CONFIRMATION_QUERY_AGE) {
            continue;
        }
        let query = PeerMessage::ConfirmationQuery {
            asked_at_us: asked_at.0,
        };
        let mut peers = next_peers(
            &host.peers.borrow(),
            own,
            rand::random(),
            CONFIRMATION_PEERS,
        );
        peers.extend(
            host.store_readers
                .borrow()
                .readers()
                .take(CONFIRMATION_READERS),
        );
        send(&socket, &query, &peers).await;
    }
}

async fn send(socket: &UdpSocket, message: &PeerMessage, peers: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
        Ok(bytes) => {
            tracing::debug!(bytes = bytes.len(), "a message is too large for a datagram");
            return;
        }
        Err(error) => {
            tracing::error!(%error, "a message can't be encoded");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%peer, %error, "a peer can't be told");
        }
    }
}

/// Returns the peers whose turn it is.
fn next_peers(
    peers: &BTreeSet<SocketAddr>,
    own: SocketAddr,
    turn: u64,
    count: usize,
) -> Vec<SocketAddr> {
    let others: Vec<SocketAddr> = peers.iter().copied().filter(|peer| *peer != own).collect();
    if others.is_empty() {
        return others;
    }
    let start = (turn as usize).wrapping_mul(count) % others.len();
    let count = count.min(others.len());
    let in_turn = others.iter().cycle().skip(start).take(count);
    in_turn.copied().collect()
}

async fn receive(host: Rc<Host>, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "a datagram can't be received");
                sleep(SEND_INTERVAL).await;
                continue;
            }
        };
        let message: PeerMessage = match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%peer, %error, "a datagram can't be read");
                continue;
            }
        };
        host.peers.borrow_mut().insert(peer);
        if let Some(reply) = handle_message(&host, peer, message) {
            send(&socket, &reply, &[peer]).await;
        }
    }
}

/// Takes a message in; returns the answer if it asks for one.
fn handle_message(host: &Host, address: SocketAddr, message: PeerMessage) -> Option<PeerMessage> {
    let now = clock::now();
    match message {
        PeerMessage::Load(load) => {
            let mut readers = host.store_readers.borrow_mut();
            readers.note(now, load.host, address, load.news);
            let mut loads = host.peer_loads.borrow_mut();
            loads.note(now, load.host, load.sequence, load.report);
            None
        }
        PeerMessage::ConfirmationQuery { asked_at_us } => {
            let own = host.currency.borrow().own_proof(now)?;
            Some(PeerMessage::Confirmation {
                asked_at_us,
                version: own.version.0,
                age_us: own.age.as_micros() as u64,
                host: host.start_id,
                unix_us: host.wall.borrow().unix_us(now),
            })
        }
        PeerMessage::Confirmation {
            asked_at_us,
            version,
            age_us,
            host: peer,
            unix_us,
        } => {
            let asked_at = Timestamp(asked_at_us);
            let proof = PeerProof {
                version: ConfigVersion(version),
                age: Duration::from_micros(age_us),
            };
            let result = host.currency.borrow_mut().take_peer_proof(asked_at, proof);
            if result == PeerProofResult::Outdated {
                host.config_news.notify_one();
            }
            let mut wall = host.wall.borrow_mut();
            wall.note_peer(peer, asked_at, now, unix_us);
            None
        }
    }
}
