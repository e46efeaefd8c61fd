//! The time of day, through steps of the system's clock.
//!
//! The system's clock may jump by seconds and back. The steady clock doesn't,
//! so the offset between the two is taken once and kept; it is corrected only
//! by a clock that the hosts share.

use crate::Timestamp;

/// Time of day derived from the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Unix time in microseconds at the steady clock's zero.
    offset_us: i64,
}

/// Differences from other hosts up to this are left alone, in microseconds.
/// What other hosts say is up to a second old.
const TOLERATED_US: i64 = 1_500_000;

/// Hosts whose clocks are asked at least.
const LEAST_CLOCKS: usize = 3;

impl WallClock {
    /// Creates the clock of a process that read both clocks at one moment.
    pub fn new(now: Timestamp, unix_us: i64) -> Self {
        Self {
            offset_us: unix_us - now.0 as i64,
        }
    }

    /// Returns the Unix time at `now`, in microseconds.
    pub fn unix_us(&self, now: Timestamp) -> i64 {
        self.offset_us + now.0 as i64
    }

    /// Takes in what other hosts' clocks say at `now`; a majority that differs
    /// by more than the tolerance replaces this clock's offset. Returns whether
    /// it did.
    pub fn agree(&mut self, now: Timestamp, others_unix_us: &mut [i64]) -> bool {
        if others_unix_us.len() < LEAST_CLOCKS {
            return false;
        }
        others_unix_us.sort_unstable();
        let middle = others_unix_us[others_unix_us.len() / 2];
        let difference = middle - self.unix_us(now);
        if difference.abs() <= TOLERATED_US {
            return false;
        }
        self.offset_us += difference;
        true
    }
}
