//! A non-idempotent request is executed at most once across all processes.

use crate::support::{Caller, TestDeployment};
use futures::future::join_all;

/// Sends the same idempotency key to three hosts of two data centres concurrently.
#[tokio::test]
async fn a_booking_runs_once_over_data_centres() {
    let deployment = TestDeployment::start().await;
    let send_booking = async |entry: usize| {
        let caller = Caller::new(deployment.callers_url(entry), "key-of-the-plumbers");
        let request = caller.post("/v1/services/plumbers/bookings/7", "pump");
        let request = request.header("idempotency-key", "booking-1");
        request.send().await.expect("a response").status().as_u16()
    };
    let statuses = join_all((0..12).map(|index| send_booking(index % 3))).await;
    let answered = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(answered, 1, "{statuses:?}");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 409)),
        "{statuses:?}"
    );
    let (calls, _) = deployment.count_upstream_calls().await;
    assert_eq!(calls, 1);
}
