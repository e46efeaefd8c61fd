//! What may be sent again, against a plain model of what has run.

use lagoonlift_policy::dispatch::{
    AllowanceLimits, AttemptLedger, NextStep, RepeatAllowance, RepeatKind, SendResult,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Clone, Copy, Debug)]
struct Sent(SendResult);

impl Arbitrary for Sent {
    fn arbitrary(g: &mut Gen) -> Self {
        let results = [
            SendResult::NotSent,
            SendResult::NotRun,
            SendResult::Unknown,
            SendResult::Failed,
        ];
        Self(*g.choose(&results).expect("there are results"))
    }
}

#[derive(Clone, Copy, Debug)]
struct Kind(RepeatKind);

impl Arbitrary for Kind {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            RepeatKind::Idempotent,
            RepeatKind::NonIdempotent,
            RepeatKind::Stream { resumable: true },
            RepeatKind::Stream { resumable: false },
        ];
        Self(*g.choose(&kinds).expect("there are kinds"))
    }
}

fn may_have_run(result: SendResult) -> bool {
    matches!(result, SendResult::Unknown | SendResult::Failed)
}

quickcheck! {
    /// A request is never sent again once it may have run, unless its kind
    /// allows it, and never runs on more upstreams than its route allows.
    fn runs_at_most_as_often_as_its_kind_allows(kind: Kind, sent: Vec<Sent>, most: u8) -> bool {
        let most = u32::from(most % 4) + 1;
        let mut ledger = AttemptLedger::new(kind.0, most);
        let mut runs = 0;
        for Sent(result) in sent {
            if may_have_run(result) {
                runs += 1;
            }
            if ledger.note(result) != NextStep::SendAgain {
                break;
            }
        }
        runs <= if kind.0.may_run_again() { most } else { 1 }
    }

    /// A refusal as not run is given only if nothing may have run.
    fn refuses_only_what_has_not_run(kind: Kind, sent: Vec<Sent>) -> bool {
        let mut ledger = AttemptLedger::new(kind.0, 3);
        let mut has_run = false;
        for Sent(result) in sent {
            has_run |= may_have_run(result);
            if ledger.note(result) != NextStep::SendAgain {
                break;
            }
        }
        (ledger.give_up() == NextStep::Refuse) != has_run
    }

    /// Hosts that come and go at any time never send more repeats together than
    /// the ratio of their requests and the slack.
    fn repeats_stay_within_the_bound_over_restarts(steps: Vec<(u8, u8)>) -> bool {
        let limits = AllowanceLimits { ratio: 0.2, slack: 52.0 };
        let hosts = 6;
        let mut allowances = vec![RepeatAllowance::new(limits, hosts); hosts];
        let (mut requests, mut repeats, mut restarts) = (0_u32, 0_u32, 0_u32);
        for (host, step) in steps {
            let host = usize::from(host) % hosts;
            match step % 8 {
                0 if restarts < 3 => {
                    restarts += 1;
                    allowances[host] = RepeatAllowance::new(limits, hosts);
                }
                0..=3 => {
                    requests += 1;
                    allowances[host].earn();
                }
                _ => repeats += u32::from(allowances[host].take()),
            }
        }
        f64::from(repeats) <= limits.ratio * f64::from(requests) + limits.slack
    }
}

/// A repeat storm of callers leaves the upstreams with the allowance at most.
#[test]
fn storm_of_failures_is_not_multiplied() {
    let limits = AllowanceLimits {
        ratio: 0.2,
        slack: 52.0,
    };
    let mut allowance = RepeatAllowance::new(limits, 6);
    let mut repeats = 0;
    for _ in 0..10_000 {
        allowance.earn();
        // Each send fails, and as many repeats as there are go out.
        while allowance.take() {
            repeats += 1;
        }
    }
    assert!(repeats <= 2_000, "{repeats} repeats of 10,000 requests");
    assert!(repeats >= 1_000, "{repeats} repeats of 10,000 requests");
}

/// The first read ahead that an engine accepts is free, others are sends.
#[test]
fn reading_ahead_once_is_no_repeat() {
    let kind = RepeatKind::Stream { resumable: false };
    let mut ledger = AttemptLedger::new(kind, 1);
    ledger.note_read();
    assert!(!ledger.next_is_repeat());
    ledger.note_read();
    assert!(ledger.next_is_repeat());
    assert_eq!(ledger.give_up(), NextStep::Refuse);
}

/// All hosts are killed twice within one window, and each spends what it has
/// before and after.
#[test]
fn restarts_of_all_hosts_do_not_refill_the_allowance() {
    let limits = AllowanceLimits {
        ratio: 0.2,
        slack: 52.0,
    };
    let mut repeats = 0;
    for _ in 0..3 * 6 {
        let mut allowance = RepeatAllowance::new(limits, 6);
        while allowance.take() {
            repeats += 1;
        }
    }
    assert!(repeats <= 52, "{repeats} repeats without a request");
}
