//! A reproducible schedule of faults: a seeded generator chooses each fault, its
//! start and its duration.

use crate::checks::STREAM_EVENTS;
use crate::proxy::LinkState;
use crate::support::{Behaviour, UnframedEnd};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between the starts of two successive faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..700;

/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_200;

/// Faults of the plain service.
const PLAIN_FAULTS: [Behaviour; 8] = [
    Behaviour::Fail,
    Behaviour::NotRun,
    Behaviour::Misdirected,
    Behaviour::Close,
    Behaviour::Truncate,
    Behaviour::ForeignId,
    Behaviour::SecondResponse,
    Behaviour::Unsigned,
];

/// Faults of a prefill engine.
const PREFILL_FAULTS: [Behaviour; 5] = [
    Behaviour::Fail,
    Behaviour::NotRun,
    Behaviour::Misdirected,
    Behaviour::Close,
    Behaviour::Hang,
];

/// Faults of a decode engine.
const DECODE_FAULTS: [Behaviour; 7] = [
    Behaviour::Fail,
    Behaviour::NotRun,
    Behaviour::Misdirected,
    Behaviour::Close,
    Behaviour::ForeignId,
    Behaviour::InterruptedStream(0),
    Behaviour::InterruptedStream(2),
];

/// Statuses of failures of upstreams that have run the request. As the gateway's own, all but the
/// first would promise that it has not.
const OWN_FAILURES: [&str; 5] = [
    "500 Failed",
    "503 Down",
    "429 Busy",
    "408 Late",
    "503 Overloaded",
];

/// One in this many times, all upstreams of a role refuse at once.
const ALL_REFUSE_RARITY: u32 = 3;

/// Silence of a plain upstream before its response, in milliseconds.
const PLAIN_SILENCE_MS: std::ops::Range<u64> = 300..5_000;

/// Time to hold off that upstreams state, in seconds.
pub(crate) const HOLD_OFF_S: &str = "0.9";

/// One fault of an upstream in this many is an announcement instead.
const ANNOUNCEMENT_RARITY: u32 = 4;

/// Age of a copy from which the store is restored, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 100..4_000;

/// Distinguishes the generator of announcements and restores from the one of the other
/// faults, so that the latter stay the same for each seed.
const ANNOUNCEMENT_SEED: u64 = 0x616e_6e6f;

/// Distinguishes the generator of troubles from those of the other faults.
const TROUBLE_SEED: u64 = 0x7472_6f75;

/// Distinguishes the generator of refusals from those of the other faults.
const REFUSAL_SEED: u64 = 0x7265_6675;

/// Silence of a decode engine in the middle of a stream, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 900..1_800;

/// Prefix block on which all decode engines of some runs crash.
const CRASHING_BLOCK: &str = "bad";

/// One seed in this many has the crashing block.
const CRASHING_BLOCK_RARITY: u64 = 2;

/// Returns the prefix block on which the decode engines of a run crash, if there is one.
pub(crate) fn crashing_block(seed: u64) -> Option<&'static str> {
    seed.is_multiple_of(CRASHING_BLOCK_RARITY)
        .then_some(CRASHING_BLOCK)
}

/// Upstream that states a rate in the runs with several versions.
pub(crate) const LIMITED_UPSTREAM: usize = 2;

/// Requests a second that it takes from all hosts together.
pub(crate) const STATED_RATE: &str = "12";

/// Returns whether engines of two software versions serve side by side in a run, and a plain
/// upstream states a rate. These are the runs without crashing blocks.
pub(crate) fn has_versions(seed: u64) -> bool {
    crashing_block(seed).is_none()
}

/// Returns the software version of an upstream in a run with several versions.
pub(crate) fn version_of(upstream: usize) -> &'static str {
    match roles()[upstream] {
        UpstreamRole::Plain => "v1",
        _ if upstream.is_multiple_of(2) => "v1",
        _ => "v2",
    }
}

/// Returns the engines of the version that a release takes off the list.
pub(crate) fn released_engines() -> impl Iterator<Item = usize> {
    let engines = (0..roles().len()).filter(|one| roles()[*one] != UpstreamRole::Plain);
    engines.filter(|one| version_of(*one) == "v1")
}

/// Role of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamRole {
    /// Serves the plain service.
    Plain,
    /// Runs prefill for the model service.
    Prefill,
    /// Runs decode for the model service.
    Decode,
}

