//! Promises of a host under arbitrary interleavings.
//!
//! Hosts, the store and upstreams exchange messages that may be late or lost;
//! hosts stand still, die and come back. Each schedule follows from one number,
//! which a failure prints. What is checked is what callers, the store and the
//! upstreams could see.

mod attempts;
mod config_freshness;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Schedules tried for each promise.
const SCHEDULES: u64 = 2_000;

/// Longest delay of a message, in ms.
const LONGEST_DELAY: u64 = 60;
/// One in this many messages is lost.
const LOSS: u64 = 12;
/// One in this many messages is much later than the others.
const VERY_LATE: u64 = 12;
/// How much later.
const LATE_FACTOR: u64 = 40;

/// Chooses everything that is left open in a schedule.
struct Chooser(StdRng);

impl Chooser {
    fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Returns a number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound)
    }

    /// Returns true once in `rarity` times.
    fn once_in(&mut self, rarity: u64) -> bool {
        self.below(rarity) == 0
    }

    /// Returns when a message sent at `now` arrives; `None` when it is lost.
    fn arrival(&mut self, now: u64) -> Option<u64> {
        let delay = 1 + self.below(LONGEST_DELAY);
        match () {
            () if self.once_in(LOSS) => None,
            () if self.once_in(VERY_LATE) => Some(now + delay * LATE_FACTOR),
            () => Some(now + delay),
        }
    }
}

/// Messages on their way.
struct Network<M>(Vec<(u64, M)>);

impl<M> Network<M> {
    fn new() -> Self {
        Self(Vec::new())
    }

    fn send(&mut self, arrival: Option<u64>, message: M) {
        self.0.extend(arrival.map(|arrival| (arrival, message)));
    }

    /// Takes out what has arrived by `now`.
    fn arrived(&mut self, now: u64) -> Vec<M> {
        let due = self.0.extract_if(.., |(arrival, _)| *arrival <= now);
        due.map(|(_, message)| message).collect()
    }
}

/// Tries schedules; `run` returns what is wrong with the history of one.
fn try_schedules(run: impl Fn(u64) -> Result<(), String>) {
    for seed in 0..SCHEDULES {
        if let Err(fault) = run(seed) {
            panic!("schedule {seed}: {fault}");
        }
    }
}
