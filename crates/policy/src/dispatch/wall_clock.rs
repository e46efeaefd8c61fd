//! The time of day, through steps of the system's clock.
//!
//! The system's clock may jump by seconds and back. The steady clock doesn't,
//! so the offset between the two is taken once and kept. A process that starts
//! during a jump takes a wrong offset; it is corrected by what the other hosts
//! answer when they are asked for the time.

use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Differences from other hosts up to this are left alone, in microseconds.
const TOLERATED_US: i64 = 400_000;

/// Other hosts that have to have answered.
const LEAST_PEERS: usize = 2;

/// Answers older than this are not counted.
const ANSWER_AGE: Duration = Duration::from_secs(4);

/// Time of day derived from the steady clock.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// Unix time in microseconds at the steady clock's zero.
    offset_us: i64,
    /// By a number of the host's choice.
    peers: HashMap<u64, PeerClock>,
}

/// What another host's clock said.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// How far it is ahead of this one.
    ahead_us: i64,
    noted_at: Timestamp,
}

impl WallClock {
    /// Creates the clock of a process that read both clocks at one moment.
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

    /// Notes that a host which was asked at `asked_at` answered with its time;
    /// the answer arrived at `now`.
    pub fn record_peer(&mut self, peer: u64, asked_at: Timestamp, now: Timestamp, unix_us: i64) {
        // The answer was made between the question and its arrival.
        let middle = Timestamp(asked_at.0.midpoint(now.0));
        let clock = PeerClock {
            ahead_us: unix_us - self.unix_us(middle),
            noted_at: now,
        };
        self.peers.insert(peer, clock);
    }

    /// Sets the clock to the middle one of all hosts' if it differs by more than
    /// the tolerance; returns the correction in microseconds.
    pub fn synchronize(&mut self, now: Timestamp) -> Option<i64> {
        self.peers
            .retain(|_, clock| now.since(clock.noted_at) < ANSWER_AGE);
        if self.peers.len() < LEAST_PEERS {
            return None;
        }
        let mut ahead: Vec<i64> = self.peers.values().map(|clock| clock.ahead_us).collect();
        ahead.push(0);
        ahead.sort_unstable();
        let correction_us = ahead[ahead.len() / 2];
        if correction_us.abs() <= TOLERATED_US {
            return None;
        }
        self.offset_us += correction_us;
        self.peers.clear();
        Some(correction_us)
    }
}
