//! The clocks of the process.

use lagoonlift_policy::Timestamp;
use lagoonlift_steward::BootTime;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the machine started, suspension included.
pub(crate) fn now() -> Timestamp {
    Timestamp(BootTime::now().0.as_micros() as u64)
}

/// Returns the Unix time in microseconds by the system's clock, which may jump.
pub(crate) fn system_unix_us() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as i64)
}

/// Returns the time from now until `until`, or zero.
pub(crate) fn time_until(until: Timestamp) -> Duration {
    until.since(now())
}
