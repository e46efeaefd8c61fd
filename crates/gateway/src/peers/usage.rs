//! Sends this host's usage counts to peers, which publish them if this host can't.

use super::{PeerMessage, next_peers, send};
use crate::clock;
use crate::state::GatewayState;
use lagoonlift_policy::dispatch::{UsageCopy, UsageWindow};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Interval between two copies of the usage counts to peers.
const USAGE_COPY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The same interval of a process that stops.
const STOPPING_USAGE_COPY_INTERVAL: Duration = Duration::from_millis(250);

/// Number of peers that get copies of the usage counts while no store reader is known.
const USAGE_COPY_PEERS: usize = 2;

/// Number of the latest windows whose counts are copied to peers.
const MAX_USAGE_COPIES: u64 = 3;

/// Time after the end of a window, in microseconds, within which a host publishes its
/// counts itself.
const PUBLICATION_GRACE_US: i64 = 1_200_000;

/// Time for which counts have just been published, in microseconds.
const JUST_PUBLISHED_US: i64 = 2_000_000;

/// Sends this host's usage counts to a few peers, until the process ends.
pub(super) async fn send_copies(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    loop {
        sleep(match state.is_stopping() {
            true => STOPPING_USAGE_COPY_INTERVAL,
            false => USAGE_COPY_INTERVAL,
        })
        .await;
        for copy in own_copies(&state) {
            let peers = copy_peers(&state, copy.window);
            send(&socket, &PeerMessage::Usage(copy), &peers).await;
        }
    }
}

/// Returns the peers that get copies of the counts of `window`: two store readers, or
/// else two peers that stay the same for the window, so that few peers publish the
/// same counts after an outage of the store.
fn copy_peers(state: &GatewayState, window: u64) -> Vec<SocketAddr> {
    let seed = state.incarnation_id;
    let readers = state.store_readers.borrow().readers_for(seed);
    match readers.is_empty() {
        false => readers,
        true => {
            let turn = seed.wrapping_add(window);
            next_peers(state, turn, USAGE_COPY_PEERS)
        }
    }
}

/// Returns the counts of the current window, and of the latest ones that weren't
/// published since their end. Those that have just been published are included too, so
/// that peers learn that they needn't publish them.
fn own_copies(state: &GatewayState) -> Vec<UsageCopy> {
    let unix_us = state.wall_clock.borrow().unix_us(clock::now());
    let published_us = state.usage_published_us.get();
    let usage = state.usage.borrow();
    let current = usage.window_at(unix_us);
    let latest = (0..MAX_USAGE_COPIES).map(|age| UsageWindow(current.0.saturating_sub(age)));
    latest
        .filter_map(|window| {
            let is_over = window < current;
            let end_us = usage.end_of(window);
            let is_unpublished = is_over && published_us < end_us && state.started_unix_us < end_us;
            let counts = usage.counts_of(window);
            let is_just_published = is_over && unix_us < published_us + JUST_PUBLISHED_US;
            let is_sent = is_unpublished || !counts.is_empty() && (!is_over || is_just_published);
            is_sent.then(|| UsageCopy {
                host: state.settings.host.name.clone(),
                start_id: state.started_unix_us,
                unix_us,
                window: window.0,
                counts,
                is_unpublished: is_unpublished && is_publication_late(unix_us, end_us)
                    || state.is_stopping(),
            })
        })
        .collect()
}

/// Returns whether the counts of a window that ended at `end_us` should have been
/// published by `unix_us`.
fn is_publication_late(unix_us: i64, end_us: i64) -> bool {
    unix_us >= end_us + PUBLICATION_GRACE_US
}
