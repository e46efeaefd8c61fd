//! Messages about the versions at which services have served.

use super::{PEERS_PER_INTERVAL, PeerMessage, next_peers, send};
use crate::clock;
use crate::state::GatewayState;
use crate::version_store;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::VersionsNotice;
use tokio::net::UdpSocket;

/// Number of load intervals between two rounds of messages.
const ROUND_TURNS: u64 = 20;

/// Number of peers that get the messages of a round.
const PEERS_PER_ROUND: usize = 4;

/// Number of load intervals between two messages about a new write, which repeat it.
const NEWS_TURNS: u64 = 2;

/// Sends what this host knows to a few peers, once in [`ROUND_TURNS`], and news more often.
pub(super) async fn send_in_turn(state: &GatewayState, socket: &UdpSocket, turn: u64) {
    let has_news = state.served_versions.borrow().has_news(clock::now());
    if has_news && turn.is_multiple_of(NEWS_TURNS) {
        send_news(state, socket).await;
    } else if turn.is_multiple_of(ROUND_TURNS) {
        let peers = next_peers(state, rand::random(), PEERS_PER_ROUND);
        for message in messages(state, clock::now()) {
            send(socket, &message, &peers).await;
        }
    }
}

/// Tells more peers of a new write of a record.
pub(super) async fn send_news(state: &GatewayState, socket: &UdpSocket) {
    let peers = next_peers(state, rand::random(), PEERS_PER_INTERVAL);
    for message in messages(state, clock::now()) {
        send(socket, &message, &peers).await;
    }
}

/// Returns one message for each service.
pub(super) fn messages(state: &GatewayState, now: Timestamp) -> Vec<PeerMessage> {
    let notices = state.served_versions.borrow().notices(now);
    notices.into_iter().map(PeerMessage::Versions).collect()
}

/// Records what a peer knows, and passes on a new write of a record.
pub(super) fn record(state: &GatewayState, now: Timestamp, notice: &VersionsNotice) {
    let is_later = state
        .served_versions
        .borrow_mut()
        .record_notice(now, notice);
    if is_later {
        version_store::observe(state);
        state.version_news.notify_one();
    }
}
