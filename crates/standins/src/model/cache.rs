//! The cache of prompt prefixes of a simulated engine.

use crate::model::EngineEvent;
use lagoonlift_policy::PrefixHash;
use std::collections::VecDeque;

/// A prefix cache that evicts the least recently used prefixes first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    /// Prefixes and their lengths in tokens, least recently used first.
    entries: VecDeque<(PrefixHash, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache that holds at most `capacity_tokens` tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            entries: VecDeque::new(),
        }
    }

    /// Returns the number of tokens of a prompt that don't need to be prefilled.
    pub fn cached_tokens(&self, prefix: Option<(PrefixHash, u64)>) -> u64 {
        let Some((prefix, _)) = prefix else {
            return 0;
        };
        let entry = self.entries.iter().find(|(held, _)| *held == prefix);
        entry.map_or(0, |(_, tokens)| *tokens)
    }

    /// Inserts a prefix, or marks it as used if it is cached already, and evicts
    /// others until the cache fits its capacity. Appends an event for each change.
    ///
    /// A prefix that is larger than the cache isn't inserted.
    pub(crate) fn insert(
        &mut self,
        prefix: Option<(PrefixHash, u64)>,
        events: &mut Vec<EngineEvent>,
    ) {
        let Some((prefix, tokens)) = prefix else {
            return;
        };
        if let Some(index) = self.entries.iter().position(|(held, _)| *held == prefix) {
            if let Some(entry) = self.entries.remove(index) {
                self.entries.push_back(entry);
            }
            return;
        }
        if tokens > self.capacity_tokens {
            return;
        }
        self.entries.push_back((prefix, tokens));
        self.used_tokens += tokens;
        events.push(EngineEvent::CacheChanged { prefix, held: true });
        while self.used_tokens > self.capacity_tokens
            && let Some((evicted, tokens)) = self.entries.pop_front()
        {
            self.used_tokens -= tokens;
            events.push(EngineEvent::CacheChanged {
                prefix: evicted,
                held: false,
            });
        }
    }
}