impl UpstreamRole {
    /// Returns the behaviour of an upstream of this role without a fault.
    pub(crate) fn behaviour(self) -> Behaviour {
        match self {
            Self::Plain => Behaviour::Respond,
            Self::Prefill => Behaviour::Prefill,
            Self::Decode => Behaviour::SlowStream(STREAM_EVENTS),
        }
    }
}

/// Returns the behaviour of an upstream of a role that repeats its refusals.
fn repeated_refusal(role: UpstreamRole) -> Behaviour {
    Behaviour::RepeatedRefusal(Box::new(role.behaviour()))
}

/// Returns the role of each upstream of a run.
pub(crate) fn roles() -> [UpstreamRole; 7] {
    [
        UpstreamRole::Plain,
        UpstreamRole::Plain,
        UpstreamRole::Plain,
        UpstreamRole::Prefill,
        UpstreamRole::Prefill,
        UpstreamRole::Decode,
        UpstreamRole::Decode,
    ]
}

/// Set of connections that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    Store,
    Duties,
    Upstream(usize),
}

/// One fault. Numbers are indices of hosts or upstreams.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Suspend(usize),
    Kill(usize),
    Restart(usize),
    Degrade(Link, LinkState),
    Reset(Link),
    /// The store is unavailable. With an age, it comes back from a copy that was that
    /// old when the fault began.
    StoreDown(Option<Duration>),
    Upstream(usize, Behaviour),
    /// A behaviour that starts only at an upstream without another fault.
    Trouble(usize, Behaviour),
    /// The links of the first host to all upstreams have this state.
    CutOff(LinkState),
}

/// A fault, the delay before its start, and its duration.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) delay: Duration,
    pub(crate) fault: Fault,
    pub(crate) duration: Duration,
}

/// Draws the faults of one run from a seeded generator.
pub(crate) struct Schedule {
    rng: StdRng,
    announcement_rng: StdRng,
    trouble_rng: StdRng,
    refusal_rng: StdRng,
    hosts: usize,
}

