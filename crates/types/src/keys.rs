//! Digests of callers' keys.
//!
//! Only digests are stored and sent between processes. The key itself appears
//! only in the caller's requests and in the operator's terminal. Keys are long
//! random strings that can't be guessed, so a plain hash without a salt is
//! enough.

use serde::{Deserialize, Serialize};
use std::fmt;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The BLAKE3 digest of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The error for a text that is not 64 hexadecimal digits.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a key digest must have 64 hexadecimal digits")]
pub struct ParseDigestError;

impl KeyDigest {
    /// Computes the digest of a caller's key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Compares in constant time, so that the duration doesn't reveal where the
    /// digests differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", hex::encode(&self.0[..4]))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).map_err(|_| ParseDigestError)?;
        Ok(Self(digest))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(digest.0)
    }
}
