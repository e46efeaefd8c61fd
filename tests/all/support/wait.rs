//! Polls for a state until a timeout.

use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after which a waiting test fails as hung. It is far longer than any wait of
/// a passing test, so no result depends on it.
pub(crate) const HANG_GUARD: Duration = Duration::from_secs(60);

/// Polling interval for states that can't be subscribed to.
const POLLING_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `poll` until it returns a value, and returns the value. Panics after
/// [`HANG_GUARD`] with `what`, the condition that was awaited.
pub(crate) async fn eventually<T, F>(what: &str, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let result = timeout(HANG_GUARD, async {
        loop {
            match poll().await {
                Some(value) => return value,
                None => sleep(POLLING_INTERVAL).await,
            }
        }
    });
    match result.await {
        Ok(value) => value,
        Err(_) => panic!("timed out after {HANG_GUARD:?} waiting for: {what}"),
    }
}
