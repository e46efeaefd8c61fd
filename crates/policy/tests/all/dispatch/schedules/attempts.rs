//! Requests are sent, lost, refused, run late and sent again, over several hosts
//! that die and come back.

use super::{Chooser, try_schedules};
use crate::dispatch::support::at_ms;
use lagoonlift_policy::dispatch::{
    AttemptHistory, NextStep, RetryBudget, RetryBudgetLimits, RetrySafety, SendResult,
};
use std::time::Duration;

const HOSTS: usize = 3;
/// Requests of a schedule.
const REQUESTS: u64 = 300;
/// Longest time between two requests, in ms.
const LONGEST_GAP: u64 = 200;
/// One in this many requests finds its host restarted.
const RESTART_RARITY: u64 = 200;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    slack: 18.0,
    window: Duration::from_secs(10),
};

/// What became of a send, as the upstream knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendFate {
    /// The connection never opened.
    Unopened,
    /// The upstream refused to run it and said so.
    Refused,
    /// The refusal was lost on its way.
    RefusedUnheard,
    /// It ran, and the answer came.
    Answered,
    /// It ran, and the answer was lost or cut.
    AnsweredUnheard,
    /// It ran and failed, and the failure came.
    Failed,
    /// It stayed under way and ran after the host had given it up.
    RanLate,
}

const FATES: [SendFate; 7] = [
    SendFate::Unopened,
    SendFate::Refused,
    SendFate::RefusedUnheard,
    SendFate::Answered,
    SendFate::AnsweredUnheard,
    SendFate::Failed,
    SendFate::RanLate,
];

impl SendFate {
    fn arrives(self) -> bool {
        self != Self::Unopened
    }

    fn runs(self) -> bool {
        !matches!(self, Self::Unopened | Self::Refused | Self::RefusedUnheard)
    }

    /// Returns what the host learns; `None` for a whole answer.
    fn seen(self) -> Option<SendResult> {
        match self {
            Self::Unopened => Some(SendResult::NotSent),
            Self::Refused => Some(SendResult::NotRun),
            Self::Answered => None,
            Self::Failed => Some(SendResult::Failed),
            Self::RefusedUnheard | Self::AnsweredUnheard | Self::RanLate => {
                Some(SendResult::Unknown)
            }
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Answered,
    PassedOn,
    Refused,
    Unknown,
}

struct World {
    chooser: Chooser,
    now: u64,
    allowances: Vec<RetryBudget>,
    /// When requests came.
    requests: Vec<u64>,
    /// When sends beyond the first arrival of a request arrived.
    repeats: Vec<u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            chooser: Chooser::new(seed),
            now: 0,
            allowances: (0..HOSTS).map(|_| fresh(0)).collect(),
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    fn run(&mut self) -> Result<(), String> {
        // Restarts of one schedule, no more than a window allows for.
        let mut restarts = 0;
        for _ in 0..REQUESTS {
            self.now += self.chooser.below(LONGEST_GAP);
            let host = self.chooser.below(HOSTS as u64) as usize;
            if restarts < 2 && self.chooser.once_in(RESTART_RARITY) {
                restarts += 1;
                self.allowances[host] = fresh(self.now);
            }
            self.run_request(host)?;
        }
        self.check_repeats()
    }

    fn run_request(&mut self, host: usize) -> Result<(), String> {
        let kind = self.choose_kind();
        let most = 1 + self.chooser.below(3) as u32;
        let mut ledger = AttemptHistory::new(kind, most);
        let mut fates = Vec::new();
        self.requests.push(self.now);
        self.allowances[host].record_request(at_ms(self.now));
        let end = loop {
            let is_repeat = ledger.next_is_retry();
            if is_repeat && !self.allowances[host].try_spend(at_ms(self.now)) {
                break end_of(ledger.step_without_retry());
            }
            let fate = FATES[self.chooser.below(FATES.len() as u64) as usize];
            let has_arrived = fates.iter().any(|one: &SendFate| one.arrives());
            fates.push(fate);
            if has_arrived && fate.arrives() {
                self.repeats.push(self.now);
            }
            if is_repeat && !fate.arrives() {
                self.allowances[host].refund();
            }
            let Some(result) = fate.seen() else {
                break RequestEnd::Answered;
            };
            self.now += self.chooser.below(40);
            match ledger.record_send(result) {
                NextStep::Retry => {}
                step => break end_of(step),
            }
        };
        judge(kind, most, &fates, end)
    }

    fn choose_kind(&mut self) -> RetrySafety {
        match self.chooser.below(4) {
            0 => RetrySafety::Idempotent,
            1 => RetrySafety::NonIdempotent,
            2 => RetrySafety::Stream { resumable: true },
            _ => RetrySafety::Stream { resumable: false },
        }
    }

    /// Checks the repeats of every window against the requests of it, of the one
    /// before or of the one half a window before.
    fn check_repeats(&self) -> Result<(), String> {
        let window = LIMITS.window.as_millis() as u64;
        let count = |times: &[u64], from: i64| {
            let is_in = |at: &&u64| (from..from + window as i64).contains(&(**at as i64));
            times.iter().filter(is_in).count() as f64
        };
        for from in self.repeats.iter().map(|at| *at as i64) {
            let bases = [from, from - window as i64 / 2, from - window as i64];
            let requests = bases.map(|base| count(&self.requests, base));
            let most = requests.into_iter().fold(0.0, f64::max);
            let repeats = count(&self.repeats, from);
            if repeats > LIMITS.ratio * most + LIMITS.slack {
                return Err(format!("{repeats} repeats from {from} ms, {most} requests"));
            }
        }
        Ok(())
    }
}

fn fresh(now: u64) -> RetryBudget {
    RetryBudget::new(LIMITS, HOSTS, at_ms(now))
}

fn end_of(step: NextStep) -> RequestEnd {
    match step {
        NextStep::Refuse => RequestEnd::Refused,
        NextStep::ForwardFailure => RequestEnd::PassedOn,
        NextStep::Unknown | NextStep::Retry => RequestEnd::Unknown,
    }
}

fn judge(kind: RetrySafety, most: u32, fates: &[SendFate], end: RequestEnd) -> Result<(), String> {
    let runs = fates.iter().filter(|fate| fate.runs()).count() as u32;
    let allowed = match kind {
        RetrySafety::Idempotent | RetrySafety::Stream { resumable: true } => most,
        RetrySafety::NonIdempotent | RetrySafety::Stream { resumable: false } => 1,
    };
    match () {
        () if runs > allowed => Err(format!("{kind:?} ran {runs} times: {fates:?}")),
        () if end == RequestEnd::Refused && runs > 0 => {
            Err(format!("{kind:?} was refused and ran: {fates:?}"))
        }
        () if end == RequestEnd::PassedOn && fates.last() != Some(&SendFate::Failed) => Err(
            format!("{kind:?} ended with a failure that wasn't the last: {fates:?}"),
        ),
        () => Ok(()),
    }
}

/// What may not run twice doesn't, a refusal is true, also of what runs late, and
/// repeats stay within what all hosts may send.
///
/// Seen failing with every kind taken for one that may run again, with an unknown
/// outcome refused, and with a fixed part for each host that isn't divided.
#[test]
fn requests_run_no_more_than_they_may() {
    try_schedules(|seed| World::new(seed).run());
}
