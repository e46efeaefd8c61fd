//! Reading callers' bodies in bounded memory and bounded time.

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Limits on one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyLimits {
    /// Largest body, in bytes.
    pub(crate) bytes: u64,
    /// Longest time for the whole body.
    pub(crate) whole: Duration,
    /// Longest time between two parts.
    pub(crate) part: Duration,
}

/// A body that wasn't read to its end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    #[error("the body was sent too slowly")]
    TooSlow,
    #[error("the body broke off")]
    Broken,
}

/// Reads a body within `limits`.
pub(crate) async fn read_body<B: Buf>(
    parts: impl Stream<Item = Result<B, warp::Error>>,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let body = timeout(limits.whole, read_parts(parts, limits)).await;
    body.unwrap_or(Err(BodyError::TooSlow))
}

async fn read_parts<B: Buf>(
    parts: impl Stream<Item = Result<B, warp::Error>>,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let mut parts = pin!(parts);
    let mut body = BytesMut::new();
    loop {
        let part = timeout(limits.part, parts.next()).await;
        match part.map_err(|_| BodyError::TooSlow)? {
            None => return Ok(body.freeze()),
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(mut part)) => {
                if (body.len() + part.remaining()) as u64 > limits.bytes {
                    return Err(BodyError::TooLarge(limits.bytes));
                }
                let bytes = part.copy_to_bytes(part.remaining());
                body.extend_from_slice(&bytes);
            }
        }
    }
}
