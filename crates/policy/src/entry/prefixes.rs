//! Index of the engines that probably hold the KV cache of a prompt prefix.
//!
//! Cache events arrive late and some are lost, so the index is only a hint. It
//! is also updated when this process sends a request. A wrong entry costs one
//! full prefill and never affects the response.

use crate::{PrefixHash, UpstreamKey};
use std::collections::{HashMap, VecDeque};

/// Maximum number of engines recorded for one prefix.
const MAX_HOLDERS: usize = 4;

/// Bounded index of prefix holders. The oldest prefix is evicted first.
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
