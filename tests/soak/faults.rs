//! What goes wrong, and when, drawn from a seed.

use crate::checks::STREAM_EVENTS;
use crate::proxy::LinkState;
use crate::support::Behaviour;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..700;

/// How long a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..2_200;

/// Faults of a runner of the plain service.
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

/// Faults of an engine that reads prompts.
const READER_FAULTS: [Behaviour; 5] = [
    Behaviour::Fail,
    Behaviour::NotRun,
    Behaviour::Misdirected,
    Behaviour::Close,
    Behaviour::Hang,
];

/// Faults of an engine that generates.
const GENERATOR_FAULTS: [Behaviour; 7] = [
    Behaviour::Fail,
    Behaviour::NotRun,
    Behaviour::Misdirected,
    Behaviour::Close,
    Behaviour::ForeignId,
    Behaviour::InterruptedStream(0),
    Behaviour::InterruptedStream(2),
];

/// What a runner is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunnerRole {
    /// The plain service.
    Plain,
    /// Reads prompts.
    Reader,
    /// Generates.
    Generator,
}

impl RunnerRole {
    /// Returns what it does without a fault.
    pub(crate) fn behaviour(self) -> Behaviour {
        match self {
            Self::Plain => Behaviour::Respond,
            Self::Reader => Behaviour::Prefill,
            Self::Generator => Behaviour::SlowStream(STREAM_EVENTS),
        }
    }
}

/// Returns the roles of all runners.
pub(crate) fn roles() -> [RunnerRole; 7] {
    [
        RunnerRole::Plain,
        RunnerRole::Plain,
        RunnerRole::Plain,
        RunnerRole::Reader,
        RunnerRole::Reader,
        RunnerRole::Generator,
        RunnerRole::Generator,
    ]
}

/// Which connections are harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    Store,
    Duties,
    Runner(usize),
}

/// One fault.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Freeze(usize),
    Kill(usize),
    Restart(usize),
    Harm(Link, LinkState),
    Reset(Link),
    StoreDown,
    Runner(usize, Behaviour),
}

/// A fault, the pause before it, and its length.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) pause: Duration,
    pub(crate) fault: Fault,
    pub(crate) length: Duration,
}

/// Draws the faults of one run.
pub(crate) struct Schedule {
    rng: StdRng,
    hosts: usize,
}

impl Schedule {
    pub(crate) fn new(seed: u64, hosts: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            hosts,
        }
    }

    pub(crate) fn next_step(&mut self) -> Step {
        let fault = self.fault();
        Step {
            pause: Duration::from_millis(self.rng.random_range(GAP_MS)),
            fault,
            length: Duration::from_millis(self.rng.random_range(LENGTH_MS)),
        }
    }

    fn fault(&mut self) -> Fault {
        let host = self.rng.random_range(0..self.hosts);
        let runner = self.rng.random_range(0..roles().len());
        match self.rng.random_range(0..14) {
            0 => Fault::Freeze(host),
            1 => Fault::Kill(host),
            2 => Fault::Restart(host),
            3 => Fault::StoreDown,
            4..=6 => Fault::Harm(self.link(runner), self.state()),
            7 => Fault::Reset(self.link(runner)),
            _ => Fault::Runner(runner, self.behaviour(runner)),
        }
    }

    fn link(&mut self, runner: usize) -> Link {
        match self.rng.random_range(0..4) {
            0 | 1 => Link::Store,
            2 => Link::Duties,
            _ => Link::Runner(runner),
        }
    }

    fn state(&mut self) -> LinkState {
        match self.rng.random_range(0..3) {
            0 => LinkState::Delayed(Duration::from_millis(self.rng.random_range(20..400))),
            1 => LinkState::AnswersLost,
            _ => LinkState::Silent,
        }
    }

    fn behaviour(&mut self, runner: usize) -> Behaviour {
        let all: &[Behaviour] = match roles()[runner] {
            RunnerRole::Plain => &PLAIN_FAULTS,
            RunnerRole::Reader => &READER_FAULTS,
            RunnerRole::Generator => &GENERATOR_FAULTS,
        };
        all[self.rng.random_range(0..all.len())].clone()
    }
}
