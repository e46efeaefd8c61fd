//! Tests of what a stopping host begins, under late requests of a planned stop.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{LateRequest, StopAdmission};
use std::time::Duration;

/// Grace that is left when the requests come, in milliseconds.
const LEFT_MS: u64 = 5_000;

/// What became of late requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Fate {
    served: usize,
    cut: usize,
    refused: usize,
}

impl Fate {
    fn count(&mut self, is_begun: bool, duration_ms: u64) {
        match is_begun {
            false => self.refused += 1,
            true if duration_ms <= LEFT_MS => self.served += 1,
            true => self.cut += 1,
        }
    }
}

/// Route with its timeout and the durations of its requests, in milliseconds.
const ROUTES: [(&str, u64, [u64; 4]); 3] = [
    ("short", 2_000, [40, 60, 80, 400]),
    ("patient", 15_000, [300, 700, 1_400, 2_900]),
    ("long", 15_000, [6_000, 8_000, 9_000, 12_000]),
];

/// Plays late requests, of which every other one may run once only, after a minute of responses.
fn fate(begins: impl Fn(&StopAdmission, LateRequest<'_>) -> bool) -> Fate {
    let mut admission = StopAdmission::new();
    for second in 0..60 {
        for (route, _, durations) in ROUTES {
            for duration in durations {
                let duration = Duration::from_millis(duration);
                admission.record_response(at_ms(second * 1_000), route, duration);
            }
        }
    }
    let mut fate = Fate::default();
    for (route, timeout_ms, durations) in ROUTES {
        for (number, duration_ms) in durations.into_iter().enumerate() {
            let request = LateRequest {
                route,
                allowed: Duration::from_millis(timeout_ms),
                may_repeat: number.is_multiple_of(2),
            };
            fate.count(begins(&admission, request), duration_ms);
        }
    }
    fate
}

/// Guards against late requests that are cut at the end of a stop, and against a stop that
/// refuses what would have ended: beside the baselines that begin everything, and what the timeout
/// allows.
#[test]
fn stopping_host_begins_what_ends_in_time() {
    let now = at_ms(60_000);
    let ends_by = at_ms(60_000 + LEFT_MS);
    let everything = fate(|_, _| true);
    let by_timeout = fate(|_, request| request.allowed <= Duration::from_millis(LEFT_MS));
    let chosen = fate(|admission, request| admission.may_begin(now, ends_by, request));
    println!("everything {everything:?}, by timeout {by_timeout:?}, chosen {chosen:?}");
    assert!(everything.cut > 0);
    assert_eq!((by_timeout.cut, chosen.cut), (0, 0));
    assert_eq!(chosen.served, everything.served);
    assert!(chosen.served > by_timeout.served);
}

/// Guards against a request that may run once only and is begun though its answer may not come
/// back in time, and against routes of which nothing is known (any more).
#[test]
fn stopping_host_begins_nothing_that_it_knows_too_little_of() {
    let mut admission = StopAdmission::new();
    admission.record_response(at_ms(0), "book", Duration::from_secs(4));
    let begins = |now_ms, route, may_repeat| {
        let request = LateRequest {
            route,
            allowed: Duration::from_secs(20),
            may_repeat,
        };
        admission.may_begin(at_ms(now_ms), at_ms(now_ms + LEFT_MS), request)
    };
    assert!(begins(1_000, "book", true));
    assert!(!begins(1_000, "book", false));
    assert!(!begins(1_000, "unknown", true));
    assert!(!begins(90_000, "book", true));
}
