//! The clock by which leases are counted.
//!
//! A suspended machine must find its lease lapsed when it wakes, so the clock
//! has to run on meanwhile; `std::time::Instant` doesn't. No times of two
//! machines are ever compared.

use rustix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since the machine started, suspension included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Reads the clock.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the time passed since `earlier`, or zero.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl Sub<Duration> for BootTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}
