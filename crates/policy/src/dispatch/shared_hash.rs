//! Hashes of names that hosts tell each other and that the store keeps.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Returns the SipHash-1-3 of `value` with the key zero.
///
/// Hosts of different releases and machines must agree on it, so it isn't the standard library's
/// hasher, whose algorithm may change with each release. The order in which types feed their parts
/// is the standard library's; `hashes_are_those_of_earlier_releases` fails if it changes.
///
/// Source: Aumasson and Bernstein, "SipHash: a fast short-input PRF" (2012).
pub(super) fn shared_hash(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