impl Schedule {
    pub(crate) fn new(seed: u64, hosts: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            announcement_rng: StdRng::seed_from_u64(seed ^ ANNOUNCEMENT_SEED),
            trouble_rng: StdRng::seed_from_u64(seed ^ TROUBLE_SEED),
            refusal_rng: StdRng::seed_from_u64(seed ^ REFUSAL_SEED),
            hosts,
        }
    }

    pub(crate) fn next_fault(&mut self) -> ScheduledFault {
        let fault = self.fault();
        ScheduledFault {
            delay: Duration::from_millis(self.rng.random_range(FAULT_INTERVAL_MS)),
            fault,
            duration: Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS)),
        }
    }

    /// Returns a trouble that starts together with the next fault.
    pub(crate) fn next_trouble(&mut self) -> ScheduledFault {
        let role = match self.trouble_rng.random_ratio(2, 3) {
            true => UpstreamRole::Decode,
            false => UpstreamRole::Plain,
        };
        let numbers: Vec<usize> = (0..roles().len())
            .filter(|number| roles()[*number] == role)
            .collect();
        let upstream = numbers[self.trouble_rng.random_range(0..numbers.len())];
        let behaviour = match role {
            UpstreamRole::Decode => self.stream_trouble(),
            _ if self.trouble_rng.random_ratio(1, 2) => Behaviour::Unframed,
            _ => Behaviour::UnframedReset,
        };
        ScheduledFault {
            delay: Duration::ZERO,
            fault: Fault::Trouble(upstream, behaviour),
            duration: Duration::from_millis(self.trouble_rng.random_range(FAULT_DURATION_MS)),
        }
    }

    /// Returns faults after which a request may be refused though it has run: one, or all
    /// upstreams of a role refuse at once.
    pub(crate) fn next_refusals(&mut self) -> Vec<ScheduledFault> {
        if !self.refusal_rng.random_ratio(1, ALL_REFUSE_RARITY) {
            return vec![self.next_refusal()];
        }
        let duration = Duration::from_millis(self.refusal_rng.random_range(FAULT_DURATION_MS));
        let role = roles()[self.refusal_rng.random_range(0..roles().len())];
        let upstreams = (0..roles().len()).filter(|number| roles()[*number] == role);
        let refusals = upstreams.map(|upstream| ScheduledFault {
            delay: Duration::ZERO,
            fault: Fault::Trouble(upstream, repeated_refusal(role)),
            duration,
        });
        refusals.collect()
    }

    fn next_refusal(&mut self) -> ScheduledFault {
        let rng = &mut self.refusal_rng;
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let upstream = rng.random_range(0..roles().len());
        let failure = OWN_FAILURES[rng.random_range(0..OWN_FAILURES.len())];
        let silence = Duration::from_millis(rng.random_range(PLAIN_SILENCE_MS));
        let state = match rng.random_range(0..2) {
            0 => LinkState::Blocked,
            _ => LinkState::ResponsesBlocked,
        };
        let fault = match rng.random_range(0..8) {
            0..=2 => Fault::Trouble(upstream, repeated_refusal(roles()[upstream])),
            3 | 4 => Fault::Trouble(upstream, Behaviour::OwnFailure(failure)),
            5 if roles()[upstream] == UpstreamRole::Plain => {
                Fault::Trouble(upstream, Behaviour::PausedRespond(silence))
            }
            5 | 6 => Fault::CutOff(state),
            _ => Fault::Trouble(upstream, Behaviour::NotRun),
        };
        ScheduledFault {
            delay: Duration::ZERO,
            fault,
            duration,
        }
    }

    fn stream_trouble(&mut self) -> Behaviour {
        let silence = Duration::from_millis(self.trouble_rng.random_range(SILENCE_MS));
        let broken_after = self.trouble_rng.random_range(1..=STREAM_EVENTS);
        match self.trouble_rng.random_range(0..6) {
            0..=2 => Behaviour::PausedSlowStream(STREAM_EVENTS, silence),
            3 => Behaviour::UnframedStream(STREAM_EVENTS, UnframedEnd::Close),
            4 => Behaviour::UnframedStream(broken_after, UnframedEnd::CloseInsideEvent),
            _ => Behaviour::UnframedStream(broken_after, UnframedEnd::Reset),
        }
    }

    fn fault(&mut self) -> Fault {
        let host = self.rng.random_range(0..self.hosts);
        let upstream = self.rng.random_range(0..roles().len());
        match self.rng.random_range(0..14) {
            0 => Fault::Suspend(host),
            1 => Fault::Kill(host),
            2 => Fault::Restart(host),
            3 => Fault::StoreDown(self.copy_age()),
            4..=6 => Fault::Degrade(self.link(upstream), self.state()),
            7 => Fault::Reset(self.link(upstream)),
            _ => Fault::Upstream(upstream, self.behaviour(upstream)),
        }
    }

    /// Returns the age of the copy from which the store comes back; `None` if it loses
    /// nothing.
    fn copy_age(&mut self) -> Option<Duration> {
        let is_restored = self.announcement_rng.random_ratio(2, 3);
        let age_ms = self.announcement_rng.random_range(COPY_AGE_MS);
        is_restored.then(|| Duration::from_millis(age_ms))
    }

    fn link(&mut self, upstream: usize) -> Link {
        match self.rng.random_range(0..4) {
            0 | 1 => Link::Store,
            2 => Link::Duties,
            _ => Link::Upstream(upstream),
        }
    }

    fn state(&mut self) -> LinkState {
        match self.rng.random_range(0..3) {
            0 => LinkState::Delayed(Duration::from_millis(self.rng.random_range(20..400))),
            1 => LinkState::ResponsesBlocked,
            _ => LinkState::Blocked,
        }
    }

    fn behaviour(&mut self, upstream: usize) -> Behaviour {
        let all: &[Behaviour] = match roles()[upstream] {
            UpstreamRole::Plain => &PLAIN_FAULTS,
            UpstreamRole::Prefill => &PREFILL_FAULTS,
            UpstreamRole::Decode => &DECODE_FAULTS,
        };
        let behaviour = all[self.rng.random_range(0..all.len())].clone();
        match self.announcement_rng.random_ratio(1, ANNOUNCEMENT_RARITY) {
            true => self.announcement(upstream),
            false => behaviour,
        }
    }

    fn announcement(&mut self, upstream: usize) -> Behaviour {
        let drains =
            roles()[upstream] == UpstreamRole::Plain && self.announcement_rng.random_ratio(1, 2);
        match drains {
            true => Behaviour::Draining,
            false => Behaviour::HoldOff(HOLD_OFF_S),
        }
    }
}
