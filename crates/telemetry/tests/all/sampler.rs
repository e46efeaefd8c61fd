//! Which lines are written when there are many.

use lagoonlift_telemetry::LogSampler;
use std::time::{Duration, Instant};

/// Writes `count` lines evenly over a second; returns those written and the
/// sum of those that they say were left out.
fn second_of(sampler: &mut LogSampler, start: Instant, count: u32) -> (u32, u64) {
    let (mut written, mut left_out) = (0, 0);
    for line in 0..count {
        let now = start + Duration::from_secs(1) * line / count;
        if let Some(missing) = sampler.sample(now) {
            written += 1;
            left_out += missing;
        }
    }
    (written, left_out)
}

/// Few lines are all written.
#[test]
fn few_lines_are_all_written() {
    let start = Instant::now();
    assert_eq!(second_of(&mut LogSampler::new(), start, 100), (100, 0));
}

/// A burst is bounded, and the lines written say how many were left out.
///
/// Seen failing with every line written.
#[test]
fn burst_is_sampled_and_the_rest_is_counted() {
    let start = Instant::now();
    let mut sampler = LogSampler::new();
    let (written, left_out) = second_of(&mut sampler, start, 5_000);
    assert_eq!(written, 100 + 490);
    let later = start + Duration::from_secs(2);
    let rest = sampler.sample(later).expect("the first of a new window");
    assert_eq!(u64::from(written) + left_out + rest, 5_000);
}
