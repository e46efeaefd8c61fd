//! Reads request bodies with bounds on memory and time.

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Limits on one request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyLimits {
    /// Maximum size of the body, in bytes.
    pub(crate) max_bytes: u64,
    /// Timeout for the whole body.
    pub(crate) total_timeout: Duration,
    /// Timeout for each chunk.
    pub(crate) chunk_timeout: Duration,
}

/// Why a body wasn't read to its end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    #[error("the body was sent too slowly")]
    TooSlow,
    /// The connection failed while the body was read.
    #[error("the body broke off")]
    Broken,
}

/// Reads a whole body within `limits`.
pub(crate) async fn read_body<B: Buf>(
    chunks: impl Stream<Item = Result<B, warp::Error>>,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let body = timeout(limits.total_timeout, read_chunks(chunks, limits)).await;
    body.unwrap_or(Err(BodyError::TooSlow))
}

async fn read_chunks<B: Buf>(
    chunks: impl Stream<Item = Result<B, warp::Error>>,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let mut chunks = pin!(chunks);
    let mut body = BytesMut::new();
    loop {
        let chunk = timeout(limits.chunk_timeout, chunks.next()).await;
        match chunk.map_err(|_| BodyError::TooSlow)? {
            None => return Ok(body.freeze()),
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(mut chunk)) => {
                if (body.len() + chunk.remaining()) as u64 > limits.max_bytes {
                    return Err(BodyError::TooLarge(limits.max_bytes));
                }
                let bytes = chunk.copy_to_bytes(chunk.remaining());
                body.extend_from_slice(&bytes);
            }
        }
    }
}
