//! Counts the bytes that this host holds for callers, and cuts responses at the limit.
//!
//! Bytes are counted as long as they are in memory: bodies of requests, whole responses
//! from when they are read, events until they are written to the caller's connection, and what
//! has been read of long ones.

use crate::body::{BoxError, read_joined};
use crate::clock;
use crate::metrics::GatewayMetrics;
use bytes::Bytes;
use futures::task::AtomicWaker;
use http_body::Body;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{
    HeldCut, HeldKey, HeldLimits, HeldResponse, ReadProgress, choose_cuts,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// The host holds so much that there is no room for more.
#[derive(Clone, Copy, Debug, Error)]
#[error("the host holds too much for callers")]
pub(crate) struct NoRoom;

/// The requests for which this host holds bytes.
#[derive(Debug)]
pub(crate) struct HeldRegistry {
    limits: HeldLimits,
    metrics: GatewayMetrics,
    total: Arc<AtomicU64>,
    requests: RefCell<HashMap<HeldKey, Weak<HeldRequest>>>,
    next_key: Cell<u64>,
    /// Whether a response isn't read on until the host has room.
    has_waiting: Cell<bool>,
}

/// What is held for one request of a caller.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    registry: Rc<HeldRegistry>,
    key: HeldKey,
    counter: Arc<HeldCounter>,
    arrived: Timestamp,
    request_id: RefCell<String>,
    urgency: Cell<u8>,
    is_resumable: Cell<bool>,
    /// Whether the response is being sent to the caller.
    has_response: Cell<bool>,
    is_cut: Cell<bool>,
    /// Whether the response isn't read on until the host has room.
    is_waiting: Cell<bool>,
    progress: Cell<ReadProgress>,
    /// Wakes the task of the caller's connection.
    waker: AtomicWaker,
}

/// Bytes that are held for one request. Bytes are shared with the HTTP library, which
/// requires that their owner can be sent to other threads.
#[derive(Debug)]
struct HeldCounter {
    bytes: AtomicU64,
    total: Arc<AtomicU64>,
}

/// Counts bytes as held until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldGuard {
    counter: Arc<HeldCounter>,
    bytes: u64,
}

/// Bytes that are counted as held.
struct HeldSlice {
    bytes: Bytes,
    _guard: HeldGuard,
}

impl HeldRegistry {
    pub(crate) fn new(limits: HeldLimits, metrics: GatewayMetrics) -> Rc<Self> {
        Rc::new(Self {
            limits,
            metrics,
            total: Arc::default(),
            requests: RefCell::default(),
            next_key: Cell::new(0),
            has_waiting: Cell::new(false),
        })
    }

    /// Begins to count what is held for a request that has just arrived.
    pub(crate) fn open(self: &Rc<Self>) -> Rc<HeldRequest> {
        let now = clock::now();
        let key = HeldKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let counter = HeldCounter {
            bytes: AtomicU64::new(0),
            total: Arc::clone(&self.total),
        };
        let request = Rc::new(HeldRequest {
            registry: Rc::clone(self),
            key,
            counter: Arc::new(counter),
            arrived: now,
            request_id: RefCell::default(),
            urgency: Cell::new(0),
            is_resumable: Cell::new(false),
            has_response: Cell::new(false),
            is_cut: Cell::new(false),
            is_waiting: Cell::new(false),
            progress: Cell::new(ReadProgress::new(now)),
            waker: AtomicWaker::new(),
        });
        let mut requests = self.requests.borrow_mut();
        requests.insert(key, Rc::downgrade(&request));
        request
    }

    /// Returns the bytes that are held in total.
    pub(crate) fn bytes(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Reads responses on that waited for room, if there is some. Room may come from the end of
    /// any request, which can't wake the tasks of other connections.
    pub(crate) fn wake_waiting(&self) {
        if !self.has_waiting.get() || !self.limits.has_room(self.bytes()) {
            return;
        }
        self.has_waiting.set(false);
        for request in self.open_requests() {
            if request.is_waiting.take() {
                request.waker.wake();
            }
        }
    }

    /// Returns whether the host is within its limit, after responses have been cut if
    /// necessary.
    fn make_room(&self) -> bool {
        if self.limits.has_room(self.bytes()) {
            return true;
        }
        let now = clock::now();
        let requests = self.open_requests();
        let (cut, uncut): (Vec<_>, Vec<_>) = requests.iter().partition(|one| one.is_cut.get());
        // What is held for responses that have been cut is freed when their connections
        // close, within the same turn of the event loop.
        let closing: u64 = cut.iter().map(|request| request.bytes()).sum();
        let held = self.bytes().saturating_sub(closing);
        let responses: Vec<HeldResponse> = uncut
            .iter()
            .filter(|request| request.has_response.get())
            .map(|request| request.response())
            .collect();
        let cuts = choose_cuts(now, self.limits, held, &responses);
        for cut in &cuts {
            let request = requests.iter().find(|request| request.key == cut.key);
            if let Some(request) = request {
                self.cut(request, cut, held);
            }
        }
        let freed: u64 = cuts.iter().map(|cut| cut.bytes).sum();
        self.limits.has_room(held.saturating_sub(freed))
    }

    fn open_requests(&self) -> Vec<Rc<HeldRequest>> {
        let requests = self.requests.borrow();
        requests.values().filter_map(Weak::upgrade).collect()
    }

    fn cut(&self, request: &HeldRequest, cut: &HeldCut, held_bytes: u64) {
        tracing::warn!(
            request = *request.request_id.borrow(),
            bytes = cut.bytes,
            age_ms = cut.age.as_millis() as u64,
            rule = cut.rule.name(),
            idle_ms = cut.idle_time.as_millis() as u64,
            urgency = request.urgency.get(),
            is_resumable = request.is_resumable.get(),
            held_bytes,
            limit_bytes = self.limits.host_bytes,
            "response cut: the host holds too much for callers"
        );
        self.metrics.count_cut(cut.rule.name());
        request.is_cut.set(true);
        request.waker.wake();
    }
}

impl HeldRequest {
    /// Returns the identifier of the request; empty if it isn't known yet.
    pub(crate) fn id(&self) -> String {
        self.request_id.borrow().clone()
    }

