//! Which engines are believed to hold which prompt prefix.
//!
//! Cache events come late and some never come, so the memory is a hint: it is
//! also fed by what this process sent, and a wrong entry costs one prompt read
//! in full, never a wrong answer.

use crate::{PrefixHash, UpstreamKey};
use std::collections::{HashMap, VecDeque};

/// Engines remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// Bounded memory of prefix holders; the oldest prefix is forgotten first.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: HashMap<PrefixHash, Vec<UpstreamKey>>,
    insertion_order: VecDeque<PrefixHash>,
    max_prefixes: usize,
}

impl PrefixIndex {
    pub(crate) fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            ..Self::default()
        }
    }

    pub(crate) fn holders(&self, prefix: PrefixHash) -> &[UpstreamKey] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn add(&mut self, prefix: PrefixHash, upstream: UpstreamKey) {
        if !self.holders.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if !holders.contains(&upstream) {
            holders.insert(0, upstream);
            holders.truncate(MAX_HOLDERS);
        }
        while self.insertion_order.len() > self.max_prefixes
            && let Some(oldest) = self.insertion_order.pop_front()
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
