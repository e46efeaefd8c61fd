//! Signed datagrams.
//!
//! A datagram consists of an authentication tag followed by a postcard body.
//! The tag is checked before any byte of the body is decoded, so that
//! unauthenticated input never reaches the decoder.

use crate::keys::{PeerKeys, TAG_BYTES};
use crate::wire::Datagram;
use thiserror::Error;

/// Maximum size of a datagram in bytes. It fits into one Ethernet frame,
/// including the IP and UDP headers.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Why a datagram was rejected or can't be encoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// No accepted key signed the datagram.
    #[error("no accepted key signed the datagram")]
    Unauthenticated,
    /// The datagram was signed, but its body can't be decoded or encoded.
    #[error("the datagram's body can't be encoded or decoded")]
    Malformed,
    /// The datagram exceeds the maximum size.
    #[error("the datagram is too long")]
    TooLong,
}

/// Encodes and signs datagrams, and verifies and decodes them.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    keys: PeerKeys,
}

impl DatagramCodec {
    /// Creates a codec that signs and verifies with `keys`.
    pub fn new(keys: PeerKeys) -> Self {
        Self { keys }
    }

    /// Replaces the content of `buffer` by the signed datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram can't be encoded or is longer than 1,400
    /// bytes.
    pub fn encode(&self, datagram: &Datagram, buffer: &mut Vec<u8>) -> Result<(), DatagramError> {
        buffer.clear();
        buffer.resize(TAG_BYTES, 0);
        let bytes = std::mem::take(buffer);
        *buffer = postcard::to_extend(datagram, bytes).map_err(|_| DatagramError::Malformed)?;
        if buffer.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        self.sign(buffer);
        Ok(())
    }

    /// Writes the tag of the body into the first bytes of `buffer`, which the
    /// caller reserved for it.
    ///
    /// # Panics
    ///
    /// Panics if the buffer is shorter than a tag.
    pub fn sign(&self, buffer: &mut [u8]) {
        let (tag, body) = buffer.split_at_mut(TAG_BYTES);
        tag.copy_from_slice(&self.keys.datagram_tag(body));
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too long, no accepted key signed it,
    /// or it can't be decoded.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        let (tag, body) = bytes
            .split_at_checked(TAG_BYTES)
            .ok_or(DatagramError::Unauthenticated)?;
        if !self.keys.accepts_datagram(body, tag) {
            return Err(DatagramError::Unauthenticated);
        }
        match postcard::take_from_bytes(body) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(DatagramError::Malformed),
        }
    }
}
