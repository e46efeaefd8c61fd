//! Tests of the staleness bounds against a store that loses and delays responses.

use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{ConfigConfirmation, StalenessLimits};
use quickcheck::quickcheck;
use std::time::Duration;

const LIMITS: StalenessLimits = StalenessLimits {
    revocation: Duration::from_secs(5),
    change: Duration::from_secs(2),
};

quickcheck! {
    /// Whichever reads are answered, in whichever order: if no read has returned the
    /// revocation of a key, a request later than the bound after the revocation is
    /// not admitted.
    fn revoked_key_is_refused_in_time(reads: Vec<(u16, u16)>, revoked: u16, late: u16) -> bool {
        let revoked = u64::from(revoked);
        let request = revoked + 5_000 + u64::from(late);
        let mut confirmation = ConfigConfirmation::new(LIMITS);
        for (sent, took) in reads {
            let sent = u64::from(sent);
            // A read sent after the revocation returns it, so only earlier ones matter.
            if sent < revoked && sent + u64::from(took) <= request {
                confirmation.renew(at_ms(sent));
            }
        }
        !confirmation.can_admit_keyed_requests(at_ms(request))
    }
}

/// While the store is unavailable, the host first stops reporting that routes and
/// keys do not exist, then it reports that it is not ready for new callers, and last
/// it refuses requests with keys.
#[test]
fn host_without_store_degrades_in_steps() {
    let mut confirmation = ConfigConfirmation::new(LIMITS);
    assert!(!confirmation.can_admit_keyed_requests(at_ms(0)));
    confirmation.renew(at_ms(0));
    assert!(confirmation.can_report_absence(at_ms(1_900)));
    assert!(!confirmation.can_report_absence(at_ms(2_100)));
    assert!(confirmation.can_report_ready(at_ms(2_900)));
    assert!(!confirmation.can_report_ready(at_ms(3_100)));
    assert!(confirmation.can_admit_keyed_requests(at_ms(4_600)));
    assert!(!confirmation.can_admit_keyed_requests(at_ms(4_800)));
}

/// A peer's response counts with the age of the peer's confirmation, however late it
/// arrives.
#[test]
fn confirmation_from_a_peer_keeps_its_age() {
    let mut confirmation = ConfigConfirmation::new(LIMITS);
    confirmation.renew_from_peer(at_ms(4_000), Duration::from_millis(1_500));
    assert_eq!(
        confirmation.age(at_ms(6_000)),
        Some(Duration::from_millis(3_500))
    );
    confirmation.renew_from_peer(at_ms(3_000), Duration::from_millis(100));
    assert_eq!(
        confirmation.age(at_ms(6_000)),
        Some(Duration::from_millis(3_100))
    );
}

/// A read confirms the state at the time when it was sent. The response to a read that
/// was sent earlier does not replace the confirmation by a later one, even if it arrives
/// last.
#[test]
fn late_response_does_not_count_from_its_arrival() {
    let mut confirmation = ConfigConfirmation::new(LIMITS);
    confirmation.renew(at_ms(4_000));
    confirmation.renew(at_ms(1_000));
    assert_eq!(confirmation.age(at_ms(5_000)), Some(Duration::from_secs(1)));
}
