//! Sampling of frequent log lines.

use lagoonlift_telemetry::LogSampler;
use std::time::{Duration, Instant};

/// Offers `count` lines to the sampler, evenly spaced over one second. Returns the
/// number of lines written and the total that they report as suppressed.
fn sample_one_second(sampler: &mut LogSampler, start: Instant, count: u32) -> (u32, u64) {
    let (mut written, mut suppressed) = (0, 0);
    for line in 0..count {
        let now = start + Duration::from_secs(1) * line / count;
        if let Some(suppressed_before) = sampler.sample(now) {
            written += 1;
            suppressed += suppressed_before;
        }
    }
    (written, suppressed)
}

/// At a low rate, every line is written.
#[test]
fn few_lines_are_all_written() {
    let start = Instant::now();
    assert_eq!(
        sample_one_second(&mut LogSampler::new(), start, 100),
        (100, 0)
    );
}

/// A burst of lines is sampled, and the written lines report how many were
/// suppressed. Fails if every line is written.
#[test]
fn burst_is_sampled_and_the_rest_is_counted() {
    let start = Instant::now();
    let mut sampler = LogSampler::new();
    let (written, suppressed) = sample_one_second(&mut sampler, start, 5_000);
    assert_eq!(written, 100 + 490);
    let later = start + Duration::from_secs(2);
    let suppressed_at_end = sampler
        .sample(later)
        .expect("the first line of a window is always written");
    assert_eq!(u64::from(written) + suppressed + suppressed_at_end, 5_000);
}
