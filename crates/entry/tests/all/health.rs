//! Upstreams that fail are paused, longer each time, and then tried again.

use crate::support::{EntryFixture, FixtureOptions, header};
use lagoonlift_entry::UpstreamHealth;
use lagoonlift_policy::AttemptEnd;
use lagoonlift_standins::engine::EngineFault;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn pauses_grow_and_end_with_success() {
    let mut now = Instant::now();
    let mut health = UpstreamHealth::new();
    let failed = AttemptEnd::UpstreamFailed;
    assert!(!health.record_attempt(now, failed));
    assert!(!health.record_attempt(now, failed));
    for seconds in [1, 2, 4, 8, 16, 16] {
        assert!(health.record_attempt(now, failed));
        assert!(!health.record_attempt(now, failed), "it is already paused");
        now += Duration::from_secs(seconds) - Duration::from_millis(1);
        assert!(!health.try_resume(now));
        now += Duration::from_millis(1);
        assert!(health.try_resume(now));
    }
    health.record_attempt(now, AttemptEnd::Completed { output_tokens: 1 });
    assert!(
        !health.record_attempt(now, failed),
        "the failure count restarts"
    );
}

/// Guards against a failing engine that attracts work because it looks idle:
/// without pauses, every request went to it first, the retry budget was
/// exhausted, and request 13 failed.
#[tokio::test]
async fn a_failing_engine_does_not_attract_the_work() {
    let fixture = EntryFixture::start(FixtureOptions::default()).await;
    let fault = Some(EngineFault::ServerError);
    fixture.engines[0].faults().set_default(fault);
    for request in 0..60 {
        let response = fixture
            .chat("default", false, 1)
            .send()
            .await
            .expect("sent");
        let outcome = header(&response, "lagoonlift-outcome");
        assert_eq!(outcome, "answered", "request {request}");
    }
    let tried = fixture.engines[0].log().snapshot().len();
    assert!(tried <= 10, "{tried}");
}
