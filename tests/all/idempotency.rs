//! A request that may not be repeated runs once over all processes.

use crate::support::{Caller, Fleet};
use futures::future::join_all;

/// The same key at three hosts of two data centres at once.
#[tokio::test]
async fn a_booking_runs_once_over_data_centres() {
    let fleet = Fleet::start().await;
    let book = async |entry: usize| {
        let caller = Caller::new(fleet.callers_url(entry), "key-of-the-plumbers");
        let request = caller.post("/v1/services/plumbers/bookings/7", "pump");
        let request = request.header("idempotency-key", "booking-1");
        request.send().await.expect("an answer").status().as_u16()
    };
    let statuses = join_all((0..12).map(|index| book(index % 3))).await;
    let answered = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(answered, 1, "{statuses:?}");
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 409)),
        "{statuses:?}"
    );
    let (calls, _) = fleet.keys_seen().await;
    assert_eq!(calls, 1);
}
