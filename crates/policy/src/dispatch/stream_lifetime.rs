//! How long callers may resume a stream.
//!
//! A caller takes a stream up until its own deadline, over as many attempts as it makes. No
//! configuration bounds that: the timeout of a route ends an attempt, not the stream, and it
//! may change, or the route may go, while the stream goes on. The time is therefore taken from
//! the request that begins the stream, and kept with all that is kept of the stream.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which callers may still resume a stream, in whole seconds, at most
/// [`Self::LONGEST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct StreamLifetime(u16);

impl StreamLifetime {
    /// The least lifetime that is told apart: callers wait as long for an event.
    pub const LEAST: Self = Self(2);

    /// The longest lifetime. It stands for an unknown one, too.
    pub const LONGEST: Self = Self(4_096);

    /// Returns the lifetime of a stream that callers may resume for `time` at most.
    pub fn covering(time: Duration) -> Self {
        let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
        Self::from(seconds)
    }

    /// Returns the time.
    pub const fn duration(self) -> Duration {
        Duration::from_secs(self.0 as u64)
    }

    /// Returns the least power of two that covers it, so that a bound of many lifetimes
    /// rises seldom.
    pub(super) fn rounded_up(self) -> Self {
        Self(self.0.max(Self::LEAST.0).next_power_of_two()).min(Self::LONGEST)
    }

    /// Returns an unknown lifetime.
    pub(super) fn unknown() -> Self {
        Self::LONGEST
    }
}

impl Default for StreamLifetime {
    fn default() -> Self {
        Self::LEAST
    }
}

impl From<u64> for StreamLifetime {
    fn from(seconds: u64) -> Self {
        let seconds = u16::try_from(seconds).unwrap_or(u16::MAX);
        Self(seconds).min(Self::LONGEST)
    }
}

impl From<StreamLifetime> for u64 {
    fn from(lifetime: StreamLifetime) -> Self {
        lifetime.0.into()
    }
}
