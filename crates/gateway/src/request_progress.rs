//! How much of the request in flight on a connection is still to be written.
//!
//! A response without a length ends with its connection, and is whole only if nothing says
//! otherwise. A request that is still being written says otherwise: the server can't have read
//! it.

use std::cell::Cell;
use std::rc::Rc;

/// The end of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Which part of a request is written next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextPart {
    /// The head, of whose end this many bytes have been written, and then a body.
    Head { matched: usize, body_bytes: usize },
    /// This many bytes of the body.
    Body(usize),
}

/// The part of a request that isn't written yet; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct RequestProgress(Rc<Cell<NextPart>>);

impl Default for RequestProgress {
    fn default() -> Self {
        Self(Rc::new(Cell::new(NextPart::Body(0))))
    }
}

impl RequestProgress {
    /// Starts with a request whose body has this many bytes.
    pub(crate) fn begin(&self, body_bytes: usize) {
        self.0.set(NextPart::Head {
            matched: 0,
            body_bytes,
        });
    }

    /// Records bytes that the connection has taken.
    pub(crate) fn record_written(&self, bytes: &[u8]) {
        let mut rest = bytes;
        while let (
            NextPart::Head {
                matched,
                body_bytes,
            },
            [byte, after @ ..],
        ) = (self.0.get(), rest)
        {
            self.0.set(next_in_head(matched, *byte, body_bytes));
            rest = after;
        }
        if let NextPart::Body(left) = self.0.get() {
            self.0.set(NextPart::Body(left.saturating_sub(rest.len())));
        }
    }

    /// Returns whether a part of the request isn't written yet.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.0.get() != NextPart::Body(0)
    }
}

/// Returns what follows a byte of the head.
fn next_in_head(matched: usize, byte: u8, body_bytes: usize) -> NextPart {
    let matched = match byte == HEAD_END[matched] {
        true => matched + 1,
        false => usize::from(byte == HEAD_END[0]),
    };
    match matched == HEAD_END.len() {
        true => NextPart::Body(body_bytes),
        false => NextPart::Head {
            matched,
            body_bytes,
        },
    }
}
