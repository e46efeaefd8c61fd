//! Tests of the retry delay against a fleet with a fixed capacity.

use lagoonlift_policy::dispatch::{RefusalCause, retry_after};
use std::time::Duration;

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;
/// Requests that the fleet serves per step.
const CAPACITY: u32 = 6;
/// Time until the deadline of each caller.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// Results of the simulated callers.
#[derive(Debug, Default)]
struct BurstResult {
    answered: u32,
    refused_twice: u32,
}

/// Simulates a burst of 2.8 s with twice the capacity of the fleet, before and after
/// which the load is half the capacity. Each refused caller retries once, after
/// the delay that `delay` returns for its jitter.
fn simulate_burst(delay: impl Fn(f64) -> Duration) -> BurstResult {
    let mut retries = vec![0_u32; 1_000];
    let mut result = BurstResult::default();
    for step in 0..600 {
        let is_burst = (100..380).contains(&step);
        let new_requests = if is_burst { CAPACITY * 2 } else { CAPACITY / 2 };
        let retrying = retries[step];
        // Retries have no precedence over new requests.
        let offered = new_requests + retrying;
        let answered = offered.min(CAPACITY);
        let answered_retries = answered * retrying / offered;
        result.answered += answered;
        result.refused_twice += retrying - answered_retries;
        let refused = new_requests - (answered - answered_retries);
        for caller in 0..refused {
            let jitter = (f64::from(caller) + 0.5) / f64::from(refused);
            let steps = delay(jitter).as_millis() as u64 / STEP_MS;
            retries[step + steps.max(1) as usize] += 1;
        }
    }
    result
}

/// Callers that are refused in a burst retry when it may be over, so more of them are
/// served than with an early retry.
///
/// The test fails if `MIN_OVERLOAD_DELAY` is changed to 250 ms.
#[test]
fn refused_callers_outlast_a_burst() {
    let overload = RefusalCause::Overload(Duration::from_millis(120));
    let late = simulate_burst(|jitter| retry_after(overload, TIME_LEFT, jitter));
    let early = simulate_burst(|jitter| Duration::from_millis(250).mul_f64(0.7 + 0.7 * jitter));
    assert!(late.answered > early.answered, "{late:?} {early:?}");
    assert!(
        late.refused_twice < early.refused_twice,
        "{late:?} {early:?}"
    );
}

/// The delay of a caller whose deadline is in 800 ms takes at most half of this time.
/// With less than 500 ms left, the smallest maximum delay of 250 ms would exceed the
/// half.
///
/// The test fails if the limit by `MAX_DELAY_SHARE` is removed.
#[test]
fn delay_ends_before_a_near_deadline() {
    let cause = RefusalCause::Overload(Duration::from_secs(5));
    let time_left = Duration::from_millis(800);
    for jitter in [0.0, 0.5, 1.0] {
        let delay = retry_after(cause, time_left, jitter);
        assert!(delay <= time_left / 2, "{delay:?}");
    }
}

/// Callers that are refused at the same time do not retry at the same time.
///
/// The test fails if the jitter is removed.
#[test]
fn retries_of_callers_refused_together_are_spread() {
    let cause = RefusalCause::NoCapacity;
    let first = retry_after(cause, TIME_LEFT, 0.0);
    let last = retry_after(cause, TIME_LEFT, 1.0);
    assert!(last >= first * 3 / 2, "{first:?} {last:?}");
}

/// All upstreams hold off requests for some time. No caller returns before the end of
/// it, however little time it has left, and the callers return spread over time.
#[test]
fn callers_refused_in_a_hold_off_return_after_it_and_spread() {
    for hold_off_ms in [100, 800, 5_000] {
        let hold_off = Duration::from_millis(hold_off_ms);
        let delay = |jitter| retry_after(RefusalCause::HoldOff(hold_off), TIME_LEFT, jitter);
        let delays: Vec<Duration> = (0..100).map(|n| delay(f64::from(n) / 100.0)).collect();
        assert!(delays.iter().all(|delay| *delay >= hold_off));
        let slot = Duration::from_millis(20);
        let in_first_slot = delays.iter().filter(|delay| **delay < hold_off + slot);
        assert!(in_first_slot.count() <= 10, "{hold_off_ms} ms");
    }
}
