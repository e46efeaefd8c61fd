//! Generates the keys with which callers authenticate.

use crate::key_id;
use lagoonlift_types::KeyDigest;
use std::fmt;

/// Prefix of every key, by which secret scanners detect leaked keys.
const PREFIX: &str = "lagoonlift-";

/// Number of random bytes in a key.
const RANDOM_BYTES: usize = 32;

/// A new key, which is shown to its operator once. Only its digest is stored.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(String);

impl CallerKey {
    /// Generates a random key.
    #[expect(
        clippy::new_without_default,
        reason = "two calls give different values"
    )]
    pub fn new() -> Self {
        let random: [u8; RANDOM_BYTES] = rand::random();
        Self(format!("{PREFIX}{}", hex::encode(random)))
    }

    /// Returns the key in plain text, to be shown to the operator.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest that is stored in the configuration.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({}..)", key_id(self.digest()))
    }
}
