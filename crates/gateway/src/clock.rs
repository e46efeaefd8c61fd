//! Monotonic and wall clocks.

use lagoonlift_policy::Timestamp;
use lagoonlift_steward::BootTime;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the machine booted, including time spent suspended.
pub(crate) fn now() -> Timestamp {
    Timestamp(BootTime::now().0.as_micros() as u64)
}

/// Returns the Unix time of the system clock in microseconds. The clock may jump.
pub(crate) fn system_unix_us() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as i64)
}

/// Returns the time left until `until`, or zero if it has passed.
pub(crate) fn time_until(until: Timestamp) -> Duration {
    until.since(now())
}
