//! A rate limit holds across all hosts together, regardless of the hosts that receive
//! the traffic.

use crate::support::{Caller, ProcessSignal, TestDeployment};
use futures::future::join_all;
use lagoonlift::types::Limits;
use serde_json::json;
use std::time::{Duration, Instant};

/// Requests per second that all hosts together may admit.
const LIMIT: f64 = 40.0;
/// Number of callers that send requests continuously.
const CALLERS: usize = 12;
/// Delay between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Length of the window in which the admitted rate is measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Largest relative deviation of the admitted rate from the limit.
const TOLERANCE: f64 = 0.1;

/// Sends requests until `end`; returns the numbers of admitted and refused ones.
async fn send_until(end: Instant, url: String) -> (u64, u64) {
    let caller = Caller::new(url, "key-of-the-plumbers");
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "x" }],
        "max_tokens": 1,
    });
    let mut counts = (0, 0);
    while Instant::now() < end {
        // The host may have been killed; requests that it admitted before still
        // count.
        match caller.chat(&body).send().await {
            Ok(response) if response.status() == 200 => counts.0 += 1,
            Ok(_) | Err(_) => counts.1 += 1,
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    counts
}

/// Overloads the deployment for one window; `entry_of` chooses the entry daemon of each
/// caller. Returns the relative deviation of the admitted rate from the limit.
async fn measure_overload(
    name: &str,
    deployment: &TestDeployment,
    entry_of: impl Fn(usize) -> usize,
) -> f64 {
    let started = Instant::now();
    let end = started + WINDOW;
    let callers =
        (0..CALLERS).map(|caller| send_until(end, deployment.callers_url(entry_of(caller))));
    let counts = join_all(callers).await;
    let seconds = started.elapsed().as_secs_f64();
    let admitted: u64 = counts.iter().map(|(admitted, _)| admitted).sum();
    let refused: u64 = counts.iter().map(|(_, refused)| refused).sum();
    let error = admitted as f64 / seconds / LIMIT - 1.0;
    println!("{name}: {admitted} admitted, {refused} refused in {seconds:.2} s: {error:+.3}");
    assert!(refused > 0, "{name}: no request was refused");
    error
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_is_shared_by_hosts() {
    let mut deployment = TestDeployment::start_limited(Limits {
        requests_per_second: LIMIT,
        tokens_per_second: 1_000_000.0,
        burst_seconds: 0.2,
    })
    .await;
    let mut errors = vec![
        measure_overload("spread over three hosts", &deployment, |caller| caller % 3).await,
        measure_overload("moved to one host", &deployment, |_| 1).await,
        measure_overload("spread again", &deployment, |caller| caller % 3).await,
    ];
    deployment.entry(1).signal(ProcessSignal::Kill);
    errors.push(
        measure_overload(
            "a host dead, its traffic elsewhere",
            &deployment,
            |caller| (caller % 2) * 2,
        )
        .await,
    );
    assert!(
        errors.iter().all(|error| error.abs() <= TOLERANCE),
        "{errors:.3?}"
    );
}
