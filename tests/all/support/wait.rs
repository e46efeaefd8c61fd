//! Waiting for a state, with a guard against hanging.

use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after which a test counts as hung. Nothing is decided by it.
pub(crate) const HANG_GUARD: Duration = Duration::from_secs(60);

/// Time between two looks at a state that can't be subscribed to.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks at a state until `look` returns a value; `what` names it in the panic.
pub(crate) async fn eventually<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let result = timeout(HANG_GUARD, async {
        loop {
            match look().await {
                Some(value) => return value,
                None => sleep(LOOK_INTERVAL).await,
            }
        }
    });
    match result.await {
        Ok(value) => value,
        Err(_) => panic!("waited {HANG_GUARD:?} for: {what}"),
    }
}
