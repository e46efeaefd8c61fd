//! The clock that measures lease terms.
//!
//! A lease must expire while its holder's host is suspended, so the clock has
//! to include suspended time. `std::time::Instant` doesn't. Times of different
//! hosts are never compared.

use rustix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since the host booted, including the time while it was suspended
/// (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Returns the current time of this host.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
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
