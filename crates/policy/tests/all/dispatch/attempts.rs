//! What may be sent again, against a plain model of what has run.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{
    AttemptHistory, NextStep, RetryBudget, RetryBudgetLimits, RetrySafety, SendResult,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::time::Duration;

/// Sliding window of repeats.
const WINDOW: Duration = Duration::from_secs(10);

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
struct Kind(RetrySafety);

impl Arbitrary for Kind {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            RetrySafety::Idempotent,
            RetrySafety::NonIdempotent,
            RetrySafety::Stream { resumable: true },
            RetrySafety::Stream { resumable: false },
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
        let mut ledger = AttemptHistory::new(kind.0, most);
        let mut runs = 0;
        for Sent(result) in sent {
            if may_have_run(result) {
                runs += 1;
            }
            if ledger.record_send(result) != NextStep::Retry {
                break;
            }
        }
        runs <= if kind.0.is_retryable() { most } else { 1 }
    }

    /// A refusal as not run is given only if nothing may have run.
    fn refuses_only_what_has_not_run(kind: Kind, sent: Vec<Sent>) -> bool {
        let mut ledger = AttemptHistory::new(kind.0, 3);
        let mut has_run = false;
        for Sent(result) in sent {
            has_run |= may_have_run(result);
            if ledger.record_send(result) != NextStep::Retry {
                break;
            }
        }
        (ledger.step_without_retry() == NextStep::Refuse) != has_run
    }

    /// Hosts that come and go at any time never send more repeats together than
    /// the ratio of their requests and the slack.
    fn repeats_stay_within_the_bound_over_restarts(steps: Vec<(u8, u8)>) -> bool {
        let limits = RetryBudgetLimits { ratio: 0.2, slack: 52.0, window: WINDOW };
        let hosts = 6;
        let mut allowances = vec![RetryBudget::new(limits, hosts, at_ms(0)); hosts];
        let (mut requests, mut repeats, mut restarts) = (0_u32, 0_u32, 0_u32);
        for (host, step) in steps {
            let host = usize::from(host) % hosts;
            match step % 8 {
                0 if restarts < 3 => {
                    restarts += 1;
                    allowances[host] = RetryBudget::new(limits, hosts, at_ms(0));
                }
                0..=3 => {
                    requests += 1;
                    allowances[host].record_request(at_ms(0));
                }
                _ => repeats += u32::from(allowances[host].try_spend(at_ms(0))),
            }
        }
        f64::from(repeats) <= limits.ratio * f64::from(requests) + limits.slack
    }
}

quickcheck! {
    /// In no sliding window do all hosts together send more repeats than the
    /// ratio of the requests (of the window, the one before, or the one half a
    /// window before) and the slack, whatever the load does.
    fn repeats_stay_within_the_bound_of_every_window(steps: Vec<(u8, u8, u8)>) -> bool {
        let limits = RetryBudgetLimits { ratio: 0.2, slack: 12.0, window: WINDOW };
        let hosts = 4;
        let mut allowances = vec![RetryBudget::new(limits, hosts, at_ms(0)); hosts];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut ms = 20_000;
        for (host, burst, pause) in steps {
            let host = usize::from(host) % hosts;
            let now = at_ms(ms);
            for _ in 0..burst % 32 {
                allowances[host].record_request(now);
                requests.push(ms);
            }
            while allowances[host].try_spend(now) {
                repeats.push(ms);
            }
            ms += u64::from(pause) * 40;
        }
        let count = |sent: &[u64], from: u64| {
            let until = from + WINDOW.as_millis() as u64;
            sent.iter().filter(|at| (from..until).contains(at)).count() as f64
        };
        repeats.iter().all(|from| {
            let bases = [*from, from - 5_000, from - 10_000];
            let most = bases.map(|base| count(&requests, base)).into_iter().fold(0.0, f64::max);
            count(&repeats, *from) <= limits.ratio * most + limits.slack
        })
    }
}

/// An engine refuses everything for a second: what a host has earned over the
/// whole window makes up for it.
#[test]
fn burst_of_refusals_is_sent_again() {
    let limits = RetryBudgetLimits {
        ratio: 0.2,
        slack: 200.0,
        window: WINDOW,
    };
    let mut allowance = RetryBudget::new(limits, 80, at_ms(0));
    for step in 0..200 {
        allowance.record_request(at_ms(20_000 + step * 50));
    }
    let repeats = (0..20).filter(|step| allowance.try_spend(at_ms(29_000 + step * 50)));
    assert_eq!(repeats.count(), 20);
}

/// More hosts than the slack has repeats: without requests they stay within it.
#[test]
fn slack_is_shared_among_more_hosts_than_repeats() {
    let limits = RetryBudgetLimits {
        ratio: 0.2,
        slack: 52.0,
        window: WINDOW,
    };
    let mut repeats = 0;
    for _ in 0..300 {
        let mut allowance = RetryBudget::new(limits, 300, at_ms(0));
        while allowance.try_spend(at_ms(20_000)) {
            repeats += 1;
        }
    }
    assert!(repeats <= 52, "{repeats} repeats without a request");
}

/// A repeat storm of callers leaves the upstreams with the allowance at most.
#[test]
fn storm_of_failures_is_not_multiplied() {
    let limits = RetryBudgetLimits {
        ratio: 0.2,
        slack: 52.0,
        window: WINDOW,
    };
    let mut allowance = RetryBudget::new(limits, 6, at_ms(0));
    let mut repeats = 0;
    for _ in 0..10_000 {
        allowance.record_request(at_ms(0));
        // Each send fails, and as many repeats as there are go out.
        while allowance.try_spend(at_ms(0)) {
            repeats += 1;
        }
    }
    assert!(repeats <= 2_000, "{repeats} repeats of 10,000 requests");
    assert!(repeats >= 1_000, "{repeats} repeats of 10,000 requests");
}

/// The first read ahead that an engine accepts is free, others are sends.
#[test]
fn reading_ahead_once_is_no_repeat() {
    let kind = RetrySafety::Stream { resumable: false };
    let mut ledger = AttemptHistory::new(kind, 1);
    ledger.record_prefill();
    assert!(!ledger.next_is_retry());
    ledger.record_prefill();
    assert!(ledger.next_is_retry());
    assert_eq!(ledger.step_without_retry(), NextStep::Refuse);
}

/// All hosts are killed twice within one window, and each spends what it has
/// before and after.
#[test]
fn restarts_of_all_hosts_do_not_refill_the_allowance() {
    let limits = RetryBudgetLimits {
        ratio: 0.2,
        slack: 52.0,
        window: WINDOW,
    };
    let mut repeats = 0;
    for _ in 0..3 * 6 {
        let mut allowance = RetryBudget::new(limits, 6, at_ms(0));
        while allowance.try_spend(at_ms(0)) {
            repeats += 1;
        }
    }
    assert!(repeats <= 52, "{repeats} repeats without a request");
}
