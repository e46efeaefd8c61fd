//! Currency of the configuration, against a store that loses and delays
//! answers.

use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{ConfigConfirmation, StalenessLimits};
use quickcheck::quickcheck;
use std::time::Duration;

const LIMITS: StalenessLimits = StalenessLimits {
    revocation: Duration::from_secs(5),
    change: Duration::from_secs(2),
};

quickcheck! {
    /// Whatever reads are answered, in whatever order: a request that comes later
    /// than the bound after a withdrawal that no read has shown isn't admitted.
    fn withdrawn_key_is_refused_in_time(reads: Vec<(u16, u16)>, withdrawn: u16, late: u16) -> bool {
        let withdrawn = u64::from(withdrawn);
        let request = withdrawn + 5_000 + u64::from(late);
        let mut proof = ConfigConfirmation::new(LIMITS);
        for (sent, took) in reads {
            let sent = u64::from(sent);
            // A read sent after the withdrawal shows it; only others matter.
            if sent < withdrawn && sent + u64::from(took) <= request {
                proof.renew(at_ms(sent));
            }
        }
        !proof.can_admit_keyed_requests(at_ms(request))
    }
}

/// The store is away: first the host asks for no new callers, then it doesn't
/// deny what it can't know, and last it refuses keys.
#[test]
fn host_without_store_withdraws_step_by_step() {
    let mut proof = ConfigConfirmation::new(LIMITS);
    assert!(!proof.can_admit_keyed_requests(at_ms(0)));
    proof.renew(at_ms(0));
    assert!(proof.can_report_absence(at_ms(1_900)));
    assert!(!proof.can_report_absence(at_ms(2_100)));
    assert!(proof.can_report_ready(at_ms(2_900)));
    assert!(!proof.can_report_ready(at_ms(3_100)));
    assert!(proof.can_admit_keyed_requests(at_ms(4_600)));
    assert!(!proof.can_admit_keyed_requests(at_ms(4_800)));
}

/// A peer's answer is as old as its proof, however late it arrives.
#[test]
fn proof_from_a_peer_is_as_old_as_the_peers() {
    let mut proof = ConfigConfirmation::new(LIMITS);
    proof.renew_from_peer(at_ms(4_000), Duration::from_millis(1_500));
    assert_eq!(proof.age(at_ms(6_000)), Some(Duration::from_millis(3_500)));
    proof.renew_from_peer(at_ms(3_000), Duration::from_millis(100));
    assert_eq!(proof.age(at_ms(6_000)), Some(Duration::from_millis(3_100)));
}

/// An answer that comes late says what was true when it was asked for.
#[test]
fn late_answer_does_not_renew_from_its_arrival() {
    let mut proof = ConfigConfirmation::new(LIMITS);
    proof.renew(at_ms(4_000));
    proof.renew(at_ms(1_000));
    assert_eq!(proof.age(at_ms(5_000)), Some(Duration::from_secs(1)));
}
