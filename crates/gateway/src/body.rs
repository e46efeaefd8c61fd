//! Reads bodies into buffers of their own.
//!
//! A part of a body, as the HTTP library returns it, keeps the whole buffer into which it was
//! read. Parts that come in tiny chunks would keep thousands of times their own size.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use std::error::Error;
use std::mem;

/// Error of a body.
pub(crate) type BoxError = Box<dyn Error + Send + Sync>;

/// Size up to which parts share a buffer. Longer buffers that grow leave gaps in the memory of
/// the process.
const SEGMENT_BYTES: usize = 64 * 1024;

/// What has been read of a body.
#[derive(Debug, Default)]
struct Segments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

/// Reads a body whole. `count` is called with the bytes by which the buffers have grown, and ends
/// the reading with its error.
pub(crate) async fn read_joined<B, E>(
    mut body: B,
    mut count: impl FnMut(usize) -> Result<(), E>,
) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes, Error = BoxError> + Unpin,
    E: Into<BoxError>,
{
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame?.into_data() {
            count(segments.make_room(part.len())).map_err(Into::into)?;
            segments.last.extend_from_slice(&part);
        }
    }
    Ok(segments.join())
}

impl Segments {
    /// Makes room for `bytes` in the last segment. Returns by how much the memory has grown.
    fn make_room(&mut self, bytes: usize) -> usize {
        if !self.last.is_empty() && self.last.len() + bytes > SEGMENT_BYTES {
            self.full.push(mem::take(&mut self.last));
        }
        let before = self.last.capacity();
        let needed = self.last.len() + bytes;
        if needed > before {
            let capacity = needed.max(SEGMENT_BYTES.min(before * 2));
            self.last.reserve_exact(capacity - self.last.len());
        }
        self.last.capacity() - before
    }

    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return Bytes::from(self.last.into_boxed_slice());
        }
        let length = self.full.iter().map(Vec::len).sum::<usize>() + self.last.len();
        let mut whole = Vec::with_capacity(length);
        for segment in self.full.into_iter().chain([self.last]) {
            whole.extend_from_slice(&segment);
        }
        Bytes::from(whole)
    }
}
