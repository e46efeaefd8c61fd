//! Callers' keys at the moment they are made.

use crate::key_id;
use lagoonlift_types::KeyDigest;
use std::fmt;

/// Beginning of every key, by which scanners recognise one in the wrong place.
const PREFIX: &str = "lagoonlift-";

/// Random bytes in a key.
const RANDOM_BYTES: usize = 32;

/// A key that is shown to its operator once; everyone else knows its digest.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(String);

impl CallerKey {
    /// Makes a key that nobody can guess.
    #[expect(
        clippy::new_without_default,
        reason = "two calls give different values"
    )]
    pub fn new() -> Self {
        let random: [u8; RANDOM_BYTES] = rand::random();
        Self(format!("{PREFIX}{}", hex::encode(random)))
    }

    /// Returns the key itself, to be shown.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest that goes into the configuration.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({}..)", key_id(self.digest()))
    }
}
