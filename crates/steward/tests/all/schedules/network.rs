//! Simulated network and store.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Longest delay of a message, in steps.
const MAX_DELAY: u64 = 12;
/// One in this many messages is delayed by [`LATE_DELAY_FACTOR`].
const LATE_ONE_IN: u64 = 12;
/// Factor by which the delay of a late message is multiplied.
const LATE_DELAY_FACTOR: u64 = 12;
/// One in this many messages is lost.
const LOST_ONE_IN: u64 = 12;

/// Random number generator that determines a schedule.
pub(crate) struct ScheduleRng(StdRng);

impl ScheduleRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Returns a number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound)
    }

    /// Returns `true` with a probability of one in `rarity`.
    pub(crate) fn one_in(&mut self, rarity: u64) -> bool {
        self.below(rarity) == 0
    }

    /// Returns the step at which a message sent now arrives, or `None` if it is lost.
    pub(crate) fn arrival(&mut self, now: u64) -> Option<u64> {
        let delay = 1 + self.below(MAX_DELAY);
        match () {
            () if self.one_in(LOST_ONE_IN) => None,
            () if self.one_in(LATE_ONE_IN) => Some(now + delay * LATE_DELAY_FACTOR),
            () => Some(now + delay),
        }
    }
}

/// Messages in flight, each with the step at which it arrives.
pub(crate) struct Network<M> {
    messages: Vec<(u64, M)>,
}

impl<M> Network<M> {
    pub(crate) fn new() -> Self {
        Self {
            messages: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, arrival: Option<u64>, message: M) {
        self.messages
            .extend(arrival.map(|arrival| (arrival, message)));
    }

    /// Removes and returns the messages that arrive up to `now`, in order of arrival.
    pub(crate) fn arrived(&mut self, now: u64) -> Vec<M> {
        self.messages.sort_by_key(|(arrival, _)| *arrival);
        let count = self
            .messages
            .partition_point(|(arrival, _)| *arrival <= now);
        self.messages
            .drain(..count)
            .map(|(_, message)| message)
            .collect()
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&M) -> bool) {
        self.messages.retain(|(_, message)| keep(message));
    }

    /// Changes the arrival of each message for which `time_of` returns a step.
    pub(crate) fn reschedule(&mut self, mut time_of: impl FnMut(&mut M) -> Option<u64>) {
        for (arrival, message) in &mut self.messages {
            if let Some(time) = time_of(message) {
                *arrival = time;
            }
        }
    }

    pub(crate) fn any(&self, matches: impl Fn(&M) -> bool) -> bool {
        self.messages.iter().any(|(_, message)| matches(message))
    }
}

/// Versioned objects with conditional writes, and the history of all writes that
/// took effect. It can be restored from a copy.
pub(crate) struct SimStore<V> {
    objects: BTreeMap<String, (V, u64)>,
    pub(crate) history: Vec<(String, V)>,
    version: u64,
    /// Number of restores.
    pub(crate) era: u64,
}

/// A copy of the contents of a [`SimStore`].
#[derive(Clone)]
pub(crate) struct StoreCopy<V> {
    objects: BTreeMap<String, (V, u64)>,
    version: u64,
}

impl<V: Clone> SimStore<V> {
    pub(crate) fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            history: Vec::new(),
            version: 0,
            era: 0,
        }
    }

    pub(crate) fn copy(&self) -> StoreCopy<V> {
        StoreCopy {
            objects: self.objects.clone(),
            version: self.version,
        }
    }

    /// Replaces the contents by a copy and starts the next era. Versions go back. The
    /// history keeps the writes that are lost.
    pub(crate) fn restore(&mut self, copy: StoreCopy<V>) {
        self.objects = copy.objects;
        self.version = copy.version;
        self.era += 1;
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, key: &str) -> Option<(V, u64)> {
        self.objects.get(key).cloned()
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &(V, u64)> {
        self.objects.values()
    }

    /// Writes the object if it has the version `condition`, or doesn't exist if
    /// `condition` is `None`. Otherwise returns the current object.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: V,
        condition: Option<u64>,
    ) -> Result<u64, Option<(V, u64)>> {
        let current = self.get(key);
        if current.as_ref().map(|(_, version)| *version) != condition {
            return Err(current);
        }
        self.version += 1;
        self.objects
            .insert(key.to_owned(), (value.clone(), self.version));
        self.history.push((key.to_owned(), value));
        Ok(self.version)
    }
}
