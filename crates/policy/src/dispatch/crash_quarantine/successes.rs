//! The latest successes of each suspect, for a bounded number of suspects.

use super::{ServiceVersion, SuspectKey};
use crate::Timestamp;
use std::collections::HashMap;

/// Number of suspects in one generation of remembered successes.
const GENERATION_SUSPECTS: usize = 4_096;

/// Largest number of services and versions for which the success of one suspect is remembered.
const MAX_ORIGINS: usize = 8;

/// A success, and the software that it says something of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Success {
    pub(super) origin: ServiceVersion,
    pub(super) at: Timestamp,
}

/// Latest successes in two generations. When the younger one is full, it replaces the
/// older one; suspects that succeed often are therefore always remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct RememberedSuccesses {
    younger: HashMap<SuspectKey, Vec<Success>>,
    older: HashMap<SuspectKey, Vec<Success>>,
}

impl RememberedSuccesses {
    /// Records a success at the time `at`.
    pub(super) fn record(&mut self, key: SuspectKey, origin: ServiceVersion, at: Timestamp) {
        if !self.younger.contains_key(&key) {
            if self.younger.len() >= GENERATION_SUSPECTS {
                self.older = std::mem::take(&mut self.younger);
            }
            let earlier = self.older.get(&key).cloned().unwrap_or_default();
            self.younger.insert(key, earlier);
        }
        let known = self.younger.entry(key).or_default();
        match known.iter_mut().find(|one| one.origin == origin) {
            Some(one) => one.at = one.at.max(at),
            None => {
                if known.len() >= MAX_ORIGINS {
                    let oldest = (0..known.len()).min_by_key(|index| known[*index].at);
                    oldest.map(|index| known.swap_remove(index));
                }
                known.push(Success { origin, at });
            }
        }
    }

    /// Returns the suspect's latest success at any upstream.
    pub(super) fn latest(&self, key: SuspectKey) -> Option<Success> {
        let known = self.of(key).iter().copied();
        known.max_by_key(|one| one.at)
    }

    /// Returns the time of the suspect's latest success at upstreams with this software.
    pub(super) fn latest_at(&self, key: SuspectKey, origin: ServiceVersion) -> Option<Timestamp> {
        let known = self.since(key, None);
        known
            .filter(|one| one.origin.may_be(origin))
            .map(|one| one.at)
            .max()
    }

    /// Returns the suspect's successes later than `time`, the latest one for each software.
    pub(super) fn since(
        &self,
        key: SuspectKey,
        time: Option<Timestamp>,
    ) -> impl Iterator<Item = Success> {
        let known = self.of(key).iter().copied();
        known.filter(move |one| Some(one.at) > time)
    }

    fn of(&self, key: SuspectKey) -> &[Success] {
        let known = self.younger.get(&key).or_else(|| self.older.get(&key));
        known.map_or(&[], Vec::as_slice)
    }
}
