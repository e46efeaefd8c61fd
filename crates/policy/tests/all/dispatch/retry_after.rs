//! When refused callers come back, against a fleet that answers a fixed number.

use lagoonlift_policy::dispatch::{RefusalCause, retry_after};
use std::time::Duration;

/// Milliseconds of a step of the model.
const STEP_MS: u64 = 10;
/// Requests that the fleet answers in a step.
const CAPACITY: u32 = 6;
/// Time that each caller has.
const CALLER_TIME: Duration = Duration::from_secs(2);

/// How callers of the model fared.
#[derive(Debug, Default)]
struct Tally {
    answered: u32,
    refused_twice: u32,
}

/// Plays a burst of 2.8 s with twice the requests that the fleet answers, in
/// half of the usual load; callers come back once.
fn play_burst(wait: impl Fn(f64) -> Duration) -> Tally {
    let mut returns = vec![0_u32; 1_000];
    let mut tally = Tally::default();
    for step in 0..600 {
        let is_burst = (100..380).contains(&step);
        let fresh = if is_burst { CAPACITY * 2 } else { CAPACITY / 2 };
        let again = returns[step];
        // Those who come back have no precedence.
        let offered = fresh + again;
        let answered = offered.min(CAPACITY);
        let answered_again = answered * again / offered;
        tally.answered += answered;
        tally.refused_twice += again - answered_again;
        let refused = fresh - (answered - answered_again);
        for caller in 0..refused {
            let chance = (f64::from(caller) + 0.5) / f64::from(refused);
            let steps = wait(chance).as_millis() as u64 / STEP_MS;
            returns[step + steps.max(1) as usize] += 1;
        }
    }
    tally
}

/// Callers that are refused in a burst come back where it may be over, and more
/// of them are answered than if they came back at once.
///
/// Seen failing with an `OVERLOAD_WAIT` of 250 ms.
#[test]
fn refused_callers_outlast_a_burst() {
    let overload = RefusalCause::Overload(Duration::from_millis(120));
    let late = play_burst(|chance| retry_after(overload, CALLER_TIME, chance));
    let early = play_burst(|chance| Duration::from_millis(250).mul_f64(0.7 + 0.7 * chance));
    assert!(late.answered > early.answered, "{late:?} {early:?}");
    assert!(
        late.refused_twice < early.refused_twice,
        "{late:?} {early:?}"
    );
}

/// A caller with little time left is still asked back within it.
///
/// Seen failing without `LONGEST_SHARE`.
#[test]
fn caller_with_little_time_is_asked_back_within_it() {
    let cause = RefusalCause::Overload(Duration::from_secs(5));
    let time_left = Duration::from_millis(800);
    for chance in [0.0, 0.5, 1.0] {
        let wait = retry_after(cause, time_left, chance);
        assert!(wait <= time_left / 2, "{wait:?}");
    }
}

/// Callers that are refused together don't come back together.
///
/// Seen failing without the spread.
#[test]
fn callers_refused_together_are_spread() {
    let cause = RefusalCause::NoCapacity;
    let first = retry_after(cause, CALLER_TIME, 0.0);
    let last = retry_after(cause, CALLER_TIME, 1.0);
    assert!(last >= first * 3 / 2, "{first:?} {last:?}");
}
