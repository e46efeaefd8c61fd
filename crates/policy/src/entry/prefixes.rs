//! Which engines are believed to hold which prompt prefix.
//!
//! Cache events come late and some never come, so the memory is a hint: it is
//! also fed by what this process sent, and a wrong entry costs one prompt read
//! in full, never a wrong answer.

use crate::{PrefixHash, UpstreamKey};
use std::collections::{HashMap, VecDeque};

/// Engines remembered for one prefix.
const HOLDERS: usize = 4;

/// Bounded memory of prefix holders; the oldest prefix is forgotten first.
#[derive(Debug, Default)]
pub(crate) struct PrefixMemory {
    holders: HashMap<PrefixHash, Vec<UpstreamKey>>,
    order: VecDeque<PrefixHash>,
    limit: usize,
}

impl PrefixMemory {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    pub(crate) fn holders(&self, prefix: PrefixHash) -> &[UpstreamKey] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn add(&mut self, prefix: PrefixHash, upstream: UpstreamKey) {
        if !self.holders.contains_key(&prefix) {
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if !holders.contains(&upstream) {
            holders.insert(0, upstream);
            holders.truncate(HOLDERS);
        }
        while self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    pub(crate) fn remove(&mut self, prefix: PrefixHash, upstream: UpstreamKey) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| *holder != upstream);
        }
    }
}
