//! What an engine tells the world, late and with gaps.

use lagoonlift_policy::{PrefixHash, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// Values that become visible some time after they were true.
#[derive(Clone, Debug)]
pub struct DelayedFeed<T> {
    delay: Duration,
    frozen: bool,
    pending: VecDeque<(Timestamp, T)>,
}

impl<T> DelayedFeed<T> {
    /// Creates a feed that shows each value after `delay`.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            frozen: false,
            pending: VecDeque::new(),
        }
    }

    /// Stops or resumes the feed; what is pushed while it is stopped is lost.
    pub fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Takes in a value that is true at `now`.
    pub fn push(&mut self, now: Timestamp, value: T) {
        if !self.frozen {
            self.pending.push_back((now, value));
        }
    }

    /// Returns the next value that is visible at `now`, with when it was true.
    pub fn pop(&mut self, now: Timestamp) -> Option<(Timestamp, T)> {
        let (measured_at, _) = self.pending.front()?;
        match now.since(*measured_at) >= self.delay {
            true => self.pending.pop_front(),
            false => None,
        }
    }
}

/// Cache events of one engine: late, and some never come.
#[derive(Clone, Debug)]
pub struct CacheFeed {
    feed: DelayedFeed<(PrefixHash, bool)>,
    loss: f64,
    rng: SmallRng,
}

impl CacheFeed {
    /// Creates a feed that loses the share `loss` of all events.
    pub fn new(delay: Duration, loss: f64, seed: u64) -> Self {
        Self {
            feed: DelayedFeed::new(delay),
            loss,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes in an event that is true at `now`.
    pub fn push(&mut self, now: Timestamp, prefix: PrefixHash, held: bool) {
        if !self.rng.random_bool(self.loss) {
            self.feed.push(now, (prefix, held));
        }
    }

    /// Returns the next event that is visible at `now`.
    pub fn pop(&mut self, now: Timestamp) -> Option<(PrefixHash, bool)> {
        self.feed.pop(now).map(|(_, event)| event)
    }
}
