//! A limit holds over all hosts together, wherever its traffic comes in.

use crate::support::{Caller, Fleet, ProcessSignal};
use futures::future::join_all;
use lagoonlift::types::Limits;
use serde_json::json;
use std::time::{Duration, Instant};

/// Requests a second that all hosts together may let through.
const LIMIT: f64 = 40.0;
/// Callers that ask again and again.
const CALLERS: usize = 12;
/// Wait of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// Length of the window in which the error is measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Most that a window's count may differ from the limit.
const TOLERANCE: f64 = 0.1;

/// Asks until `end`; returns how many requests were let through and refused.
async fn ask_until(end: Instant, url: String) -> (u64, u64) {
    let caller = Caller::new(url, "key-of-the-plumbers");
    let body = json!({
        "model": "tide-7b",
        "messages": [{ "role": "user", "content": "x" }],
        "max_tokens": 1,
    });
    let mut counts = (0, 0);
    while Instant::now() < end {
        // The host may be killed meanwhile; what it let through counts.
        match caller.chat(&body).send().await {
            Ok(response) if response.status() == 200 => counts.0 += 1,
            Ok(_) | Err(_) => counts.1 += 1,
        }
        tokio::time::sleep(PAUSE).await;
    }
    counts
}

/// Drives a window of overload, spread over entries by `entry_of`; returns the
/// error of what was let through.
async fn drive(name: &str, fleet: &Fleet, entry_of: impl Fn(usize) -> usize) -> f64 {
    let started = Instant::now();
    let end = started + WINDOW;
    let asked = (0..CALLERS).map(|caller| ask_until(end, fleet.callers_url(entry_of(caller))));
    let counts = join_all(asked).await;
    let seconds = started.elapsed().as_secs_f64();
    let admitted: u64 = counts.iter().map(|(admitted, _)| admitted).sum();
    let refused: u64 = counts.iter().map(|(_, refused)| refused).sum();
    let error = admitted as f64 / seconds / LIMIT - 1.0;
    println!("{name}: {admitted} let through, {refused} refused in {seconds:.2} s: {error:+.3}");
    assert!(refused > 0, "{name}: there was no overload");
    error
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_is_shared_by_hosts() {
    let mut fleet = Fleet::start_limited(Limits {
        requests_per_second: LIMIT,
        tokens_per_second: 1_000_000.0,
        burst_seconds: 0.2,
    })
    .await;
    let mut errors = vec![
        drive("spread over three hosts", &fleet, |caller| caller % 3).await,
        drive("moved to one host", &fleet, |_| 1).await,
        drive("spread again", &fleet, |caller| caller % 3).await,
    ];
    fleet.entry(1).signal(ProcessSignal::Kill);
    errors.push(
        drive("a host dead, its traffic elsewhere", &fleet, |caller| {
            (caller % 2) * 2
        })
        .await,
    );
    assert!(
        errors.iter().all(|error| error.abs() <= TOLERANCE),
        "{errors:.3?}"
    );
}