    /// Records the identifier of the request for the log.
    pub(crate) fn set_id(&self, id: &str) {
        id.clone_into(&mut self.request_id.borrow_mut());
    }

    /// Records how urgent the request is, and whether its caller can resume the response.
    pub(crate) fn set_route(&self, urgency: u8, is_resumable: bool) {
        self.urgency.set(urgency);
        self.is_resumable.set(is_resumable);
    }

    /// Records that the response begins. From now on, it may be cut.
    pub(crate) fn begin_response(&self) {
        self.has_response.set(true);
        self.progress.set(ReadProgress::new(clock::now()));
    }

    /// Records that the caller's connection took bytes.
    pub(crate) fn record_written(&self, bytes: usize) {
        let mut progress = self.progress.get();
        progress.record(clock::now(), bytes as u64);
        self.progress.set(progress);
    }

    /// Returns whether the response has been cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut.get()
    }

    /// Returns whether more of a stream may be read while its caller doesn't take it. If only the
    /// host has no room, the connection's task is woken once it has some.
    pub(crate) fn may_read_on(&self) -> bool {
        let registry = &self.registry;
        if self.is_cut() || !registry.limits.may_read_on(self.bytes()) {
            return false;
        }
        let has_room = registry.limits.has_room(registry.bytes());
        if !has_room {
            self.is_waiting.set(true);
            registry.has_waiting.set(true);
        }
        has_room
    }

    /// Returns what wakes the task of the caller's connection when the response is cut.
    pub(crate) fn waker(&self) -> &AtomicWaker {
        &self.waker
    }

    /// Returns a guard for bytes to come.
    pub(crate) fn guard(&self) -> HeldGuard {
        HeldGuard {
            counter: Arc::clone(&self.counter),
            bytes: 0,
        }
    }

    /// Counts bytes that have been read with `guard`. Fails if there is no room for them.
    fn add(&self, guard: &mut HeldGuard, bytes: usize) -> Result<(), NoRoom> {
        if self.bytes() == 0 && self.has_response.get() {
            self.progress.set(ReadProgress::new(clock::now()));
        }
        guard.add(bytes as u64);
        match self.registry.make_room() {
            true => Ok(()),
            false => Err(NoRoom),
        }
    }

    /// Counts with `guard` the memory of what has been read of an event, which is `bytes` now.
    /// Fails if it has grown and there is no room.
    pub(crate) fn hold_partial(&self, guard: &mut HeldGuard, bytes: usize) -> Result<(), NoRoom> {
        let bytes = bytes as u64;
        match guard.bytes < bytes {
            true => self.add(guard, (bytes - guard.bytes) as usize),
            false => {
                guard.remove(guard.bytes - bytes);
                Ok(())
            }
        }
    }

    /// Counts events as held until they have been written. They are in memory already, so
    /// they are counted also if there is no room; responses are cut then.
    pub(crate) fn hold(&self, events: Bytes) -> Bytes {
        let mut guard = self.guard();
        // Without room, the response isn't read on until there is some.
        self.add(&mut guard, events.len()).unwrap_or_default();
        guard.hold(events)
    }

    /// Reads a body whole. The buffers are held from when it is read.
    pub(crate) async fn collect<B>(&self, body: B) -> Result<Bytes, BoxError>
    where
        B: Body<Data = Bytes, Error = BoxError> + Unpin,
    {
        let mut guard = self.guard();
        let whole = read_joined(body, |bytes| self.add(&mut guard, bytes)).await?;
        guard.remove(guard.bytes - whole.len() as u64);
        Ok(guard.hold(whole))
    }

    fn bytes(&self) -> u64 {
        self.counter.bytes.load(Ordering::Relaxed)
    }

    fn response(&self) -> HeldResponse {
        HeldResponse {
            key: self.key,
            bytes: self.bytes(),
            urgency: self.urgency.get(),
            is_resumable: self.is_resumable.get(),
            arrived: self.arrived,
            progress: self.progress.get(),
        }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.registry.requests.borrow_mut().remove(&self.key);
    }
}

impl HeldGuard {
    /// Counts bytes that are in memory already.
    pub(crate) fn add(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.counter.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.counter.total.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Stops to count bytes that are in memory no more.
    fn remove(&mut self, bytes: u64) {
        self.bytes -= bytes;
        self.counter.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.counter.total.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes, which stay counted until they are dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        match bytes.is_empty() {
            true => bytes,
            false => Bytes::from_owner(HeldSlice {
                bytes,
                _guard: self,
            }),
        }
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.remove(self.bytes);
    }
}

impl AsRef<[u8]> for HeldSlice {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
