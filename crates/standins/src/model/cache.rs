//! Which prompt prefixes an engine still holds.

use crate::model::EngineEvent;
use lagoonlift_policy::PrefixHash;
use std::collections::VecDeque;

/// Least recently used prefixes are dropped first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    /// Least recently used first.
    entries: VecDeque<(PrefixHash, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            entries: VecDeque::new(),
        }
    }

    /// Returns how many tokens of a prompt need not be read again.
    pub fn cached_tokens(&self, prefix: Option<(PrefixHash, u64)>) -> u64 {
        let Some((prefix, _)) = prefix else {
            return 0;
        };
        let held = self.entries.iter().find(|(held, _)| *held == prefix);
        held.map_or(0, |(_, tokens)| *tokens)
    }

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
            && let Some((dropped, tokens)) = self.entries.pop_front()
        {
            self.used_tokens -= tokens;
            events.push(EngineEvent::CacheChanged {
                prefix: dropped,
                held: false,
            });
        }
    }
}
