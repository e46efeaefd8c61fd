//! Exchanges messages about the quotas of workspaces.

use super::{PeerMessage, send};
use crate::clock;
use crate::quota::NO_ADDRESS;
use crate::state::GatewayState;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::QuotaRoster;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

/// Interval at which leases are checked and expired tokens returned.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Ticks between two updates of the roster.
const ROSTER_TICKS: u64 = 10;

/// Time from the start after which the roster counts as settled: the store has listed the
/// hosts a second time, with those that started together with this one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Sends messages about quotas and keeps leases until the process ends. Does nothing while
/// no workspace has a quota.
pub(crate) async fn keep_quotas(state: Rc<GatewayState>, socket: Option<Rc<UdpSocket>>) {
    let desk = &state.quota_state;
    let mut owned = 0;
    loop {
        while desk.quotas.borrow().is_empty() {
            desk.has_news.notified().await;
        }
        for turn in 0_u64.. {
            if desk.quotas.borrow().is_empty() {
                break;
            }
            if turn.is_multiple_of(ROSTER_TICKS) {
                let roster = roster_of(&state, clock::now());
                desk.quotas.borrow_mut().set_roster(roster);
            }
            desk.quotas.borrow_mut().tick(clock::now());
            let now_owned = desk.quotas.borrow_mut().owned_count(clock::now());
            if std::mem::replace(&mut owned, now_owned) != now_owned {
                tracing::info!(
                    owned,
                    "the number of quotas that this host grants has changed"
                );
                state.metrics.set_quotas_owned(owned);
            }
            send_until(&state, socket.as_deref(), Instant::now() + TICK_INTERVAL).await;
        }
    }
}

/// Sends messages as they come up, until `until`.
async fn send_until(state: &GatewayState, socket: Option<&UdpSocket>, until: Instant) {
    let desk = &state.quota_state;
    loop {
        let outgoing = desk.quotas.borrow_mut().take_outgoing();
        for outgoing in outgoing {
            if let Some(socket) = socket {
                send(
                    socket,
                    &PeerMessage::Quota(outgoing.message),
                    &[outgoing.to],
                )
                .await;
            }
        }
        if timeout_at(until, desk.has_news.notified()).await.is_err() {
            return;
        }
    }
}

/// Returns the hosts that may own workspaces, as far as they are known.
fn roster_of(state: &GatewayState, now: Timestamp) -> QuotaRoster {
    let roster = state.roster.borrow();
    let own = state.settings.listen.peers.unwrap_or(NO_ADDRESS);
    let mut members: Vec<SocketAddr> = roster.peers().chain([own]).collect();
    members.sort_unstable();
    let listed = roster.listed();
    let hosts = members.len().max(listed);
    let is_settled = now.since(state.started_at) >= SETTLE_TIME;
    if !is_settled || members.len() < listed {
        members.clear();
    }
    QuotaRoster {
        members,
        most_hosts: (is_settled && listed > 0).then_some(hosts),
    }
}
