//! Feeds that deliver the reports and cache events of an engine with a delay, and
//! lose some.

use lagoonlift_policy::{PrefixHash, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// A feed that delivers each value after a fixed delay.
#[derive(Clone, Debug)]
pub struct DelayedFeed<T> {
    delay: Duration,
    is_frozen: bool,
    pending: VecDeque<(Timestamp, T)>,
}

impl<T> DelayedFeed<T> {
    /// Creates a feed that delivers each value `delay` after it was pushed.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            is_frozen: false,
            pending: VecDeque::new(),
        }
    }

    /// Freezes or resumes the feed. Values pushed while it is frozen are lost.
    pub fn set_frozen(&mut self, is_frozen: bool) {
        self.is_frozen = is_frozen;
    }

    /// Pushes a value measured at `now`.
    pub fn push(&mut self, now: Timestamp, value: T) {
        if !self.is_frozen {
            self.pending.push_back((now, value));
        }
    }

    /// Returns the next value that is visible at `now` and the time at which it was
    /// measured.
    pub fn pop(&mut self, now: Timestamp) -> Option<(Timestamp, T)> {
        let (measured_at, _) = self.pending.front()?;
        match now.since(*measured_at) >= self.delay {
            true => self.pending.pop_front(),
            false => None,
        }
    }
}

/// A feed of cache events of one engine that delays all events and loses some.
#[derive(Clone, Debug)]
pub struct CacheFeed {
    feed: DelayedFeed<(PrefixHash, bool)>,
    loss_probability: f64,
    rng: SmallRng,
}

impl CacheFeed {
    /// Creates a feed that loses each event with probability `loss_probability`, from 0
    /// to 1. `seed` makes the losses reproducible.
    pub fn new(delay: Duration, loss_probability: f64, seed: u64) -> Self {
        Self {
            feed: DelayedFeed::new(delay),
            loss_probability,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Pushes an event of the time `now`, unless the feed loses it.
    pub fn push(&mut self, now: Timestamp, prefix: PrefixHash, held: bool) {
        if !self.rng.random_bool(self.loss_probability) {
            self.feed.push(now, (prefix, held));
        }
    }

    /// Returns the next event that is visible at `now`: a prefix and whether the
    /// cache holds it.
    pub fn pop(&mut self, now: Timestamp) -> Option<(PrefixHash, bool)> {
        self.feed.pop(now).map(|(_, event)| event)
    }
}
