//! Room in the KV caches of engines.
//!
//! An engine crashes if the requests that it holds exceed its KV cache. Hosts know how many
//! requests an engine holds, but not their lengths. Each is therefore counted as long as the
//! long prompt that is to be placed. Short prompts aren't limited; a margin is for them and
//! for what other hosts send meanwhile.

use super::{PrefillCandidate, PromptFacts, PromptRefusal};
use crate::dispatch::{FleetView, Upstream};

/// Share of a KV cache that long prompts may fill.
const LONG_PROMPT_SHARE: f64 = 0.8;

impl PromptFacts {
    /// Returns the tokens that the prompt and its response take in a KV cache.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}

/// Returns whether a prompt that takes `tokens` fits into an empty KV cache.
pub(super) fn fits_at_all(view: FleetView<'_>, tokens: u64) -> bool {
    view.kv_cache_tokens.is_none_or(|cache| tokens <= cache)
}

/// Returns how many prompts that take `tokens` each an engine can hold beside those that it
/// has. An empty engine can hold any one that fits.
pub(super) fn kv_places(view: FleetView<'_>, upstream: &Upstream, tokens: u64) -> u32 {
    let Some(cache) = view.kv_cache_tokens else {
        return u32::MAX;
    };
    let places = (cache as f64 * LONG_PROMPT_SHARE / tokens.max(1) as f64) as u32;
    let places = places.max(u32::from(fits_at_all(view, tokens)));
    places.saturating_sub(upstream.requests_in_flight(view.peers))
}

/// Removes the engines whose KV caches have no room for the prompt.
pub(super) fn keep_with_room(
    view: FleetView<'_>,
    engines: &mut Vec<PrefillCandidate>,
    prompt: &PromptFacts,
) -> Result<(), PromptRefusal> {
    let tokens = prompt.kv_tokens();
    if !fits_at_all(view, tokens) {
        return Err(PromptRefusal::TooLong);
    }
    let has_engine = !engines.is_empty();
    engines.retain(|engine| engine.kv_places > 0);
    match engines.is_empty() && has_engine {
        true => Err(PromptRefusal::KvCachesFull),
        false => Ok(()),
    }
}
