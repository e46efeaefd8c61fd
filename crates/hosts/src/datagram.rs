//! Signed datagrams.
//!
//! A datagram is a tag followed by postcard. The tag is checked before a byte
//! of the body is decoded, so that a stranger reaches no decoder.

use crate::keys::{PeerKeys, TAG_BYTES};
use crate::wire::Datagram;
use thiserror::Error;

/// Largest datagram in bytes: fits any Ethernet frame, IP headers included.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Why a datagram was refused, or can't be sent.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// No accepted key signed it.
    #[error("no accepted key signed the datagram")]
    Unauthenticated,
    /// It was signed, but its body doesn't parse.
    #[error("the datagram's body is malformed")]
    Malformed,
    /// It is longer than any process sends.
    #[error("the datagram is too long")]
    TooLong,
}

/// Signs and checks datagrams.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    keys: PeerKeys,
}

impl DatagramCodec {
    /// Creates a codec that signs and checks with `keys`.
    pub fn new(keys: PeerKeys) -> Self {
        Self { keys }
    }

    /// Writes the signed datagram into `buffer`, in place of what it held.
    ///
    /// # Errors
    ///
    /// Fails when the datagram doesn't fit one Ethernet frame.
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

    /// Signs the body that follows the space for the tag.
    ///
    /// # Panics
    ///
    /// Panics when there is no space for a tag.
    pub fn sign(&self, buffer: &mut [u8]) {
        let (tag, body) = buffer.split_at_mut(TAG_BYTES);
        tag.copy_from_slice(&self.keys.datagram_tag(body));
    }

    /// Checks and reads a datagram.
    ///
    /// # Errors
    ///
    /// Fails when no accepted key signed it, or it doesn't parse.
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
