//! Reads responses on while their callers are slow.
//!
//! The HTTP library takes a response's next part only when the caller's connection has
//! room for it. Otherwise the part is read in the same task and held, so that the upstream's
//! response doesn't stay unread. A caller that keeps up causes no additional wake-up, and its
//! parts aren't copied.

use crate::held::{HeldGuard, HeldRequest};
use crate::reply::{RelayError, ReplyBody};
use bytes::{Bytes, BytesMut};
use http_body::{Body, SizeHint};
use hyper::body::Frame;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::mem;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

/// Size up to which parts are joined, as each has a fixed cost in memory.
const MIN_PART_BYTES: usize = 4 * 1024;

/// Size up to which a part is copied, as it may keep a larger allocation in memory.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// The response that a caller's connection is sending.
#[derive(Default)]
pub(crate) struct CurrentResponse {
    response: RefCell<Option<SentResponse>>,
}

struct SentResponse {
    held: Rc<HeldRequest>,
    buffer: Weak<RefCell<ReadOnBuffer>>,
}

/// Body of a response that is read on.
struct ReadOnBody(Rc<RefCell<ReadOnBuffer>>);

/// What has been read of a response and not been taken.
struct ReadOnBuffer {
    held: Rc<HeldRequest>,
    /// The response, until its end has been read.
    body: Option<ReplyBody>,
    error: Option<RelayError>,
    parts: VecDeque<Bytes>,
    /// Small parts, which follow the others.
    tail: BytesMut,
    tail_guard: Option<HeldGuard>,
    /// Whether the connection waits for the next part.
    is_awaited: bool,
}

impl CurrentResponse {
    /// Returns the body of the next response of the connection.
    pub(crate) fn begin(&self, body: ReplyBody, held: Rc<HeldRequest>) -> ReplyBody {
        held.begin_response();
        let buffer = Rc::new(RefCell::new(ReadOnBuffer {
            held: Rc::clone(&held),
            body: Some(body),
            error: None,
            parts: VecDeque::new(),
            tail: BytesMut::new(),
            tail_guard: None,
            is_awaited: false,
        }));
        *self.response.borrow_mut() = Some(SentResponse {
            held,
            buffer: Rc::downgrade(&buffer),
        });
        Box::pin(ReadOnBody(buffer))
    }

    /// Records that the connection took bytes.
    pub(crate) fn record_written(&self, bytes: usize) {
        if let Some(response) = self.response.borrow().as_ref() {
            response.held.record_written(bytes);
        }
    }

    /// Polls the connection, and reads the response on if the connection doesn't take its
    /// next part. Returns `None` if the response has been cut.
    pub(crate) fn poll<T>(
        &self,
        context: &mut Context<'_>,
        connection: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<Option<T>> {
        if let Some(buffer) = self.buffer() {
            buffer.borrow_mut().is_awaited = false;
        }
        if let Poll::Ready(result) = connection(context) {
            return Poll::Ready(Some(result));
        }
        if let Some(buffer) = self.buffer() {
            buffer.borrow_mut().read_on(context);
        }
        match self.is_cut(context) {
            true => Poll::Ready(None),
            false => Poll::Pending,
        }
    }

    fn buffer(&self) -> Option<Rc<RefCell<ReadOnBuffer>>> {
        let response = self.response.borrow();
        response.as_ref()?.buffer.upgrade()
    }

    fn is_cut(&self, context: &mut Context<'_>) -> bool {
        let response = self.response.borrow();
        let Some(response) = response.as_ref() else {
            return false;
        };
        response.held.waker().register(context.waker());
        response.held.is_cut()
    }
}

impl ReadOnBuffer {
    /// Reads and holds what has arrived, within the limits.
    fn read_on(&mut self, context: &mut Context<'_>) {
        while !self.is_awaited && self.held.may_read_on() {
            let Some(body) = self.body.as_mut() else {
                return;
            };
            match body.as_mut().poll_frame(context) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(part) = frame.into_data() {
                        self.push(part);
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    self.error = Some(error);
                    self.body = None;
                }
                Poll::Ready(None) => self.body = None,
            }
        }
    }

    fn push(&mut self, part: Bytes) {
        if self.tail.len() + part.len() > MIN_PART_BYTES {
            self.seal_tail();
        }
        if part.len() > MAX_COPIED_BYTES {
            return self.parts.push_back(part);
        }
        let held = &self.held;
        let guard = self.tail_guard.get_or_insert_with(|| held.guard());
        guard.add(part.len() as u64);
        self.tail.extend_from_slice(&part);
    }

    fn seal_tail(&mut self) {
        if let Some(guard) = self.tail_guard.take() {
            let part = mem::take(&mut self.tail).freeze();
            self.parts.push_back(guard.hold(part));
        }
    }

    fn next_part(&mut self) -> Option<Bytes> {
        if self.parts.is_empty() {
            self.seal_tail();
        }
        self.parts.pop_front()
    }
}

impl Body for ReadOnBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let mut buffer = self.0.borrow_mut();
        if let Some(part) = buffer.next_part() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if let Some(error) = buffer.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let polled = match buffer.body.as_mut() {
            Some(body) => body.as_mut().poll_frame(context),
            None => Poll::Ready(None),
        };
        match polled {
            Poll::Pending => buffer.is_awaited = true,
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(Some(Err(_)) | None) => buffer.body = None,
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let buffer = self.0.borrow();
        let is_empty = buffer.parts.is_empty() && buffer.tail.is_empty();
        let is_read = buffer.body.as_ref().is_none_or(|body| body.is_end_stream());
        is_empty && is_read && buffer.error.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffer = self.0.borrow();
        let is_untouched = buffer.parts.is_empty() && buffer.tail.is_empty();
        match buffer.body.as_ref() {
            Some(body) if is_untouched => body.size_hint(),
            Some(_) | None => SizeHint::default(),
        }
    }
}
