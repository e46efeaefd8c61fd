//! When a caller that was refused may come back.
//!
//! A burst that fills every engine lasts for seconds. A caller that comes back
//! while it lasts is mostly refused again and has then used up its retries, so it
//! is asked to wait as long as its own time permits. Callers are spread, so that
//! they don't come back together.

use std::ops::Range;
use std::time::Duration;

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No upstream is there.
    NoUpstream,
    /// The upstreams that were tried had no place or failed.
    NoCapacity,
    /// Every engine has more to do than can be waited for; the least busy one
    /// needs this long.
    Overload(Duration),
}

/// Wait until upstreams may have been listed anew.
const ABSENT_WAIT: Duration = Duration::from_millis(500);

/// Wait until a place may be free.
const PLACE_WAIT: Duration = Duration::from_millis(250);

/// Least wait in an overload.
const OVERLOAD_WAIT: Duration = Duration::from_millis(900);

/// Most of the time left to the caller that it is asked to wait; the rest is
/// for the answer.
const LONGEST_SHARE: f64 = 0.5;

/// Shares of the wait between which callers are spread.
const SPREAD: Range<f64> = 0.7..1.4;

/// Returns how long a caller should wait whose time ends in `time_left`.
/// `chance` is drawn evenly from 0 to 1.
pub fn retry_after(cause: RefusalCause, time_left: Duration, chance: f64) -> Duration {
    let wait = match cause {
        RefusalCause::NoUpstream => ABSENT_WAIT,
        RefusalCause::NoCapacity => PLACE_WAIT,
        RefusalCause::Overload(backlog) => backlog.max(OVERLOAD_WAIT),
    };
    let share = SPREAD.start + (SPREAD.end - SPREAD.start) * chance;
    let longest = time_left.mul_f64(LONGEST_SHARE).max(PLACE_WAIT);
    wait.mul_f64(share).min(longest)
}
