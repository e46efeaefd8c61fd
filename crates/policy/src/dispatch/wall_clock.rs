//! Provides the time of day, unaffected by steps of the system clock.
//!
//! The system clock may step by seconds and back again. The monotonic clock does
//! not, so the offset between the two is read once, at the start of the process. A
//! process that starts while the system clock is wrong reads a wrong offset; it is
//! corrected by the time that the other hosts report when they are queried.

use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Difference from the other hosts up to which the clock is not corrected, in
/// microseconds.
const TOLERANCE_US: i64 = 400_000;

/// Number of peers whose response is needed for a correction.
const MIN_PEERS: usize = 2;

/// Age from which a response is ignored.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(4);

/// Time of day, derived from the monotonic clock.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// Unix time in microseconds at the zero of the monotonic clock.
    offset_us: i64,
    /// Latest response of each peer, by the peer's incarnation.
    peers: HashMap<u64, PeerClock>,
}

/// The difference between a peer's clock and this one.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// Positive if the peer is ahead.
    ahead_us: i64,
    received_at: Timestamp,
}

impl WallClock {
    /// Creates the clock of a process that read the monotonic clock as `now` and the
    /// system clock as the Unix time `unix_us`, in microseconds, at the same moment.
    pub fn new(now: Timestamp, unix_us: i64) -> Self {
        Self {
            offset_us: unix_us - now.0 as i64,
            peers: HashMap::new(),
        }
    }

    /// Returns the Unix time at `now`, in microseconds.
    pub fn unix_us(&self, now: Timestamp) -> i64 {
        self.offset_us + now.0 as i64
    }

    /// Records the time `unix_us` that a peer responded with; the peer was queried
    /// at `queried_at`, and the response arrived at `now`.
    pub fn record_peer(&mut self, peer: u64, queried_at: Timestamp, now: Timestamp, unix_us: i64) {
        // The peer read its clock between the query and the arrival of its response.
        let estimated_at = Timestamp(queried_at.0.midpoint(now.0));
        let clock = PeerClock {
            ahead_us: unix_us - self.unix_us(estimated_at),
            received_at: now,
        };
        self.peers.insert(peer, clock);
    }

    /// Sets the clock to the median of all hosts' clocks if it differs from that by
    /// more than the tolerance. Returns the correction in microseconds.
    pub fn synchronize(&mut self, now: Timestamp) -> Option<i64> {
        self.peers
            .retain(|_, clock| now.since(clock.received_at) < MAX_RESPONSE_AGE);
        if self.peers.len() < MIN_PEERS {
            return None;
        }
        let mut ahead: Vec<i64> = self.peers.values().map(|clock| clock.ahead_us).collect();
        ahead.push(0);
        ahead.sort_unstable();
        let correction_us = ahead[ahead.len() / 2];
        if correction_us.abs() <= TOLERANCE_US {
            return None;
        }
        self.offset_us += correction_us;
        self.peers.clear();
        Some(correction_us)
    }
}
