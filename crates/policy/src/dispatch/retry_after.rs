//! Computes the delay after which a refused caller may retry.
//!
//! A burst that fills every engine lasts for seconds. A caller that retries during
//! the burst is usually refused again and then has no retries left. The delay is
//! therefore meant to outlast the burst, as far as the caller's deadline permits. It
//! is jittered, so that callers do not retry at the same time.

use std::ops::Range;
use std::time::Duration;

/// The reason for refusing a request that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No upstream is available, or no engine for a prompt
    /// ([`PromptRefusal::NoEngine`]).
    ///
    /// [`PromptRefusal::NoEngine`]: super::PromptRefusal::NoEngine
    NoUpstream,
    /// Upstreams hold off requests, and no other is available. The value is the
    /// shortest time for which one still does.
    HoldOff(Duration),
    /// The shares of the rates that the upstreams take are used up. The value is the time
    /// until one of them takes a request again, from any host.
    UsedUp(Duration),
    /// The request, or a block of its prompt, crashes upstreams. The value is the time
    /// until it may be sent again.
    Quarantine(Duration),
    /// The upstreams that were tried had no free capacity or failed.
    NoCapacity,
    /// The backlog of the least loaded engine is too long to wait for
    /// ([`PromptRefusal::Overload`]). The value is the time that this engine needs for
    /// its backlog.
    ///
    /// [`PromptRefusal::Overload`]: super::PromptRefusal::Overload
    Overload(Duration),
}

/// Delay if there is no upstream, until new ones may have been listed.
const NO_UPSTREAM_DELAY: Duration = Duration::from_millis(500);

/// Delay until capacity may be free. It is also the smallest value of the maximum
/// delay; see [`MAX_DELAY_SHARE`].
const NO_CAPACITY_DELAY: Duration = Duration::from_millis(250);

/// Smallest base delay during an overload. The jitter factor and the maximum delay are
/// applied to it afterwards, so the result can be shorter: 630 ms with the lowest
/// jitter factor.
const MIN_OVERLOAD_DELAY: Duration = Duration::from_millis(900);

/// Maximum delay as a fraction of the caller's remaining time; the rest is for the
/// response. The maximum is never lower than [`NO_CAPACITY_DELAY`], so with little time
/// left the delay can exceed this fraction and also the deadline.
const MAX_DELAY_SHARE: f64 = 0.5;

/// Range of the jitter factor.
const JITTER_FACTORS: Range<f64> = 0.7..1.4;

/// Share of a hold-off by which the delay exceeds it, at most. The callers that are
/// refused during the hold-off return spread over this time after its end.
const HOLD_OFF_SPREAD_SHARE: f64 = 0.5;

/// Range of the time over which callers return after a hold-off.
const HOLD_OFF_SPREAD: Range<Duration> = Duration::from_millis(200)..Duration::from_secs(2);

/// Returns the delay for a caller whose deadline is in `time_left`. `jitter` is a
/// random number, uniformly distributed between 0 and 1.
pub fn retry_after(cause: RefusalCause, time_left: Duration, jitter: f64) -> Duration {
    let delay = match cause {
        // The caller is certainly refused again before the end of the hold-off, so the
        // delay isn't limited by the caller's remaining time.
        RefusalCause::HoldOff(hold_off) => return delay_after_hold_off(hold_off, jitter),
        // A request that comes earlier is refused again.
        RefusalCause::Quarantine(time_left) => return time_left,
        RefusalCause::NoUpstream => NO_UPSTREAM_DELAY,
        RefusalCause::NoCapacity => NO_CAPACITY_DELAY,
        RefusalCause::UsedUp(wait) | RefusalCause::Overload(wait) => wait.max(MIN_OVERLOAD_DELAY),
    };
    let factor = JITTER_FACTORS.start + (JITTER_FACTORS.end - JITTER_FACTORS.start) * jitter;
    let max_delay = time_left.mul_f64(MAX_DELAY_SHARE).max(NO_CAPACITY_DELAY);
    delay.mul_f64(factor).min(max_delay)
}

/// Returns a delay that ends after the hold-off.
fn delay_after_hold_off(hold_off: Duration, jitter: f64) -> Duration {
    let spread = hold_off
        .mul_f64(HOLD_OFF_SPREAD_SHARE)
        .clamp(HOLD_OFF_SPREAD.start, HOLD_OFF_SPREAD.end);
    hold_off + spread.mul_f64(jitter)
}
