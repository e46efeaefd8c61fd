//! Reading callers' bodies in bounded memory and bounded time.

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Longest time that a caller may take for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time between two parts of a body.
const PART_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body<B: Buf>(
    parts: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, BodyError> {
    let body = timeout(BODY_TIMEOUT, read_parts(parts, limit)).await;
    body.unwrap_or(Err(BodyError::TooSlow))
}

async fn read_parts<B: Buf>(
    parts: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, BodyError> {
    let mut parts = pin!(parts);
    let mut body = BytesMut::new();
    loop {
        let part = timeout(PART_TIMEOUT, parts.next()).await;
        match part.map_err(|_| BodyError::TooSlow)? {
            None => return Ok(body.freeze()),
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(mut part)) => {
                if (body.len() + part.remaining()) as u64 > limit {
                    return Err(BodyError::TooLarge(limit));
                }
                let bytes = part.copy_to_bytes(part.remaining());
                body.extend_from_slice(&bytes);
            }
        }
    }
}
