//! Tokens of prompts and of the completions generated for them.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the number of tokens in a prompt; each word is one token.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// Returns token `index` of the completion of `prompt`, with its trailing space.
///
/// `DefaultHasher::new()` has fixed keys, so all processes of one build generate
/// the same tokens.
pub fn completion_token(prompt: &str, index: u64) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    format!("{index}:{:04x} ", hasher.finish() & 0xffff)
}

/// Returns the first `count` tokens of the completion of `prompt`.
pub fn completion_text(prompt: &str, count: u64) -> String {
    (0..count)
        .map(|index| completion_token(prompt, index))
        .collect()
}
