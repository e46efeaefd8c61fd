//! Keys that all processes of the system share.
//!
//! Everything that a process believes about its peers depends on these keys.
//! Each purpose has its own key, derived from the shared one, so that a
//! datagram can't be replayed as a stream frame. Two keys are accepted at a
//! time, which lets operators rotate them host by host: first every process
//! accepts the new key, then the new key signs, and finally the old key is
//! removed.

use std::fmt;
use subtle::ConstantTimeEq;

/// Length of an authentication tag in bytes.
pub(crate) const TAG_BYTES: usize = 16;

const DATAGRAM_CONTEXT: &str = "lagoonlift 2026 hosts datagram";
const STREAM_CONTEXT: &str = "lagoonlift 2026 hosts stream";

/// An authentication tag.
pub(crate) type Tag = [u8; TAG_BYTES];

/// The key that signs, and the keys that are accepted.
#[derive(Clone)]
pub struct PeerKeys {
    accepted: Vec<DerivedKeys>,
}

#[derive(Clone)]
struct DerivedKeys {
    datagram: [u8; 32],
    stream: [u8; 32],
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKeys(..)")
    }
}

impl PeerKeys {
    /// Derives the keys for each purpose. `key` signs; both keys are accepted.
    pub fn new(key: [u8; 32], other_key: Option<[u8; 32]>) -> Self {
        let derive = |key: [u8; 32]| DerivedKeys {
            datagram: blake3::derive_key(DATAGRAM_CONTEXT, &key),
            stream: blake3::derive_key(STREAM_CONTEXT, &key),
        };
        Self {
            accepted: std::iter::once(key).chain(other_key).map(derive).collect(),
        }
    }

    /// Returns the tag of a datagram that this process sends.
    pub(crate) fn datagram_tag(&self, body: &[u8]) -> Tag {
        tag(&self.accepted[0].datagram, &[body])
    }

    /// Returns whether any accepted key signed the datagram.
    pub(crate) fn accepts_datagram(&self, body: &[u8], received_tag: &[u8]) -> bool {
        self.accepted
            .iter()
            .any(|keys| tags_equal(&tag(&keys.datagram, &[body]), received_tag))
    }

    /// Returns the session key of a stream that this process opens.
    pub(crate) fn session_key(&self, nonces: &[u8]) -> SessionKey {
        SessionKey(*blake3::keyed_hash(&self.accepted[0].stream, nonces).as_bytes())
    }

    /// Returns the session keys that the initiator of a stream may use, one for
    /// each accepted key.
    pub(crate) fn session_keys(&self, nonces: &[u8]) -> impl Iterator<Item = SessionKey> {
        self.accepted
            .iter()
            .map(|keys| SessionKey(*blake3::keyed_hash(&keys.stream, nonces).as_bytes()))
    }
}

/// Authenticates the frames of one stream.
#[derive(Clone)]
pub(crate) struct SessionKey([u8; 32]);

impl SessionKey {
    /// Returns the tag of the frame at `position` in one direction.
    pub(crate) fn frame_tag(&self, direction: Direction, position: u64, body: &[u8]) -> Tag {
        let header = [&[direction as u8][..], &position.to_le_bytes()].concat();
        tag(&self.0, &[&header, body])
    }

    /// Returns whether `received_tag` is the frame's tag.
    pub(crate) fn accepts(
        &self,
        direction: Direction,
        position: u64,
        body: &[u8],
        received_tag: &[u8],
    ) -> bool {
        tags_equal(&self.frame_tag(direction, position, body), received_tag)
    }
}

/// The end of a stream that sent a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// The end that opened the stream.
    Initiator = 0,
    /// The end that accepted the stream.
    Responder = 1,
}

fn tag(key: &[u8; 32], parts: &[&[u8]]) -> Tag {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut tag = Tag::default();
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares in constant time, so that timing doesn't reveal where the tags
/// differ.
fn tags_equal(expected: &Tag, received_tag: &[u8]) -> bool {
    expected.ct_eq(received_tag).into()
}
